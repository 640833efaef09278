//! Traversal of a YAML tree that collects all problems instead of stopping at the first.
//!
//! A method that returns `None` has reported a problem, so its caller may discard the value under construction.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use units::NameError;

use crate::FieldPath;
use crate::Position;
use crate::Problem;
use crate::ProblemKind;
use crate::ValueType;
use crate::tree::Entry;
use crate::tree::Node;
use crate::tree::Value;
use crate::unique::UniqueValues;

/// The problems found so far.
#[derive(Debug, Default)]
pub(crate) struct Report {
    problems: Vec<Problem>,
}

impl Report {
    /// Returns the validated value if there are no problems, otherwise all problems in the order of the text.
    pub(crate) fn finish<T>(mut self, value: Option<T>) -> Result<T, Vec<Problem>> {
        match value {
            Some(value) if self.problems.is_empty() => Ok(value),
            _ => {
                self.problems.sort_by_key(|problem| problem.position);
                Err(self.problems)
            }
        }
    }
}

/// A value with its position and field path.
#[derive(Debug, Clone)]
pub(crate) struct Cursor<'a> {
    node: &'a Node,
    field: FieldPath,
}

impl<'a> Cursor<'a> {
    /// Returns a cursor at the root of a tree.
    pub(crate) fn root(node: &'a Node) -> Self {
        let field = FieldPath::default();
        Self { node, field }
    }

    pub(crate) fn position(&self) -> Position {
        self.node.position
    }

    pub(crate) fn field(&self) -> &FieldPath {
        &self.field
    }

    /// Reports a problem with this value.
    pub(crate) fn add_problem(&self, report: &mut Report, kind: ProblemKind) {
        report.problems.push(Problem {
            position: self.node.position,
            field: self.field.clone(),
            kind,
        });
    }

    fn reject<T>(&self, report: &mut Report, kind: ProblemKind) -> Option<T> {
        self.add_problem(report, kind);
        None
    }

    /// Returns the fields of a mapping, and reports those that are not in `known`.
    pub(crate) fn fields(&self, known: &'static [&'static str], report: &mut Report) -> Option<Fields<'a>> {
        let Value::Mapping(entries) = &self.node.value else {
            return self.reject(report, ProblemKind::WrongType(ValueType::Mapping));
        };
        let mut fields = Fields {
            mapping: self.clone(),
            members: Vec::new(),
        };
        for entry in entries {
            fields.add(entry, known, report);
        }
        Some(fields)
    }

    /// Returns the items of a sequence whose length must be in the range `len`.
    pub(crate) fn items(&self, len: RangeInclusive<usize>, report: &mut Report) -> Option<Vec<Self>> {
        let Value::Sequence(nodes) = &self.node.value else {
            return self.reject(report, ProblemKind::WrongType(ValueType::Sequence));
        };
        if !len.contains(&nodes.len()) {
            return self.reject(report, ProblemKind::Count(len));
        }
        let mut items = Vec::new();
        for (index, node) in nodes.iter().enumerate() {
            let field = self.field.item(index);
            items.push(Self { node, field });
        }
        Some(items)
    }

    pub(crate) fn text(&self, report: &mut Report) -> Option<&'a str> {
        match &self.node.value {
            Value::Text(text) => Some(text),
            _ => self.reject(report, ProblemKind::WrongType(ValueType::Text)),
        }
    }

    /// Returns trimmed free text without control characters. Its length in characters must be in the range `len`.
    pub(crate) fn free_text(&self, len: RangeInclusive<usize>, report: &mut Report) -> Option<String> {
        let text = self.text(report)?.trim();
        if !len.contains(&text.chars().count()) {
            return self.reject(report, ProblemKind::Length(len));
        }
        if text.chars().any(char::is_control) {
            return self.reject(report, ProblemKind::ControlCharacter);
        }
        Some(text.to_owned())
    }

    pub(crate) fn name<T: FromStr<Err = NameError>>(&self, report: &mut Report) -> Option<T> {
        match self.text(report)?.parse() {
            Ok(name) => Some(name),
            Err(error) => self.reject(report, ProblemKind::Name(error)),
        }
    }

    pub(crate) fn number(&self, range: RangeInclusive<u64>, report: &mut Report) -> Option<u64> {
        match &self.node.value {
            Value::Number(number) if range.contains(number) => Some(*number),
            Value::Number(_) | Value::UnsupportedNumber => self.reject(report, ProblemKind::Range(range)),
            _ => self.reject(report, ProblemKind::WrongType(ValueType::Number)),
        }
    }

    /// Returns a number that fits into 32 bits.
    pub(crate) fn number_u32(&self, range: RangeInclusive<u32>, report: &mut Report) -> Option<u32> {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        let number = self.number(range, report)?;
        u32::try_from(number).ok()
    }

    pub(crate) fn boolean(&self, report: &mut Report) -> Option<bool> {
        match &self.node.value {
            Value::Boolean(flag) => Some(*flag),
            _ => self.reject(report, ProblemKind::WrongType(ValueType::Boolean)),
        }
    }

    /// Returns the index of the text in `choices`.
    pub(crate) fn choice(&self, choices: &'static [&'static str], report: &mut Report) -> Option<usize> {
        let text = self.text(report)?;
        let index = choices.iter().position(|choice| *choice == text);
        index.or_else(|| self.reject(report, ProblemKind::Choice(choices)))
    }

    /// Returns an address to listen on: any IP address, and port 0 to let the operating system assign one.
    pub(crate) fn address(&self, report: &mut Report) -> Option<SocketAddr> {
        match self.text(report)?.parse() {
            Ok(address) => Some(address),
            Err(error) => self.reject(report, ProblemKind::Address(error)),
        }
    }

    /// Returns an address that can be connected to.
    pub(crate) fn dialable_address(&self, report: &mut Report) -> Option<SocketAddr> {
        let address = self.address(report)?;
        let ip = address.ip();
        if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return self.reject(report, ProblemKind::Undialable(address));
        }
        Some(address)
    }

    /// Returns a name, and reports a problem if it is already in `seen`.
    pub(crate) fn unique_name<T>(&self, seen: &mut UniqueValues<T>, report: &mut Report) -> Option<T>
    where
        T: FromStr<Err = NameError> + Ord + Clone + fmt::Display,
    {
        let name = self.name(report)?;
        seen.add(&name, self, report);
        Some(name)
    }

    /// Returns an address that can be connected to, and reports a problem if it is already in `seen`.
    pub(crate) fn unique_address(
        &self,
        seen: &mut UniqueValues<SocketAddr>,
        report: &mut Report,
    ) -> Option<SocketAddr> {
        let address = self.dialable_address(report)?;
        seen.add(&address, self, report);
        Some(address)
    }
}

/// The fields of a mapping.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    mapping: Cursor<'a>,
    members: Vec<Member<'a>>,
}

#[derive(Debug)]
struct Member<'a> {
    name: &'static str,
    key_position: Position,
    value: &'a Node,
}

impl<'a> Fields<'a> {
    fn add(&mut self, entry: &'a Entry, known: &'static [&'static str], report: &mut Report) {
        let key = Cursor {
            node: &entry.key,
            field: self.mapping.field.clone(),
        };
        let Some(text) = key.text(report) else {
            return;
        };
        let Some(name) = known.iter().find(|name| **name == text) else {
            key.add_problem(report, ProblemKind::UnknownField(text.to_owned(), known.to_vec()));
            return;
        };
        if let Some(first) = self.members.iter().find(|member| member.name == *name) {
            let duplicate = Cursor {
                node: &entry.key,
                field: self.mapping.field.member(name),
            };
            duplicate.add_problem(report, ProblemKind::DuplicateField(first.key_position));
            return;
        }
        self.members.push(Member {
            name,
            key_position: entry.key.position,
            value: &entry.value,
        });
    }

    /// Returns the value of an optional field.
    pub(crate) fn find(&self, name: &str) -> Option<Cursor<'a>> {
        let member = self.members.iter().find(|member| member.name == name)?;
        let field = self.mapping.field.member(name);
        let node = member.value;
        Some(Cursor { node, field })
    }

    /// Reads a required field.
    pub(crate) fn read<T, F>(&self, name: &str, report: &mut Report, read: F) -> Option<T>
    where
        F: FnOnce(&Cursor<'a>, &mut Report) -> Option<T>,
    {
        match self.find(name) {
            Some(value) => read(&value, report),
            None => self.mapping.reject(report, ProblemKind::MissingField(name.to_owned())),
        }
    }

    /// Reads an optional field, which has the value `default` if it is omitted.
    pub(crate) fn read_or<T, F>(&self, name: &str, default: T, report: &mut Report, read: F) -> Option<T>
    where
        F: FnOnce(&Cursor<'a>, &mut Report) -> Option<T>,
    {
        match self.find(name) {
            Some(value) => read(&value, report),
            None => Some(default),
        }
    }
}
