//! Status updates about upstreams that are spread to all instances.
//!
//! The instance that makes a decision sends it to a few others, and each that receives it for the first time forwards
//! it. A round number for each upstream orders the updates.

use std::time::Duration;

use units::Time;

use super::Core;
use crate::decision::Decision;
use crate::evidence::SilenceEvidence;
use crate::health::Health;
use crate::inquiry::Silence;
use crate::report::Report;
use crate::status_update::Status;
use crate::status_update::StatusUpdate;
use crate::upstream::UpstreamId;

impl Core {
    /// Announces the ejection state of an upstream to the other instances.
    pub(super) fn announce_ejection(&mut self, id: UpstreamId) {
        let update = self.health.get(&id).map(|health| health.ejection.standing(id));
        self.status_updates.extend(update);
    }

    /// Announces whether an upstream is silent or alive to the other instances.
    pub(super) fn announce_silence(&mut self, id: UpstreamId, status: Status) {
        let Some(health) = self.health.get_mut(&id) else {
            return;
        };
        health.silence_round = health.silence_round.saturating_add(1);
        self.status_updates.push(StatusUpdate {
            upstream: id,
            round: health.silence_round,
            status,
        });
    }

    /// Handles an answer of an upstream that was considered dead, and announces it if its silence was announced. The
    /// upstream may have restarted, which its entry shows only later, so it is treated as cold.
    pub(super) fn handle_revival(&mut self, id: UpstreamId, answered_at: Time, now: Time) {
        self.directory.start_cold_period(id, now);
        self.decisions.push(Decision::Revived(id));
        let was_announced = self.health.get_mut(&id).is_some_and(Health::take_silence_announced);
        if was_announced {
            let answered_ago = now.since(answered_at);
            self.announce_silence(id, Status::Alive { answered_ago });
        }
        self.revive_zone(id);
    }

    /// Takes the updates decided here since the last call, to send to other instances.
    pub fn take_status_updates(&mut self) -> Vec<StatusUpdate> {
        std::mem::take(&mut self.status_updates)
    }

    /// Takes the new updates received since the last call, to forward to other instances.
    pub fn take_received_updates(&mut self, now: Time) -> Vec<StatusUpdate> {
        let received = std::mem::take(&mut self.received_updates);
        let aged = received.into_iter().map(|(at, update)| update.aged(now.since(at)));
        aged.collect()
    }

    /// Applies another instance's updates, and keeps new ones for forwarding. Returns reports for that instance about
    /// upstreams that have answered here since.
    pub fn receive_status_updates(&mut self, updates: &[StatusUpdate], now: Time) -> Vec<Report> {
        let mut answers = Vec::new();
        for update in updates {
            let id = update.upstream;
            if !self.directory.contains(id) {
                continue;
            }
            match update.status {
                Status::Failing => self.apply_ejection(update, true, now),
                Status::Serving => self.apply_ejection(update, false, now),
                Status::Silent {
                    silent_for,
                    signs,
                    instances,
                } => {
                    let since = now.before(silent_for);
                    let silence = Silence {
                        since,
                        signs,
                        instances,
                    };
                    answers.extend(self.apply_silence(update, silence, now));
                }
                Status::Alive { answered_ago } => self.apply_recovery(update, answered_ago, now),
            }
        }
        answers
    }

    fn apply_ejection(&mut self, update: &StatusUpdate, is_out: bool, now: Time) {
        let id = update.upstream;
        let health = self.health.entry(id).or_default();
        let was_ejected = health.ejection.is_ejected();
        if !health.ejection.apply_report(update.round, is_out, now) {
            return;
        }
        self.received_updates.push((now, *update));
        match (was_ejected, is_out) {
            (false, true) => self.decisions.push(Decision::EjectedElsewhere(id)),
            (true, false) => self.decisions.push(Decision::Readmitted(id)),
            _ => {}
        }
        if is_out {
            self.yield_excess_ejections(id, now);
        }
    }

    /// Marks an upstream as dead that others have found silent. If it has answered here since, returns a report that
    /// says so instead.
    fn apply_silence(&mut self, update: &StatusUpdate, silence: Silence, now: Time) -> Option<Report> {
        let id = update.upstream;
        let health = self.health.entry(id).or_default();
        if update.round <= health.silence_round {
            return None;
        }
        if health.last_progress > silence.since {
            return Some(self.own_report(id, now));
        }
        health.silence_round = update.round;
        self.received_updates.push((now, *update));
        self.mark_silent(id, silence, now);
        None
    }

    /// Marks an upstream as dead that the instances have jointly found silent.
    pub(super) fn mark_silent(&mut self, id: UpstreamId, silence: Silence, now: Time) {
        let loss = self.loss.percent(now);
        let health = self.health.entry(id).or_default();
        let was_dead = health.is_marked_dead();
        health.mark_silent(silence.since, now);
        let evidence = SilenceEvidence {
            elsewhere: silence.signs,
            reporters: silence.instances as usize,
            silent_for: now.since(silence.since),
            ..health.evidence(loss, now)
        };
        self.reset_flows_of(id, was_dead, evidence);
        if let Some(health) = self.health.get_mut(&id) {
            health.clear_stalls();
        }
    }

    fn apply_recovery(&mut self, update: &StatusUpdate, answered_ago: Duration, now: Time) {
        let id = update.upstream;
        let health = self.health.entry(id).or_default();
        if update.round <= health.silence_round {
            return;
        }
        health.silence_round = update.round;
        health.take_silence_announced();
        self.received_updates.push((now, *update));
        self.record_remote_answer(id, now.before(answered_ago), now);
    }
}
