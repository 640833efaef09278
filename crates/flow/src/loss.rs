//! Estimation of packet loss on paths that otherwise work.
//!
//! Retransmitted data counts as lost once its upstream is seen to respond. While loss is frequent, a few consecutive
//! waiting flows are weak evidence that an upstream is dead.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use units::Time;

use crate::decaying_count::DecayingCount;

/// The decay time constant of the counts of attempts and losses.
const SPAN: Duration = Duration::from_secs(2);
/// The number of loss-free prior attempts, so that a single loss does not look frequent.
const PRIOR_ATTEMPTS: f64 = 20.0;
/// The lower limit of the loss ratio, assumed where no loss has been seen.
const MIN_LOSS: f64 = 0.01;
/// The upper limit of the loss ratio. Above it a dead upstream could not be told from loss.
const MAX_LOSS: f64 = 0.6;
/// The probability with which a live upstream may be declared dead, as a negative natural logarithm: one in two
/// hundred thousand.
const FALSE_POSITIVE_EXPONENT: f64 = 12.2;

/// The same probability for decisions that are shared with all instances: one in ten million. It is lower because a
/// wrong status resets the flows of all instances, and a large fleet makes more such decisions.
const SHARED_FALSE_POSITIVE_EXPONENT: f64 = 16.1;
/// The lower limit of the loss ratio for shared decisions. With the attempts of many instances, a smaller loss ratio
/// would be visible than at a single instance.
const SHARED_MIN_LOSS: f64 = 0.0045;

/// The number of packets that an instance has sent recently, and the number of them that were lost.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Attempts, with a lower weight for older ones.
    pub attempts: u16,
    /// Losses in tenths, as their weight decays as well.
    pub tenths_lost: u16,
}

impl Sample {
    /// Adds the sample of another instance.
    pub(crate) fn add(&mut self, other: Self) {
        self.attempts = self.attempts.saturating_add(other.attempts);
        self.tenths_lost = self.tenths_lost.saturating_add(other.tenths_lost);
    }

    /// The loss ratio.
    pub(crate) fn share(self) -> f64 {
        share(f64::from(self.tenths_lost) / 10.0, f64::from(self.attempts))
    }
}

fn share(losses: f64, attempts: f64) -> f64 {
    (losses / (PRIOR_ATTEMPTS + attempts)).min(MAX_LOSS)
}

/// A loss ratio in percent.
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

    /// The sample to report to other instances.
    pub(crate) fn sample(&self, now: Time) -> Sample {
        Sample {
            attempts: self.attempts.value(SPAN, now).round() as u16,
            tenths_lost: (self.losses.value(SPAN, now) * 10.0).round() as u16,
        }
    }
}

/// The number of consecutive waiting flows that chance no longer explains.
pub(crate) fn significant_flow_count(loss: Percent) -> u32 {
    let loss = (f64::from(loss) / 100.0).clamp(MIN_LOSS, MAX_LOSS);
    (FALSE_POSITIVE_EXPONENT / -loss.ln()).ceil() as u32
}

/// The number of consecutive packets lost over all instances that chance no longer explains.
pub(crate) fn significant_loss_count(share: f64) -> u32 {
    let share = share.clamp(SHARED_MIN_LOSS, MAX_LOSS);
    (SHARED_FALSE_POSITIVE_EXPONENT / -share.ln()).ceil() as u32
}
