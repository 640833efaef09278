//! A time line in columns, for people.

use std::fmt;

use jayquayd::timeline::Stamp;

use crate::table::Table;
use crate::time::micros;

use super::Item;
use super::Line;

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.items.is_empty() {
            return f.write_str("no events\n");
        }
        let mut table = Table::new(&["TIME (UTC)", "INSTANCE", "EVENT"]);
        for item in &self.items {
            let (instance, what) = describe(item);
            table.push(vec![clock(item.stamp()), instance, what]);
        }
        write!(f, "{table}")
    }
}

/// Where something happened, and what.
pub(super) fn describe(item: &Item) -> (String, String) {
    match item {
        Item::Event(entry) => (entry.instance.to_string(), entry.record.to_string()),
        Item::Gap(gap) => (gap.label(), gap.to_string()),
    }
}

/// A stamp's time in UTC, to the microsecond. A gap whose beginning is not known has none.
pub(super) fn clock(stamp: Stamp) -> String {
    if stamp == Stamp::default() {
        return "?".to_owned();
    }
    micros(stamp.time())
}
