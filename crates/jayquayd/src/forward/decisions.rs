//! One log line for each decision, up to a number of lines a second.

use std::fmt;
use std::time::Duration;

use flow::Decision;
use flow::SilenceEvidence;
use units::Position;
use units::Revision;
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
    pub(crate) fn tell(&mut self, decisions: &[Decision], basis: Basis, now: Time) {
        for decision in decisions {
            if is_about_one_flow(decision) && !self.has_room(now) {
                self.left_out += 1;
                continue;
            }
            write(decision, basis);
        }
    }

    fn has_room(&mut self, now: Time) -> bool {
        if now.since(self.since) >= SPAN {
            if self.left_out > 0 {
                log::warn!("flows: left out lines={}", self.left_out);
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
    !matches!(
        decision,
        Decision::MarkedDead { .. }
            | Decision::Revived(_)
            | Decision::Restarted { .. }
            | Decision::Ejected { .. }
            | Decision::EjectedElsewhere(_)
            | Decision::Readmitted(_)
            | Decision::Evacuated { .. }
            | Decision::Restored { .. }
            | Decision::DocumentWarning { .. }
    )
}

/// What a decision was based on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Basis {
    /// The revision of the document in force.
    pub(crate) document: Revision,
    /// The place in the store's history that the upstreams stood at.
    pub(crate) upstreams_at: Position,
}

/// What speaks for a reset, as it stands in the log.
struct Words(SilenceEvidence);

impl fmt::Display for Words {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SilenceEvidence {
            waiting,
            elsewhere,
            reporters,
            loss_percent,
            silent_for,
        } = self.0;
        let silent_ms = silent_for.as_millis();
        write!(f, " waiting={waiting} elsewhere={elsewhere} reporters={reporters}")?;
        write!(f, " loss_percent={loss_percent} silent_ms={silent_ms}")
    }
}

fn write(decision: &Decision, basis: Basis) {
    let Basis { document, upstreams_at } = basis;
    match decision {
        Decision::Placed {
            flow,
            upstream,
            earlier,
            tier,
            cost,
        } => {
            let earlier = earlier
                .map(|earlier| format!(" unanswered={earlier}"))
                .unwrap_or_default();
            log::info!(
                "flows: placed flow={flow} upstream={upstream} tier={tier} cost={cost:.2}{earlier} document={document} \
                 upstreams_at={upstreams_at}"
            );
        }
        Decision::Reset {
            flow,
            upstream,
            cause,
            evidence: grounds,
        } => {
            let upstream = upstream
                .map(|upstream| format!(" upstream={upstream}"))
                .unwrap_or_default();
            let grounds = grounds.map(|grounds| Words(grounds).to_string()).unwrap_or_default();
            log::info!(
                "flows: reset flow={flow} cause={cause}{upstream}{grounds} document={document} upstreams_at={upstreams_at}"
            );
        }
        Decision::Dropped { flow, echo, cause } => {
            log::info!("flows: dropped flow={flow} cause={cause} echo={echo} upstreams_at={upstreams_at}");
        }
        Decision::MarkedDead {
            upstream,
            evidence: grounds,
            flows,
        } => log::warn!(
            "flows: taken for dead upstream={upstream}{} flows={flows}",
            Words(*grounds)
        ),
        Decision::Revived(upstream) => log::warn!("flows: answers again upstream={upstream}"),
        Decision::Ejected {
            upstream,
            usual_percent,
        } => log::warn!("flows: ejected upstream={upstream} usual_percent={usual_percent}"),
        Decision::EjectedElsewhere(upstream) => log::info!("flows: ejected as told upstream={upstream}"),
        Decision::Readmitted(upstream) => log::warn!("flows: readmitted upstream={upstream}"),
        Decision::Restarted { upstream, flows } => {
            log::info!("flows: started again upstream={upstream} flows={flows} upstreams_at={upstreams_at}");
        }
        Decision::Evacuated { zone, at, flows } => {
            log::warn!("zones: evacuated zone={zone} at={at} open_flows={flows}");
        }
        Decision::DocumentWarning { document, warning } => log::warn!("routes: unread document={document} {warning}"),
        Decision::Restored { zone, at } => log::warn!("zones: restored zone={zone} at={at}"),
    }
}
