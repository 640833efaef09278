//! One time line over all instances, in the order of their hybrid logical clocks, with its gaps.

mod columns;
mod draw;
mod gap;
mod merge;

use jayquayd::timeline::Entry;
use jayquayd::timeline::Stamp;
use serde::Serialize;
use units::FlowId;
use units::InstanceName;
use units::RequestSeq;
use units::Time;

pub use self::gap::Gap;
pub use self::gap::Loss;
pub use self::merge::Fetched;

/// Something on the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Item {
    /// An event.
    Event(Entry),
    /// Events that are not there.
    Gap(Gap),
}

impl Item {
    /// Where it stands on the time line.
    pub fn stamp(&self) -> Stamp {
        match self {
            Self::Event(entry) => entry.stamp,
            Self::Gap(gap) => gap.at(),
        }
    }
}

/// What is wanted of a time line. What is left out is not asked for.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Filter {
    /// Events of this flow.
    pub flow: Option<FlowId>,
    /// Events of this request of the flow.
    pub request: Option<RequestSeq>,
    /// Events of this instance.
    pub instance: Option<InstanceName>,
    /// Events from this time on.
    pub since: Option<Time>,
    /// Events up to this time.
    pub until: Option<Time>,
}

impl Filter {
    fn takes(&self, entry: &Entry) -> bool {
        let time = entry.stamp.time();
        let seq = entry.record.request().map(|(_, seq)| seq);
        self.flow.is_none_or(|flow| entry.record.flow() == Some(flow))
            && self.request.is_none_or(|request| seq == Some(request))
            && self.instance.as_ref().is_none_or(|name| *name == entry.instance)
            && self.since.is_none_or(|since| time >= since)
            && self.until.is_none_or(|until| time <= until)
    }

    /// A gap may hide what is wanted unless it is another instance's or lies outside the time.
    fn takes_gap(&self, gap: &Gap) -> bool {
        self.instance
            .as_ref()
            .is_none_or(|name| gap.instance.as_ref().is_none_or(|own| own == name))
            && self
                .since
                .is_none_or(|since| gap.until.is_none_or(|end| end.time() >= since))
            && self
                .until
                .is_none_or(|until| gap.from.is_none_or(|start| start.time() <= until))
    }
}

/// A time line.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize)]
pub struct Line {
    /// Events and gaps, in their order.
    pub items: Vec<Item>,
}

impl Line {
    /// What a filter takes of it. Gaps stay wherever they may hide something that was asked for.
    #[must_use]
    pub fn filter(mut self, filter: &Filter) -> Self {
        self.items.retain(|item| match item {
            Item::Event(entry) => filter.takes(entry),
            Item::Gap(gap) => filter.takes_gap(gap),
        });
        self
    }

    /// Whether events are missing.
    pub fn has_gaps(&self) -> bool {
        self.items.iter().any(|item| matches!(item, Item::Gap(_)))
    }
}
