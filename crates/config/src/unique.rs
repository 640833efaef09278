//! Values that may stand only once in a text.

use std::collections::BTreeMap;
use std::fmt;

use crate::FieldPath;
use crate::Position;
use crate::ProblemKind;
use crate::cursor::Cursor;
use crate::cursor::Report;

/// The values seen so far, and where each stands.
#[derive(Debug)]
pub(crate) struct UniqueValues<T> {
    locations: BTreeMap<T, Location>,
}

/// Where a value stands.
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
    /// Notes a problem if `value`, which stands at `cursor`, has been seen before.
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

    /// The values in their order.
    pub(crate) fn values(&self) -> impl Iterator<Item = &T> {
        self.locations.keys()
    }
}
