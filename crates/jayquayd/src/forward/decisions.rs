//! One log line for each decision, up to a number of lines a second.

use std::time::Duration;

use flow::Decision;
use units::Time;

/// How many lines about single flows are written in one span. A line costs a few microseconds of processor time, so
/// these take less than a thousandth of a core.
const LINES: u32 = 100;
/// The span that [`LINES`] is counted over.
const SPAN: Duration = Duration::from_secs(1);

/// Writes decisions to the log, and counts those that it leaves out.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    since: Time,
    written: u32,
    left_out: u64,
}

impl DecisionLog {
    /// Writes decisions. What changes the picture of an upstream is always written, what touches one flow only while
    /// there is room.
    pub(crate) fn tell(&mut self, decisions: &[Decision], now: Time) {
        for decision in decisions {
            if is_about_one_flow(decision) && !self.has_room(now) {
                self.left_out += 1;
                continue;
            }
            write(decision);
        }
    }

    fn has_room(&mut self, now: Time) -> bool {
        if now.since(self.since) >= SPAN {
            if self.left_out > 0 {
                log::warn!("flows: {} lines left out", self.left_out);
            }
            *self = Self {
                since: now,
                ..Self::default()
            };
        }
        self.written += 1;
        self.written <= LINES
    }
}

fn is_about_one_flow(decision: &Decision) -> bool {
    !matches!(decision, Decision::Died { .. } | Decision::Revived(_))
}

fn write(decision: &Decision) {
    match decision {
        Decision::Placed {
            flow,
            upstream,
            earlier: None,
            tier,
            cost,
        } => log::info!("flows: {flow} placed at {upstream}, {tier}, cost {cost:.2}"),
        Decision::Placed {
            flow,
            upstream,
            earlier: Some(earlier),
            tier,
            cost,
        } => log::info!("flows: {flow} placed at {upstream}, {tier}, cost {cost:.2}, as {earlier} did not answer"),
        Decision::Reset {
            flow,
            upstream: Some(upstream),
            cause,
        } => log::info!("flows: {flow} reset: {cause}, upstream {upstream}"),
        Decision::Reset {
            flow,
            upstream: None,
            cause,
        } => log::info!("flows: {flow} reset: {cause}"),
        Decision::Dropped { flow, echo, cause } => log::info!("flows: {flow} packet dropped: {cause}, echo {echo}"),
        Decision::Died {
            upstream,
            stalled,
            flows,
        } => log::warn!("flows: upstream {upstream} taken for dead: {stalled} flows wait in vain, {flows} reset"),
        Decision::Revived(upstream) => log::warn!("flows: upstream {upstream} answers again"),
    }
}
