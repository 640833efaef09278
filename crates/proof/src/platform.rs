//! A fake of the platform: one document with conditional updates, and lists that lag.

use std::collections::VecDeque;
use std::time::Duration;

use node::Listed;
use units::Revision;
use units::Time;

use crate::fault::PlatformState;

/// How far the list lags when nothing is wrong.
const LAG: Duration = Duration::from_secs(1);
/// How far the list lags at worst.
const LONG_LAG: Duration = Duration::from_secs(10);

/// A conditional update lost a race.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The revision that is there.
    pub current: Revision,
    /// Its text.
    pub text: String,
}

/// An accepted document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// When it was accepted.
    pub at: Time,
    /// Its revision.
    pub revision: Revision,
    /// Its text.
    pub text: String,
}

/// The fake.
#[derive(Debug, Default)]
pub(crate) struct Platform {
    pub(crate) state: PlatformState,
    pub(crate) accepted: Vec<Accepted>,
    lists: VecDeque<(Time, Vec<Listed>)>,
}

impl Platform {
    /// Whether it answers.
    pub(crate) fn answers(&self) -> bool {
        self.state != PlatformState::Down
    }

    /// Its extra delay.
    pub(crate) fn delay(&self) -> Duration {
        if self.state == PlatformState::Slow {
            Duration::from_secs(1)
        } else {
            Duration::ZERO
        }
    }

    /// The revision that is there.
    pub(crate) fn revision(&self) -> Option<Revision> {
        self.accepted.last().map(|accepted| accepted.revision)
    }

    /// Takes a document, if nobody has changed it since `base`.
    pub(crate) fn apply(&mut self, now: Time, base: Option<Revision>, text: String) -> Result<Revision, Conflict> {
        if let Some(last) = self.accepted.last()
            && base != Some(last.revision)
        {
            return Err(Conflict {
                current: last.revision,
                text: last.text.clone(),
            });
        }
        let revision = base.map_or(Revision(1), Revision::next);
        self.accepted.push(Accepted {
            at: now,
            revision,
            text,
        });
        Ok(revision)
    }

    /// The document as a re-list gives it, which may be an older one.
    pub(crate) fn relist(&self) -> Option<&Accepted> {
        let stale = self.state == PlatformState::Stale;
        let back = if stale && self.accepted.len() > 1 { 2 } else { 1 };
        self.accepted.len().checked_sub(back).map(|index| &self.accepted[index])
    }

    /// Keeps the list as it is now.
    pub(crate) fn keep(&mut self, now: Time, list: Vec<Listed>) {
        if !self.answers() {
            return;
        }
        self.lists.push_back((now, list));
        while self.lists.len() > 2 && now.since(self.lists[1].0) > LONG_LAG {
            self.lists.pop_front();
        }
    }

    /// The list as it was a while ago.
    pub(crate) fn list(&self, now: Time) -> Vec<Listed> {
        let lag = if self.state == PlatformState::Lagging {
            LONG_LAG
        } else {
            LAG
        };
        let old_enough = |(at, _): &&(Time, Vec<Listed>)| now.since(*at) >= lag;
        let found = self.lists.iter().rev().find(old_enough).or_else(|| self.lists.front());
        found.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}
