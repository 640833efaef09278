//! A walk over a tree that notes every problem and goes on.
//!
//! A method that returns `None` has noted a problem, so a caller may drop what it was building.

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
    /// The checked value if there is no problem, else every problem in the order of the text.
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

/// A value, where it stands and which field it is.
#[derive(Debug, Clone)]
pub(crate) struct Cursor<'a> {
    node: &'a Node,
    field: FieldPath,
}

impl<'a> Cursor<'a> {
    /// The top of a tree.
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

    /// Notes a problem with this value.
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

    /// The fields of a mapping that knows only `known` ones.
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

    /// The items of a sequence whose length lies in `len`.
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

    /// Text for people, of a length in characters that lies in `len`.
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

    /// A number that fits 32 bits.
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

    /// The index of the text among `choices`.
    pub(crate) fn choice(&self, choices: &'static [&'static str], report: &mut Report) -> Option<usize> {
        let text = self.text(report)?;
        let index = choices.iter().position(|choice| *choice == text);
        index.or_else(|| self.reject(report, ProblemKind::Choice(choices)))
    }

    /// An address to listen on: any IP address, and port 0 where the system picks one.
    pub(crate) fn address(&self, report: &mut Report) -> Option<SocketAddr> {
        match self.text(report)?.parse() {
            Ok(address) => Some(address),
            Err(error) => self.reject(report, ProblemKind::Address(error)),
        }
    }

    /// An address that others can dial.
    pub(crate) fn dialable_address(&self, report: &mut Report) -> Option<SocketAddr> {
        let address = self.address(report)?;
        let ip = address.ip();
        if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return self.reject(report, ProblemKind::Undialable(address));
        }
        Some(address)
    }

    /// A name that stands nowhere else among `seen`.
    pub(crate) fn unique_name<T>(&self, seen: &mut UniqueValues<T>, report: &mut Report) -> Option<T>
    where
        T: FromStr<Err = NameError> + Ord + Clone + fmt::Display,
    {
        let name = self.name(report)?;
        seen.add(&name, self, report);
        Some(name)
    }

    /// An address that others can dial and that stands nowhere else among `seen`.
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

    /// The value of a field that may be left out.
    pub(crate) fn find(&self, name: &str) -> Option<Cursor<'a>> {
        let member = self.members.iter().find(|member| member.name == name)?;
        let field = self.mapping.field.member(name);
        let node = member.value;
        Some(Cursor { node, field })
    }

    /// Reads a field that must be there.
    pub(crate) fn read<T, F>(&self, name: &str, report: &mut Report, read: F) -> Option<T>
    where
        F: FnOnce(&Cursor<'a>, &mut Report) -> Option<T>,
    {
        match self.find(name) {
            Some(value) => read(&value, report),
            None => self.mapping.reject(report, ProblemKind::MissingField(name.to_owned())),
        }
    }

    /// Reads a field that may be left out, and then has the value `default`.
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
