//! What this instance tells all others of upstreams, and what it follows of what they tell.
//!
//! Whoever finds out tells a few, and each that hears of it first passes it on. A count for each upstream tells which of
//! two standings is the later one.

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
    /// Has the others follow what was decided of a failing upstream here.
    pub(super) fn tell_standing(&mut self, id: UpstreamId) {
        let standing = self.health.get(&id).map(|health| health.ejection.standing(id));
        self.standings.extend(standing);
    }

    /// Has the others follow what was found of an upstream's silence here.
    pub(super) fn tell_silence(&mut self, id: UpstreamId, status: Status) {
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

    /// An upstream that was taken for dead has answered. All are told who were told that it is silent. It may have started
    /// again, which its entry tells only later, so it counts as cold.
    pub(super) fn note_revived(&mut self, id: UpstreamId, answered_at: Time, now: Time) {
        self.directory.start_cold_period(id, now);
        self.decisions.push(Decision::Revived(id));
        let was_told = self.health.get_mut(&id).is_some_and(Health::take_told_silent);
        if was_told {
            let answered_ago = now.since(answered_at);
            self.tell_silence(id, Status::Alive { answered_ago });
        }
        self.revive_zone(id);
    }

    /// What was decided here since the last time, for all others.
    pub fn take_standings(&mut self) -> Vec<Standing> {
        std::mem::take(&mut self.standings)
    }

    /// What was heard since the last time and was news, to be passed on.
    pub fn take_heard(&mut self, now: Time) -> Vec<Standing> {
        let heard = std::mem::take(&mut self.heard);
        let aged = heard.into_iter().map(|(at, standing)| standing.aged(now.since(at)));
        aged.collect()
    }

    /// Follows what another instance has decided, and keeps what was news to be passed on. Gives what that instance should
    /// know: upstreams that have answered here since.
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
        if !health.ejection.apply_report(standing.round, is_out, now) {
            return;
        }
        self.heard.push((now, *standing));
        match (was_ejected, is_out) {
            (false, true) => self.decisions.push(Decision::Followed(id)),
            (true, false) => self.decisions.push(Decision::Readmitted(id)),
            _ => {}
        }
    }

    /// Gives up an upstream that others have found silent, unless it has answered here since: then they are told so.
    fn follow_silent(&mut self, standing: &Standing, silence: Silence, now: Time) -> Option<Report> {
        let id = standing.upstream;
        let health = self.health.entry(id).or_default();
        if standing.round <= health.silence_round {
            return None;
        }
        if health.last_progress > silence.since {
            return Some(self.view(id, now));
        }
        health.silence_round = standing.round;
        self.heard.push((now, *standing));
        self.find_silent(id, silence, now);
        None
    }

    /// Takes an upstream for dead that all instances together have found silent.
    pub(super) fn find_silent(&mut self, id: UpstreamId, silence: Silence, now: Time) {
        let loss = self.loss.percent(now);
        let health = self.health.entry(id).or_default();
        let was_dead = health.is_given_up();
        health.find_silent(silence.since, now);
        let grounds = Grounds {
            elsewhere: silence.signs,
            reporters: silence.instances as usize,
            silent_for: now.since(silence.since),
            ..health.grounds(loss, now)
        };
        self.give_up(id, was_dead, grounds);
        if let Some(health) = self.health.get_mut(&id) {
            health.note_all_over();
        }
    }

    fn follow_alive(&mut self, standing: &Standing, answered_ago: Duration, now: Time) {
        let id = standing.upstream;
        let health = self.health.entry(id).or_default();
        if standing.round <= health.silence_round {
            return;
        }
        health.silence_round = standing.round;
        health.take_told_silent();
        self.heard.push((now, *standing));
        self.note_answer(id, now.before(answered_ago), now);
    }
}
