//! A queue in virtual time. Items of the same time come out in the order in which they went in.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use units::Time;

/// What will happen, in order of time.
#[derive(Debug)]
pub(crate) struct Queue<T> {
    items: BTreeMap<Reverse<(Time, u64)>, T>,
    count: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            items: BTreeMap::new(),
            count: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Adds an item.
    pub(crate) fn push(&mut self, at: Time, item: T) {
        self.count += 1;
        self.items.insert(Reverse((at, self.count)), item);
    }

    /// When the next item is due.
    pub(crate) fn next_at(&self) -> Option<Time> {
        let (Reverse((at, _)), _) = self.items.last_key_value()?;
        Some(*at)
    }

    /// Takes the next item.
    pub(crate) fn pop(&mut self) -> Option<(Time, T)> {
        let (Reverse((at, _)), item) = self.items.pop_last()?;
        Some((at, item))
    }
}
