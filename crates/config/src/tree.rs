//! Parses YAML text into a tree whose nodes carry their positions.
//!
//! The text is not deserialised into typed structs, because serde stops at the first value of a wrong type and an
//! operator needs to see all problems at once. Anchors, aliases and merge keys are not allowed, so that an auditor can
//! read each value where it is written.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_saphyr::Location;
use serde_saphyr::Spanned;
use serde_saphyr::options::DuplicateKeyPolicy;
use serde_saphyr::options::MergeKeyPolicy;

use crate::FieldPath;
use crate::Position;
use crate::Problem;
use crate::ProblemKind;

/// The maximum length of a text, in bytes as a JSON string, which is how the platform stores it.
pub const MAX_TEXT_LEN: usize = 1_000_000;

/// The maximum nesting depth of a text.
const MAX_NESTING_DEPTH: usize = 16;

/// The position of the first character.
const TEXT_START: Position = Position { line: 1, column: 1 };

/// A value with its position.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) position: Position,
    pub(crate) value: Value,
}

/// A value of any type.
#[derive(Debug)]
pub(crate) enum Value {
    Null,
    Boolean(bool),
    Number(u64),
    /// A number that no field accepts: negative or fractional.
    UnsupportedNumber,
    Text(String),
    Sequence(Vec<Node>),
    Mapping(Vec<Entry>),
}

/// A field of a mapping.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) key: Node,
    pub(crate) value: Node,
}

/// How much of the YAML parser's message is included in a problem.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ErrorDetail {
    /// The whole message.
    Full,
    /// None of it, because the text contains secrets.
    Redacted,
}

/// Parses `text` into a tree.
pub(crate) fn parse(text: &str, detail: ErrorDetail) -> Result<Node, Problem> {
    if json_string_len(text) > MAX_TEXT_LEN {
        return Err(root_problem(
            Position { line: 1, column: 1 },
            ProblemKind::TooLong(MAX_TEXT_LEN),
        ));
    }
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_depth: MAX_NESTING_DEPTH,
            flow_nesting_limit: MAX_NESTING_DEPTH,
            max_anchors: 0,
            max_aliases: 0,
        },
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        merge_keys: MergeKeyPolicy::AsOrdinary,
        strict_booleans: true,
        leading_zero_numbers_as_strings: true,
        underscored_numbers_as_strings: true,
    };
    serde_saphyr::from_str_with_options(text, options).map_err(|error| syntax_problem(&error, detail))
}

/// Returns the length of `text` as a JSON string, including quotes and escapes.
fn json_string_len(text: &str) -> usize {
    let mut len = 2;
    for byte in text.bytes() {
        len += match byte {
            b'"' | b'\\' | b'\n' | b'\r' | b'\t' | 0x08 | 0x0c => 2,
            0..0x20 => 6,
            _ => 1,
        };
    }
    len
}

fn syntax_problem(error: &serde_saphyr::Error, detail: ErrorDetail) -> Problem {
    let error = error.without_snippet();
    let position = error.location().map_or(TEXT_START, position_of);
    let message = match error {
        serde_saphyr::Error::MultipleDocuments { .. } => "only one YAML document is allowed".to_owned(),
        serde_saphyr::Error::Budget { .. } => {
            "the YAML is nested too deeply, or contains anchors or aliases".to_owned()
        }
        _ if detail == ErrorDetail::Redacted => "this is not valid YAML".to_owned(),
        _ => parser_message(&error.to_string()),
    };
    root_problem(position, ProblemKind::Syntax(message))
}

/// Returns the library's message without its position, which the problem already includes.
fn parser_message(message: &str) -> String {
    let line = message.lines().next().unwrap_or_default();
    let reason = line.split(" at line ").next().unwrap_or_default();
    format!("this is not valid YAML: {reason}")
}

fn root_problem(position: Position, kind: ProblemKind) -> Problem {
    Problem {
        position,
        field: FieldPath::default(),
        kind,
    }
}

fn position_of(location: Location) -> Position {
    Position {
        line: u32::try_from(location.line()).unwrap_or(u32::MAX),
        column: u32::try_from(location.column()).unwrap_or(u32::MAX),
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<Value>::deserialize(deserializer)?;
        Ok(Self {
            position: position_of(spanned.referenced),
            value: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E>(self, flag: bool) -> Result<Value, E> {
        Ok(Value::Boolean(flag))
    }

    fn visit_u64<E>(self, number: u64) -> Result<Value, E> {
        Ok(Value::Number(number))
    }

    fn visit_i64<E>(self, _number: i64) -> Result<Value, E> {
        Ok(Value::UnsupportedNumber)
    }

    fn visit_f64<E>(self, _number: f64) -> Result<Value, E> {
        Ok(Value::UnsupportedNumber)
    }

    fn visit_str<E>(self, text: &str) -> Result<Value, E> {
        Ok(Value::Text(text.to_owned()))
    }

    fn visit_string<E>(self, text: String) -> Result<Value, E> {
        Ok(Value::Text(text))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(Value::Sequence(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Value, A::Error> {
        let mut entries = Vec::new();
        while let Some((key, value)) = access.next_entry()? {
            entries.push(Entry { key, value });
        }
        Ok(Value::Mapping(entries))
    }
}
