//! What instances of an earlier release tell, and are told, who know no epochs. While a fleet is rolled out, both releases speak.
//!
//! They write places as revisions alone. Their words are taken to be of the epochs that are held here, and what they are told is written
//! so. An instance that has seen the store come back itself takes no such word: whoever knows no epochs may still hold what the
//! store has lost.

use units::Epoch;
use units::Revision;

use crate::knowledge::Change;
use crate::knowledge::Knowledge;
use crate::knowledge::Positions;

impl Change {
    /// This change as whoever knows no epochs reads it.
    #[must_use]
    pub fn without_epochs(self) -> Self {
        self.in_epochs(&Positions::default())
    }

    /// This change with all its places in the epochs of other ones.
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
    /// These places, told by whoever knows no epochs, as they stand to what is held here.
    #[must_use]
    pub fn in_epochs(mut self, of: &Self) -> Self {
        self.document_at.epoch = of.document_at.epoch;
        self.upstreams_at.epoch = of.upstreams_at.epoch;
        self.evacuations_at.epoch = of.evacuations_at.epoch;
        self
    }
}

impl Knowledge {
    /// What a change of an instance that knows no epochs says, `None` if that can't be known.
    pub fn read_without_epochs(&self, change: Change) -> Option<Change> {
        let held = self.positions();
        let is_first_epoch = self.epoch() == Epoch(0);
        (is_first_epoch || !self.was_restored()).then(|| change.in_epochs(&held))
    }

    /// The level of an instance that knows no epochs, as it stands to the one held here.
    pub fn level_without_epochs(&self, level: Revision) -> Revision {
        let plain = self.parts().into_iter().map(|at| at.revision.0);
        let plain = plain.fold(0, u64::saturating_add);
        let epochs = self.level().0.saturating_sub(plain);
        Revision(level.0.saturating_add(epochs))
    }
}
