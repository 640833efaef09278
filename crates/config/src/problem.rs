//! What is wrong with a text, where it stands, and what is allowed there.

use std::fmt;
use std::net::AddrParseError;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use token::SecretError;
use units::NameError;

/// Longer field names are not repeated in messages, because a misplaced secret could stand there.
const MAX_QUOTED_NAME_LEN: usize = 24;

/// The way from the top of a text to a value, such as `services[0].name`. It is empty at the top.
#[derive(Debug, Default, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FieldPath(String);

impl FieldPath {
    /// The field as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The field of this name in the mapping that `self` names.
    #[must_use]
    pub fn member(&self, name: &str) -> Self {
        if self.0.is_empty() {
            return Self(name.to_owned());
        }
        Self(format!("{}.{name}", self.0))
    }

    /// The item at this index in the sequence that `self` names.
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

/// A place in a text.
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

/// One thing that is wrong with a text. It displays as `line:column: field: message`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Where it stands.
    pub position: Position,
    /// Which field it concerns.
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

/// The kinds of value that a field may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueType {
    /// Fields with values.
    Mapping,
    /// A list of values.
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
            Self::Mapping => "fields with values",
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
    /// The text is longer than this many bytes as a JSON string.
    TooLong(usize),
    /// The text is not the YAML that is taken here.
    Syntax(String),
    /// The field is not known; these are.
    UnknownField(String, Vec<&'static str>),
    /// The field stands twice, first here.
    DuplicateField(Position),
    /// The field is missing.
    MissingField(String),
    /// The value has another shape than this one.
    WrongType(ValueType),
    /// The number does not lie in this range.
    Range(RangeInclusive<u64>),
    /// The number of characters does not lie in this range.
    Length(RangeInclusive<usize>),
    /// The number of items does not lie in this range.
    Count(RangeInclusive<usize>),
    /// The text holds a control character.
    ControlCharacter,
    /// The text is none of these.
    Choice(&'static [&'static str]),
    /// The text is not a name.
    Name(NameError),
    /// The text is not an address.
    Address(AddrParseError),
    /// The address is one that nobody can dial.
    Undialable(SocketAddr),
    /// The value must be unique, and stands at this field and place already.
    Duplicate(String, FieldPath, Position),
    /// No availability zone has this name; these exist.
    UnknownZone(String, Vec<String>),
    /// The author approves the change.
    SelfApproval,
    /// The secret is too weak. It is not shown.
    Secret(SecretError),
    /// The address is reached from other machines, and nothing says that it may be.
    AdminNotLoopback,
    /// The address that others should dial is missing, because this one is not dialable.
    NotAdvertised,
}

impl fmt::Display for ProblemKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong(max) => write!(f, "the text is longer than {max} bytes as a JSON string"),
            Self::Syntax(message) => f.write_str(message),
            Self::UnknownField(name, known) => write_unknown_field(f, name, known),
            Self::DuplicateField(first) => write!(f, "the field stands twice, first at {first}"),
            Self::MissingField(name) => write!(f, "the field `{name}` is missing"),
            Self::WrongType(expected) => write!(f, "this must be {expected}"),
            Self::Range(range) => write!(f, "this must be from {} to {}", range.start(), range.end()),
            Self::Length(range) => write!(f, "this must have from {} to {} characters", range.start(), range.end()),
            Self::Count(range) => write!(f, "this must have from {} to {} items", range.start(), range.end()),
            Self::ControlCharacter => f.write_str("a control character is not allowed here"),
            Self::Choice(choices) => write!(f, "this must be {}", QuotedList(choices, "or")),
            Self::Name(error) => error.fmt(f),
            Self::Address(_) => f.write_str("this must be an IP address with a port, such as \"10.1.0.1:4000\""),
            Self::Undialable(address) => write!(f, "nobody can dial {address}: give a host's IP address and its port"),
            Self::Duplicate(value, field, first) => {
                write!(
                    f,
                    "`{value}` must be unique, and stands at {field} already (line {})",
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
                f.write_str("others cannot dial this address, so `advertise` must name one they can")
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

/// Displays items as "a, b or c".
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
