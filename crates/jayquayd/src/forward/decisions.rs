//! Logs one line per decision, limited to a number of lines per second.

use std::fmt;
use std::time::Duration;

use flow::CapacityState;
use flow::Decision;
use flow::ResetCause;
use flow::SilenceEvidence;
use units::Position;
use units::Revision;
use units::Time;

/// Maximum number of lines about single flows per [`WINDOW`], and of those about resets of established flows. A line
/// costs a few microseconds of CPU time, so these lines take less than a thousandth of a core.
const MAX_LINES: u32 = 100;
/// The interval that [`MAX_LINES`] applies to.
const WINDOW: Duration = Duration::from_secs(1);

/// Logs decisions, and counts those that it omits.
#[derive(Debug, Default)]
pub(crate) struct DecisionLog {
    since: Time,
    written: u32,
    /// Lines about resets of established flows, which each cost a client its connection. They have a limit of their
    /// own, as a burst of openings would use up a common one.
    written_resets: u32,
    left_out: u64,
}

impl DecisionLog {
    /// Logs decisions. Those that concern an upstream, a zone or the document as a whole are always written, those
    /// about a single flow only within the limit.
    pub(crate) fn write(&mut self, decisions: &[Decision], basis: Basis, now: Time) {
        for decision in decisions {
            if is_about_one_flow(decision) && !self.has_capacity(decision, now) {
                self.left_out += 1;
                continue;
            }
            log_decision(decision, basis);
        }
    }

    fn has_capacity(&mut self, decision: &Decision, now: Time) -> bool {
        if now.since(self.since) >= WINDOW {
            if self.left_out > 0 {
                log::warn!("flows: left out lines={}", self.left_out);
            }
            *self = Self {
                since: now,
                ..Self::default()
            };
        }
        let written = if is_established_reset(decision) {
            &mut self.written_resets
        } else {
            &mut self.written
        };
        *written += 1;
        *written <= MAX_LINES
    }
}

fn is_established_reset(decision: &Decision) -> bool {
    let Decision::Reset { cause, .. } = decision else {
        return false;
    };
    matches!(cause, ResetCause::Dead | ResetCause::Stalled)
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
            | Decision::CapacityChanged { .. }
    )
}

/// The document and the upstreams that a decision was based on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Basis {
    /// The revision of the document in force.
    pub(crate) document: Revision,
    /// Position in the store's history that the list of upstreams corresponds to.
    pub(crate) upstreams_at: Position,
}

/// Formats the evidence for a reset as log fields.
struct EvidenceFields(SilenceEvidence);

impl fmt::Display for EvidenceFields {
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

fn log_decision(decision: &Decision, basis: Basis) {
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
            evidence,
        } => {
            let upstream = upstream
                .map(|upstream| format!(" upstream={upstream}"))
                .unwrap_or_default();
            let evidence = evidence
                .map(|evidence| EvidenceFields(evidence).to_string())
                .unwrap_or_default();
            log::info!(
                "flows: reset flow={flow} cause={cause}{upstream}{evidence} document={document} upstreams_at={upstreams_at}"
            );
        }
        Decision::Dropped { flow, echo, cause } => {
            log::info!("flows: dropped flow={flow} cause={cause} echo={echo} upstreams_at={upstreams_at}");
        }
        Decision::MarkedDead {
            upstream,
            evidence,
            flows,
        } => log::warn!(
            "flows: taken for dead upstream={upstream}{} flows={flows}",
            EvidenceFields(*evidence)
        ),
        Decision::Revived(upstream) => log::warn!("flows: recovered upstream={upstream}"),
        Decision::Ejected {
            upstream,
            usual_percent,
            failures,
        } => log::warn!(
            "flows: ejected upstream={upstream} usual_percent={usual_percent} failed={} short={}",
            failures.failed,
            failures.short
        ),
        Decision::EjectedElsewhere(upstream) => log::info!("flows: ejected by another instance upstream={upstream}"),
        Decision::Readmitted(upstream) => log::warn!("flows: readmitted upstream={upstream}"),
        Decision::Restarted { upstream, flows } => {
            log::info!("flows: restarted upstream={upstream} flows={flows} upstreams_at={upstreams_at}");
        }
        Decision::Evacuated { zone, at, flows } => {
            log::warn!("zones: evacuated zone={zone} at={at} open_flows={flows}");
        }
        Decision::DocumentWarning { document, warning } => log::warn!("routes: unread document={document} {warning}"),
        Decision::CapacityChanged {
            service,
            state,
            slots,
            in_flight,
        } => {
            let level = match state {
                CapacityState::Short => log::Level::Warn,
                CapacityState::Ordinary | CapacityState::Spilling => log::Level::Info,
            };
            log::log!(
                level,
                "capacity: {state} service={service} slots={slots} in_flight={in_flight}"
            );
        }
        Decision::Restored { zone, at } => log::warn!("zones: restored zone={zone} at={at}"),
    }
}
