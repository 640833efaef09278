//! A walk over a tree that notes every problem and goes on.
//!
//! A method that returns `None` has noted a problem, so a caller may drop what it was building.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

use units::NameError;

use crate::Fault;
use crate::Field;
use crate::Position;
use crate::Problem;
use crate::Shape;
use crate::tree::Entry;
use crate::tree::Node;
use crate::tree::Value;
use crate::unique::Unique;

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
    field: Field,
}

impl<'a> Cursor<'a> {
    /// The top of a tree.
    pub(crate) fn top(node: &'a Node) -> Self {
        let field = Field::default();
        Self { node, field }
    }

    pub(crate) fn position(&self) -> Position {
        self.node.position
    }

    pub(crate) fn field(&self) -> &Field {
        &self.field
    }

    /// Notes a problem with this value.
    pub(crate) fn note(&self, report: &mut Report, fault: Fault) {
        report.problems.push(Problem {
            position: self.node.position,
            field: self.field.clone(),
            fault,
        });
    }

    fn refuse<T>(&self, report: &mut Report, fault: Fault) -> Option<T> {
        self.note(report, fault);
        None
    }

    /// The fields of a mapping that knows only `known` ones.
    pub(crate) fn fields(&self, known: &'static [&'static str], report: &mut Report) -> Option<Fields<'a>> {
        let Value::Mapping(entries) = &self.node.value else {
            return self.refuse(report, Fault::Shape(Shape::Mapping));
        };
        let mut fields = Fields {
            owner: self.clone(),
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
            return self.refuse(report, Fault::Shape(Shape::Sequence));
        };
        if !len.contains(&nodes.len()) {
            return self.refuse(report, Fault::Count(len));
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
            _ => self.refuse(report, Fault::Shape(Shape::Text)),
        }
    }

    /// Text for people, of a length in characters that lies in `len`.
    pub(crate) fn prose(&self, len: RangeInclusive<usize>, report: &mut Report) -> Option<String> {
        let text = self.text(report)?.trim();
        if !len.contains(&text.chars().count()) {
            return self.refuse(report, Fault::Length(len));
        }
        if text.chars().any(char::is_control) {
            return self.refuse(report, Fault::Control);
        }
        Some(text.to_owned())
    }

    pub(crate) fn name<T: FromStr<Err = NameError>>(&self, report: &mut Report) -> Option<T> {
        match self.text(report)?.parse() {
            Ok(name) => Some(name),
            Err(error) => self.refuse(report, Fault::Name(error)),
        }
    }

    pub(crate) fn number(&self, range: RangeInclusive<u64>, report: &mut Report) -> Option<u64> {
        match &self.node.value {
            Value::Number(number) if range.contains(number) => Some(*number),
            Value::Number(_) | Value::OtherNumber => self.refuse(report, Fault::Range(range)),
            _ => self.refuse(report, Fault::Shape(Shape::Number)),
        }
    }

    /// A number that fits 32 bits.
    pub(crate) fn number32(&self, range: RangeInclusive<u32>, report: &mut Report) -> Option<u32> {
        let range = u64::from(*range.start())..=u64::from(*range.end());
        let number = self.number(range, report)?;
        u32::try_from(number).ok()
    }

    pub(crate) fn flag(&self, report: &mut Report) -> Option<bool> {
        match &self.node.value {
            Value::Flag(flag) => Some(*flag),
            _ => self.refuse(report, Fault::Shape(Shape::Flag)),
        }
    }

    /// The index of the text among `choices`.
    pub(crate) fn choice(&self, choices: &'static [&'static str], report: &mut Report) -> Option<usize> {
        let text = self.text(report)?;
        let index = choices.iter().position(|choice| *choice == text);
        index.or_else(|| self.refuse(report, Fault::Choice(choices)))
    }

    /// An address to listen on: any IP address, and port 0 where the system picks one.
    pub(crate) fn address(&self, report: &mut Report) -> Option<SocketAddr> {
        match self.text(report)?.parse() {
            Ok(address) => Some(address),
            Err(error) => self.refuse(report, Fault::Address(error)),
        }
    }

    /// An address that others can dial.
    pub(crate) fn dialable(&self, report: &mut Report) -> Option<SocketAddr> {
        let address = self.address(report)?;
        let ip = address.ip();
        if address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            return self.refuse(report, Fault::Undialable(address));
        }
        Some(address)
    }

    /// A name that stands nowhere else among `seen`.
    pub(crate) fn unique_name<T>(&self, seen: &mut Unique<T>, report: &mut Report) -> Option<T>
    where
        T: FromStr<Err = NameError> + Ord + Clone + fmt::Display,
    {
        let name = self.name(report)?;
        seen.add(&name, self, report);
        Some(name)
    }

    /// An address that others can dial and that stands nowhere else among `seen`.
    pub(crate) fn unique_address(&self, seen: &mut Unique<SocketAddr>, report: &mut Report) -> Option<SocketAddr> {
        let address = self.dialable(report)?;
        seen.add(&address, self, report);
        Some(address)
    }
}

/// The fields of a mapping.
#[derive(Debug)]
pub(crate) struct Fields<'a> {
    owner: Cursor<'a>,
    members: Vec<Member<'a>>,
}

#[derive(Debug)]
struct Member<'a> {
    name: &'static str,
    key: Position,
    value: &'a Node,
}

impl<'a> Fields<'a> {
    fn add(&mut self, entry: &'a Entry, known: &'static [&'static str], report: &mut Report) {
        let key = Cursor {
            node: &entry.key,
            field: self.owner.field.clone(),
        };
        let Some(text) = key.text(report) else {
            return;
        };
        let Some(name) = known.iter().find(|name| **name == text) else {
            key.note(report, Fault::Unknown(text.to_owned(), known.to_vec()));
            return;
        };
        if let Some(first) = self.members.iter().find(|member| member.name == *name) {
            let repeated = Cursor {
                node: &entry.key,
                field: self.owner.field.member(name),
            };
            repeated.note(report, Fault::Repeated(first.key));
            return;
        }
        self.members.push(Member {
            name,
            key: entry.key.position,
            value: &entry.value,
        });
    }

    /// The value of a field that may be left out.
    pub(crate) fn find(&self, name: &str) -> Option<Cursor<'a>> {
        let member = self.members.iter().find(|member| member.name == name)?;
        let field = self.owner.field.member(name);
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
            None => self.owner.refuse(report, Fault::Missing(name.to_owned())),
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
