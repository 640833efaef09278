//! Values that may stand only once in a text.

use std::collections::BTreeMap;
use std::fmt;

use crate::Fault;
use crate::Field;
use crate::Position;
use crate::cursor::Cursor;
use crate::cursor::Report;

/// The values seen so far, and where each stands.
#[derive(Debug)]
pub(crate) struct Unique<T> {
    seen: BTreeMap<T, Place>,
}

/// Where a value stands.
#[derive(Debug)]
struct Place {
    field: Field,
    position: Position,
}

impl<T> Default for Unique<T> {
    fn default() -> Self {
        Self { seen: BTreeMap::new() }
    }
}

impl<T: Ord + Clone + fmt::Display> Unique<T> {
    /// Notes a problem if `value`, which stands at `cursor`, has been seen before.
    pub(crate) fn add(&mut self, value: &T, cursor: &Cursor<'_>, report: &mut Report) {
        if let Some(first) = self.seen.get(value) {
            let fault = Fault::Taken(value.to_string(), first.field.clone(), first.position);
            cursor.note(report, fault);
            return;
        }
        let field = cursor.field().clone();
        let position = cursor.position();
        self.seen.insert(value.clone(), Place { field, position });
    }

    pub(crate) fn contains(&self, value: &T) -> bool {
        self.seen.contains_key(value)
    }

    /// The values in their order.
    pub(crate) fn values(&self) -> impl Iterator<Item = &T> {
        self.seen.keys()
    }
}
