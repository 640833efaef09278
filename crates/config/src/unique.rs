//! Detection of values that may occur only once in a text.

use std::collections::BTreeMap;
use std::fmt;

use crate::FieldPath;
use crate::Position;
use crate::ProblemKind;
use crate::cursor::Cursor;
use crate::cursor::Report;

/// The values seen so far, each with the location of its first occurrence.
#[derive(Debug)]
pub(crate) struct UniqueValues<T> {
    locations: BTreeMap<T, Location>,
}

/// The location of a value.
#[derive(Debug)]
struct Location {
    field: FieldPath,
    position: Position,
}

impl<T> Default for UniqueValues<T> {
    fn default() -> Self {
        Self {
            locations: BTreeMap::new(),
        }
    }
}

impl<T: Ord + Clone + fmt::Display> UniqueValues<T> {
    /// Records `value`, read at `cursor`, or reports a problem if it was seen before.
    pub(crate) fn add(&mut self, value: &T, cursor: &Cursor<'_>, report: &mut Report) {
        if let Some(first) = self.locations.get(value) {
            let kind = ProblemKind::Duplicate(value.to_string(), first.field.clone(), first.position);
            cursor.add_problem(report, kind);
            return;
        }
        let field = cursor.field().clone();
        let position = cursor.position();
        self.locations.insert(value.clone(), Location { field, position });
    }

    pub(crate) fn contains(&self, value: &T) -> bool {
        self.locations.contains_key(value)
    }

    /// Returns the values in sorted order.
    pub(crate) fn values(&self) -> impl Iterator<Item = &T> {
        self.locations.keys()
    }
}
