//! How often packets are lost on ways that work otherwise.
//!
//! Data that was sent again counts as lost once its upstream is seen to answer. While loss is frequent, a few flows that
//! wait in a row prove little.

use std::time::Duration;

use units::Time;

use crate::decay::Decayed;

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

/// How often packets are lost, in percent.
pub(crate) type Percent = u8;

/// Counts attempts and losses.
#[derive(Debug, Default, Clone)]
pub(crate) struct Loss {
    attempts: Decayed,
    losses: Decayed,
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
        let share = self.losses.value(SPAN, now) / (PRIOR_ATTEMPTS + self.attempts.value(SPAN, now));
        (share.min(MOST_LOSS) * 100.0).round() as Percent
    }
}

/// How many flows must wait in a row until that is no chance any more.
pub(crate) fn flows_beyond_chance(loss: Percent) -> u32 {
    let loss = (f64::from(loss) / 100.0).clamp(LEAST_LOSS, MOST_LOSS);
    (RARITY / -loss.ln()).ceil() as u32
}
