//! Values that may stand only once in a text.

use std::collections::BTreeMap;
use std::fmt;

use crate::Fault;
use crate::Position;
use crate::cursor::Cursor;
use crate::cursor::Report;

/// The values seen so far, and where each stands.
#[derive(Debug)]
pub(crate) struct Unique<T> {
    seen: BTreeMap<T, Position>,
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
            cursor.note(report, Fault::Taken(value.to_string(), *first));
            return;
        }
        self.seen.insert(value.clone(), cursor.position());
    }

    pub(crate) fn contains(&self, value: &T) -> bool {
        self.seen.contains_key(value)
    }

    /// The values in their order.
    pub(crate) fn values(&self) -> impl Iterator<Item = &T> {
        self.seen.keys()
    }
}
