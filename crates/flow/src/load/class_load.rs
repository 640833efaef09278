//! Openings of each class of a service, as counted by one instance or added up over several.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// A class is short of capacity if at least one in this many of its openings is rejected. Single rejections occur by
/// chance, as the view of load is a request old.
const SHORT_ONE_IN: u32 = 20;

/// Openings of one class of a service in about the last second.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u8, u32, u32)", into = "(u8, u32, u32)")]
pub struct ClassLoad {
    /// The number of more urgent classes of the service.
    pub rank: u8,
    /// Openings that were decided on.
    pub openings: u32,
    /// Openings that were refused or held.
    pub rejected: u32,
}

impl ClassLoad {
    /// Whether less urgent classes should leave capacity to this one.
    pub(crate) fn is_short(&self) -> bool {
        self.rejected > 0 && self.rejected.saturating_mul(SHORT_ONE_IN) >= self.openings
    }

    /// Adds up the loads of each class.
    pub(super) fn sums<'a>(loads: impl Iterator<Item = &'a Self>) -> Vec<Self> {
        let mut sums: BTreeMap<u8, Self> = BTreeMap::new();
        for load in loads {
            let sum = sums.entry(load.rank).or_default();
            sum.rank = load.rank;
            sum.openings = sum.openings.saturating_add(load.openings);
            sum.rejected = sum.rejected.saturating_add(load.rejected);
        }
        sums.into_values().collect()
    }
}

impl From<(u8, u32, u32)> for ClassLoad {
    fn from((rank, openings, rejected): (u8, u32, u32)) -> Self {
        Self {
            rank,
            openings,
            rejected,
        }
    }
}

impl From<ClassLoad> for (u8, u32, u32) {
    fn from(load: ClassLoad) -> Self {
        (load.rank, load.openings, load.rejected)
    }
}
