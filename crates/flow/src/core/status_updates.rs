//! Status updates about upstreams that are spread to all instances.
//!
//! The instance that makes a decision sends it to a few others, and each that receives it for the first time forwards
//! it. A round number for each upstream orders the updates.

use std::time::Duration;

use units::Time;

use super::Core;
use crate::decision::Decision;
use crate::grounds::Grounds;
use crate::health::Health;
use crate::inquiry::Silence;
use crate::report::Report;
use crate::standing::Standing;
use crate::standing::Status;
use crate::upstream::UpstreamId;

impl Core {
    /// Announces the ejection state of an upstream to the other instances.
    pub(super) fn announce_ejection(&mut self, id: UpstreamId) {
        let standing = self.health.get(&id).map(|health| health.ejection.standing(id));
        self.standings.extend(standing);
    }

    /// Announces whether an upstream is silent or alive to the other instances.
    pub(super) fn announce_silence(&mut self, id: UpstreamId, status: Status) {
        let Some(health) = self.health.get_mut(&id) else {
            return;
        };
        health.silence_round = health.silence_round.saturating_add(1);
        self.standings.push(Standing {
            upstream: id,
            round: health.silence_round,
            status,
        });
    }

    /// Handles an answer of an upstream that was considered dead, and announces it if its silence was announced. The
    /// upstream may have restarted, which its entry shows only later, so it is treated as cold.
    pub(super) fn handle_revival(&mut self, id: UpstreamId, answered_at: Time, now: Time) {
        self.directory.chill(id, now);
        self.decisions.push(Decision::Revived(id));
        let was_announced = self.health.get_mut(&id).is_some_and(Health::take_silence_announced);
        if was_announced {
            let answered_ago = now.since(answered_at);
            self.announce_silence(id, Status::Alive { answered_ago });
        }
        self.revive_zone(id);
    }

    /// Takes the updates decided here since the last call, to send to other instances.
    pub fn take_standings(&mut self) -> Vec<Standing> {
        std::mem::take(&mut self.standings)
    }

    /// Takes the new updates received since the last call, to forward to other instances.
    pub fn take_heard(&mut self, now: Time) -> Vec<Standing> {
        let heard = std::mem::take(&mut self.heard);
        let aged = heard.into_iter().map(|(at, standing)| standing.aged(now.since(at)));
        aged.collect()
    }

    /// Applies another instance's updates, and keeps new ones for forwarding. Returns reports for that instance about
    /// upstreams that have answered here since.
    pub fn hear_standings(&mut self, standings: &[Standing], now: Time) -> Vec<Report> {
        let mut answers = Vec::new();
        for standing in standings {
            let id = standing.upstream;
            if !self.directory.contains(id) {
                continue;
            }
            match standing.status {
                Status::Failing => self.follow_failing(standing, true, now),
                Status::Serving => self.follow_failing(standing, false, now),
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
                    answers.extend(self.follow_silent(standing, silence, now));
                }
                Status::Alive { answered_ago } => self.follow_alive(standing, answered_ago, now),
            }
        }
        answers
    }

    fn follow_failing(&mut self, standing: &Standing, is_out: bool, now: Time) {
        let id = standing.upstream;
        let health = self.health.entry(id).or_default();
        let was_ejected = health.ejection.is_ejected();
        if !health.ejection.follow(standing.round, is_out, now) {
            return;
        }
        self.heard.push((now, *standing));
        match (was_ejected, is_out) {
            (false, true) => self.decisions.push(Decision::Followed(id)),
            (true, false) => self.decisions.push(Decision::Readmitted(id)),
            _ => {}
        }
    }

    /// Marks an upstream as dead that others have found silent. If it has answered here since, returns a report that
    /// says so instead.
    fn follow_silent(&mut self, standing: &Standing, silence: Silence, now: Time) -> Option<Report> {
        let id = standing.upstream;
        let health = self.health.entry(id).or_default();
        if standing.round <= health.silence_round {
            return None;
        }
        if health.last_progress > silence.since {
            return Some(self.own_report(id, now));
        }
        health.silence_round = standing.round;
        self.heard.push((now, *standing));
        self.mark_silent(id, silence, now);
        None
    }

    /// Marks an upstream as dead that the instances have jointly found silent.
    pub(super) fn mark_silent(&mut self, id: UpstreamId, silence: Silence, now: Time) {
        let loss = self.loss.percent(now);
        let health = self.health.entry(id).or_default();
        let was_dead = health.is_marked_dead();
        health.mark_silent(silence.since, now);
        let grounds = Grounds {
            elsewhere: silence.signs,
            reporters: silence.instances as usize,
            silent_for: now.since(silence.since),
            ..health.grounds(loss, now)
        };
        self.reset_flows_of(id, was_dead, grounds);
        if let Some(health) = self.health.get_mut(&id) {
            health.clear_stalls();
        }
    }

    fn follow_alive(&mut self, standing: &Standing, answered_ago: Duration, now: Time) {
        let id = standing.upstream;
        let health = self.health.entry(id).or_default();
        if standing.round <= health.silence_round {
            return;
        }
        health.silence_round = standing.round;
        health.take_silence_announced();
        self.heard.push((now, *standing));
        self.record_remote_answer(id, now.before(answered_ago), now);
    }
}
