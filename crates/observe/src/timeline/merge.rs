//! Puts the events of several instances into one order, and finds what is missing.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use jayquayd::timeline::Entry;
use jayquayd::timeline::Seq;
use jayquayd::timeline::Stamp;
use node::Record;
use units::Incarnation;
use units::InstanceName;

use super::Gap;
use super::Item;
use super::Line;
use super::Loss;

/// What was fetched from one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fetched {
    /// Its name, if the platform told it.
    pub name: Option<InstanceName>,
    /// Where.
    pub address: SocketAddr,
    /// Its events, oldest first.
    pub entries: Vec<Entry>,
    /// Why there are no more, if it did not answer to the end.
    pub failure: Option<String>,
}

/// One life of an instance.
type Life = (InstanceName, Incarnation);

/// Since when and until when others saw a life.
#[derive(Debug, Default)]
struct Sighting {
    from: Option<Stamp>,
    until: Option<Stamp>,
}

impl Line {
    /// Merges what was fetched.
    pub fn merge(fetched: Vec<Fetched>) -> Self {
        let mut items = Vec::new();
        let mut told: BTreeSet<Life> = BTreeSet::new();
        let mut seen: BTreeMap<Life, Sighting> = BTreeMap::new();
        for one in fetched {
            let mut last: Option<Entry> = None;
            for entry in one.entries {
                items.extend(dropped(last.as_ref(), &entry).map(Item::Gap));
                note(&mut seen, &entry);
                told.insert((entry.instance.clone(), entry.incarnation));
                last = Some(entry.clone());
                items.push(Item::Event(entry));
            }
            if let Some(cause) = one.failure {
                items.push(Item::Gap(silent(one.name, one.address, last.as_ref(), cause)));
            }
        }
        for (life, sighting) in seen {
            if !told.contains(&life) {
                items.push(Item::Gap(ended(life, &sighting)));
            }
        }
        items.sort_by_cached_key(order);
        Self { items }
    }
}

/// A gap follows the event that it begins with. Else any order will do that is the same each time.
fn order(item: &Item) -> (Stamp, bool, Option<InstanceName>, Seq) {
    match item {
        Item::Event(entry) => (entry.stamp, false, Some(entry.instance.clone()), entry.seq),
        Item::Gap(gap) => (gap.at(), true, gap.instance.clone(), Seq::default()),
    }
}

/// The gap between an entry and the one before it, if numbers are missing.
fn dropped(last: Option<&Entry>, entry: &Entry) -> Option<Gap> {
    let last = last.filter(|last| last.incarnation == entry.incarnation);
    let expected = last.map_or(1, |last| last.seq.0 + 1);
    let count = entry.seq.0.saturating_sub(expected);
    (count > 0).then(|| Gap {
        instance: Some(entry.instance.clone()),
        incarnation: Some(entry.incarnation),
        address: None,
        from: last.map(|last| last.stamp),
        until: Some(entry.stamp),
        loss: Loss::Dropped(count),
    })
}

fn silent(name: Option<InstanceName>, address: SocketAddr, last: Option<&Entry>, cause: String) -> Gap {
    Gap {
        instance: last.map(|last| last.instance.clone()).or(name),
        incarnation: last.map(|last| last.incarnation),
        address: Some(address),
        from: last.map(|last| last.stamp),
        until: None,
        loss: Loss::Silent(cause),
    }
}

fn ended((instance, incarnation): Life, sighting: &Sighting) -> Gap {
    Gap {
        instance: Some(instance),
        incarnation: Some(incarnation),
        address: None,
        from: sighting.from,
        until: sighting.until,
        loss: Loss::Ended,
    }
}

/// Notes whom an entry tells of. The first sight is where a gap begins, and the last end is where it ends.
fn note(seen: &mut BTreeMap<Life, Sighting>, entry: &Entry) {
    match &entry.record {
        Record::Up(name, life) => {
            let sighting = seen.entry((name.clone(), *life)).or_default();
            let from = sighting.from.map_or(entry.stamp, |from| from.min(entry.stamp));
            sighting.from = Some(from);
        }
        Record::Down(name, life) => {
            let sighting = seen.entry((name.clone(), *life)).or_default();
            sighting.until = sighting.until.max(Some(entry.stamp));
        }
        _ => {}
    }
}
