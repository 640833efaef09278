//! Validation problems: what is wrong, where, and what is allowed instead.

use std::fmt;
use std::net::AddrParseError;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use token::SecretError;
use units::NameError;

/// Unknown field names longer than this are left out of messages, because they could be a misplaced secret.
const MAX_QUOTED_NAME_LEN: usize = 24;

/// The path from the root of a text to a value, such as `services[0].name`. It is empty for the root.
#[derive(Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FieldPath(String);

impl FieldPath {
    /// Returns the path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the path of the field `name` of the mapping at `self`.
    #[must_use]
    pub fn member(&self, name: &str) -> Self {
        if self.0.is_empty() {
            return Self(name.to_owned());
        }
        Self(format!("{}.{name}", self.0))
    }

    /// Returns the path of the item at `index` of the sequence at `self`.
    #[must_use]
    pub fn item(&self, index: usize) -> Self {
        Self(format!("{}[{index}]", self.0))
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

/// A position in a text.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The line, counted from 1.
    pub line: u32,
    /// The column, counted from 1 in characters.
    pub column: u32,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// A validation problem. It displays as `line:column: field: message`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Where the problem is.
    pub position: Position,
    /// The path of the field.
    pub field: FieldPath,
    /// What is wrong, and what is allowed.
    pub kind: ProblemKind,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.position)?;
        if !self.field.as_str().is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        self.kind.fmt(f)
    }
}

impl std::error::Error for Problem {}

/// The type of value that a field requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueType {
    /// A mapping.
    Mapping,
    /// A list.
    Sequence,
    /// Text.
    Text,
    /// A whole number.
    Number,
    /// `true` or `false`.
    Boolean,
}

impl fmt::Display for ValueType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Mapping => "a mapping",
            Self::Sequence => "a list",
            Self::Text => "text (in quotes if it looks like a number)",
            Self::Number => "a whole number",
            Self::Boolean => "`true` or `false`",
        };
        f.write_str(text)
    }
}

/// What is wrong, and what is allowed instead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProblemKind {
    /// The text exceeds this many bytes when encoded as a JSON string.
    TooLong(usize),
    /// The text is not valid YAML, or uses a YAML feature that is not allowed.
    Syntax(String),
    /// The field with this name is not known. The list holds the known fields.
    UnknownField(String, Vec<&'static str>),
    /// The field occurs twice, first at this position.
    DuplicateField(Position),
    /// The field with this name is missing.
    MissingField(String),
    /// The value is not of this type.
    WrongType(ValueType),
    /// The number is outside this range.
    Range(RangeInclusive<u64>),
    /// The number of characters is outside this range.
    Length(RangeInclusive<usize>),
    /// The number of items is outside this range.
    Count(RangeInclusive<usize>),
    /// The text contains a control character.
    ControlCharacter,
    /// The text is not one of these choices.
    Choice(&'static [&'static str]),
    /// The text is not a valid name.
    Name(NameError),
    /// The text is not a socket address.
    Address(AddrParseError),
    /// The address cannot be connected to: it is unspecified or multicast, or its port is 0.
    Undialable(SocketAddr),
    /// The value must be unique, and already occurs in this field at this position.
    Duplicate(String, FieldPath, Position),
    /// No availability zone has this name. The list holds the zones that exist.
    UnknownZone(String, Vec<String>),
    /// The approver is the author of the change.
    SelfApproval,
    /// The secret is too weak. The message does not contain it.
    Secret(SecretError),
    /// The address is reachable from other machines, and the settings do not allow that.
    AdminNotLoopback,
    /// Other instances cannot connect to this listen address, and none is advertised for them.
    NotAdvertised,
}

impl fmt::Display for ProblemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(max) => write!(f, "the text exceeds {max} bytes as a JSON string"),
            Self::Syntax(message) => f.write_str(message),
            Self::UnknownField(name, known) => write_unknown_field(f, name, known),
            Self::DuplicateField(first) => write!(f, "duplicate field, first defined at {first}"),
            Self::MissingField(name) => write!(f, "the field `{name}` is missing"),
            Self::WrongType(expected) => write!(f, "this must be {expected}"),
            Self::Range(range) => write!(f, "this must be from {} to {}", range.start(), range.end()),
            Self::Length(range) => write!(f, "this must have from {} to {} characters", range.start(), range.end()),
            Self::Count(range) => write!(f, "this must have from {} to {} items", range.start(), range.end()),
            Self::ControlCharacter => f.write_str("a control character is not allowed here"),
            Self::Choice(choices) => write!(f, "this must be {}", QuotedList(choices, "or")),
            Self::Name(error) => error.fmt(f),
            Self::Address(_) => f.write_str("this must be an IP address with a port, such as \"10.1.0.1:4000\""),
            Self::Undialable(address) => write!(
                f,
                "cannot connect to {address}: specify the IP address and port of a host"
            ),
            Self::Duplicate(value, field, first) => {
                write!(
                    f,
                    "`{value}` must be unique, but is already used at {field} (line {})",
                    first.line
                )
            }
            Self::UnknownZone(name, zones) => {
                write!(f, "no zone is named `{name}`; allowed: {}", QuotedList(zones, "or"))
            }
            Self::SelfApproval => f.write_str("the approver must be somebody else than the author"),
            Self::Secret(error) => error.fmt(f),
            Self::AdminNotLoopback => {
                f.write_str("this must be a loopback address, unless `listen.admin-on-any-address` is `true`")
            }
            Self::NotAdvertised => {
                f.write_str("other instances cannot connect to this address; set one that they can use in `advertise`")
            }
        }
    }
}

fn write_unknown_field(f: &mut fmt::Formatter<'_>, name: &str, known: &[&'static str]) -> fmt::Result {
    if name.chars().count() > MAX_QUOTED_NAME_LEN {
        return write!(f, "no such field; allowed: {}", QuotedList(known, "and"));
    }
    write!(f, "no such field: `{name}`; allowed: {}", QuotedList(known, "and"))
}

/// Displays items in backquotes as "`a`, `b` or `c`", with the given conjunction.
struct QuotedList<'a, T>(&'a [T], &'a str);

impl<T: fmt::Display> fmt::Display for QuotedList<'_, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some((last, others)) = self.0.split_last() else {
            return f.write_str("none");
        };
        for (index, item) in others.iter().enumerate() {
            let separator = if index + 1 == others.len() { " " } else { ", " };
            write!(f, "`{item}`{separator}")?;
        }
        if !others.is_empty() {
            write!(f, "{} ", self.1)?;
        }
        write!(f, "`{last}`")
    }
}
