//! How often packets are lost on ways that work otherwise.
//!
//! Data that was sent again counts as lost once its upstream is seen to answer. While loss is frequent, a few flows that
//! wait in a row prove little.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Time;

use crate::decaying_count::DecayingCount;

/// The span over which losses and attempts are counted.
const SPAN: Duration = Duration::from_secs(2);
/// How many attempts without a loss are taken for granted, so that a single loss does not look frequent.
const PRIOR_ATTEMPTS: f64 = 20.0;
/// The loss that is assumed where none is seen.
const LEAST_LOSS: f64 = 0.01;
/// The most that is taken for loss. Beyond it nothing could be told.
const MOST_LOSS: f64 = 0.6;
/// How rarely an upstream that lives may be taken for dead, as the negative logarithm of the probability: one in two
/// hundred thousand.
const RARITY: f64 = 12.2;

/// The same where what is found is told to all instances: a wrong status resets the flows of all of them, and a large fleet
/// draws from chance more often. One in ten million.
const SHARED_RARITY: f64 = 16.1;
/// The loss that is assumed there where none is seen. So many instances have tried that a smaller one would show than at a
/// single instance.
const SHARED_LEAST_LOSS: f64 = 0.0045;

/// How many packets an instance has sent lately, and how many of them were lost.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Attempts, of which older ones count less.
    pub attempts: u16,
    /// Tenths of losses, as these fade as well.
    pub tenths_lost: u16,
}

impl Sample {
    /// What several instances have seen, taken together.
    pub(crate) fn add(&mut self, other: Self) {
        self.attempts = self.attempts.saturating_add(other.attempts);
        self.tenths_lost = self.tenths_lost.saturating_add(other.tenths_lost);
    }

    /// The share that is lost.
    pub(crate) fn share(self) -> f64 {
        share(f64::from(self.tenths_lost) / 10.0, f64::from(self.attempts))
    }
}

fn share(losses: f64, attempts: f64) -> f64 {
    (losses / (PRIOR_ATTEMPTS + attempts)).min(MOST_LOSS)
}

/// How often packets are lost, in percent.
pub(crate) type Percent = u8;

/// Counts attempts and losses.
#[derive(Debug, Default, Clone)]
pub(crate) struct Loss {
    attempts: DecayingCount,
    losses: DecayingCount,
}

impl Loss {
    pub(crate) fn note_attempt(&mut self, now: Time) {
        self.attempts.add(1, SPAN, now);
    }

    pub(crate) fn note_losses(&mut self, count: u32, now: Time) {
        if count > 0 {
            self.losses.add(count, SPAN, now);
        }
    }

    pub(crate) fn percent(&self, now: Time) -> Percent {
        let share = share(self.losses.value(SPAN, now), self.attempts.value(SPAN, now));
        (share * 100.0).round() as Percent
    }

    /// What to tell others.
    pub(crate) fn sample(&self, now: Time) -> Sample {
        Sample {
            attempts: self.attempts.value(SPAN, now).round() as u16,
            tenths_lost: (self.losses.value(SPAN, now) * 10.0).round() as u16,
        }
    }
}

/// How many flows must wait in a row until that is no chance any more.
pub(crate) fn flows_beyond_chance(loss: Percent) -> u32 {
    let loss = (f64::from(loss) / 100.0).clamp(LEAST_LOSS, MOST_LOSS);
    (RARITY / -loss.ln()).ceil() as u32
}

/// How many packets must have been lost in a row, over all instances, until that is no chance any more.
pub(crate) fn signs_beyond_chance(share: f64) -> u32 {
    let share = share.clamp(SHARED_LEAST_LOSS, MOST_LOSS);
    (SHARED_RARITY / -share.ln()).ceil() as u32
}
