//! Names given by operators. They are validated on construction and cheap to clone.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 63;

/// Error for text that is not a valid name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty.
    Empty,
    /// The text is longer than `MAX_NAME_LEN` bytes.
    TooLong,
    /// The text does not start with a lower-case letter.
    Start,
    /// The text contains a character other than a lower-case letter, a digit or a hyphen.
    Character,
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Empty => "a name may not be empty",
            Self::TooLong => "a name has at most 63 characters",
            Self::Start => "a name starts with a lower-case letter",
            Self::Character => "a name holds only lower-case letters, digits and hyphens",
        };
        f.write_str(text)
    }
}

impl std::error::Error for NameError {}

fn validate(text: &str) -> Result<(), NameError> {
    let Some(first) = text.bytes().next() else {
        return Err(NameError::Empty);
    };
    if text.len() > MAX_NAME_LEN {
        return Err(NameError::TooLong);
    }
    if !first.is_ascii_lowercase() {
        return Err(NameError::Start);
    }
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    if !text.bytes().all(allowed) {
        return Err(NameError::Character);
    }
    Ok(())
}

macro_rules! define_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                validate(text)?;
                Ok(Self(CompactString::new(text)))
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = NameError;

            fn try_from(text: CompactString) -> Result<Self, NameError> {
                validate(&text)?;
                Ok(Self(text))
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;

            fn try_from(text: &str) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for CompactString {
            fn from(name: $name) -> Self {
                name.0
            }
        }
    };
}

define_name! {
    /// The name of an entry instance.
    InstanceName
}
define_name! {
    /// The name of a request kind, such as `hold`.
    KindName
}
define_name! {
    /// The name of a service, such as `availability`.
    ServiceName
}
define_name! {
    /// The name of an upstream.
    UpstreamName
}
define_name! {
    /// The name of an availability zone.
    ZoneName
}
