//! Compatibility with instances of an earlier release, which don't support epochs. Both releases run together during a
//! rolling update.
//!
//! Such instances write positions as revisions only. Their positions are taken to be in the local epochs, and positions
//! are sent to them without epochs. An instance that has itself seen the store return from an older copy doesn't accept
//! their changes: an instance without epochs may still hold entries that the store has lost.

use units::Epoch;
use units::Revision;

use crate::knowledge::Change;
use crate::knowledge::Knowledge;
use crate::knowledge::Positions;

impl Change {
    /// This change in the form for instances without epochs.
    #[must_use]
    pub fn without_epochs(self) -> Self {
        self.in_epochs(&Positions::default())
    }

    /// This change with all its positions moved to the epochs of `of`.
    fn in_epochs(mut self, of: &Positions) -> Self {
        self.document.set_epoch(of.document_at.epoch);
        self.document_at.epoch = of.document_at.epoch;
        self.upstreams_at.epoch = of.upstreams_at.epoch;
        if let Some(evacuations) = &mut self.evacuations {
            evacuations.at.epoch = of.evacuations_at.epoch;
        }
        self
    }
}

impl Positions {
    /// These positions, sent by an instance without epochs, in the epochs of `of`.
    #[must_use]
    pub fn in_epochs(mut self, of: &Self) -> Self {
        self.document_at.epoch = of.document_at.epoch;
        self.upstreams_at.epoch = of.upstreams_at.epoch;
        self.evacuations_at.epoch = of.evacuations_at.epoch;
        self
    }
}

impl Knowledge {
    /// Interprets a change from an instance without epochs. Returns `None` if its epochs can't be determined.
    pub fn read_without_epochs(&self, change: Change) -> Option<Change> {
        let held = self.positions();
        let is_first_epoch = self.epoch() == Epoch(0);
        (is_first_epoch || !self.was_restored()).then(|| change.in_epochs(&held))
    }

    /// Converts the level of an instance without epochs so that it can be compared with the local one.
    pub fn level_without_epochs(&self, level: Revision) -> Revision {
        let plain = self.parts().into_iter().map(|at| at.revision.0);
        let plain = plain.fold(0, u64::saturating_add);
        let epochs = self.level().0.saturating_sub(plain);
        Revision(level.0.saturating_add(epochs))
    }
}
