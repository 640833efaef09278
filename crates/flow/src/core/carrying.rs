//! Later packets of a flow: where they go, and what they tell of its upstream.

use units::Time;

use super::Core;
use crate::flows::Flow;
use crate::flows::FlowKey;
use crate::flows::Observation;
use crate::flows::Stage;
use crate::health::Progress;
use crate::packet::Flags;
use crate::packet::Packet;
use crate::packet::ResetCause;
use crate::upstream::UpstreamId;
use crate::verdict::Verdict;
use crate::verdict::reset_open;
use crate::verdict::unknown_echo;
use crate::wait::Wait;
use crate::wait::WaitKind;

impl Core {
    /// Forwards a packet of a flow to the upstream that its echo names.
    pub(super) fn carry(&mut self, packet: &Packet, now: Time) -> Verdict {
        let Some(id) = self.directory.by_echo(packet.echo) else {
            return Verdict::Drop(unknown_echo(packet));
        };
        let key = FlowKey::from(packet);
        if packet.flags.contains(Flags::RST) || packet.flags.contains(Flags::FIN) {
            self.settle_last(&key, packet, now);
            self.close(&key);
            return self.forward(id);
        }
        // A packet that shows a sign of life ends the belief that its upstream is dead, so this comes first.
        let sign = self.see(&key, id, packet, now);
        if packet.len > 0 && self.is_dead(id, now) {
            self.close(&key);
            return Verdict::Reset(reset_open(packet, ResetCause::Dead));
        }
        if sign.is_retransmission && self.is_stalled(&key, now) {
            self.close(&key);
            return Verdict::Reset(reset_open(packet, ResetCause::Stalled));
        }
        self.forward(id)
    }

    /// Notes what a packet tells of its flow and of its upstream.
    fn see(&mut self, key: &FlowKey, id: UpstreamId, packet: &Packet, now: Time) -> Observation {
        if self.flows.get_mut(key).is_none_or(|flow| flow.upstream != id) {
            self.close(key);
            self.flows.insert(*key, Flow::new(id, Stage::Adopted, packet, now));
            self.health.entry(id).or_default().flows += 1;
        }
        let Some(flow) = self.flows.get_mut(key) else {
            return Observation::default();
        };
        let sign = flow.observe(packet, now);
        let health = self.health.entry(id).or_default();
        let progress = if sign.is_progress {
            health.note_progress(now)
        } else {
            Progress::default()
        };
        if let Some(at) = sign.answered_sent_at {
            self.answered.note(id, at, now);
        }
        self.loss.note_losses(progress.losses, now);
        if sign.is_request {
            health.note_request(now);
            self.loss.note_attempt(now);
        }
        if sign.is_retransmission {
            let is_lost = health.note_copy(flow, now);
            self.loss.note_losses(is_lost.into(), now);
            self.judge(id, now);
        }
        if progress.is_revived {
            self.note_revived(id, now, now);
        }
        self.note_waits(id, sign);
        self.note_tries(key, id, sign, now);
        sign
    }

    /// Keeps the waits that a packet has ended, for the figures that operators see.
    fn note_waits(&mut self, id: UpstreamId, sign: Observation) {
        let Some(listed) = self.directory.get(id) else {
            return;
        };
        let is_at_home = listed.upstream().zone == self.options.zone;
        let waits = [
            (WaitKind::Handshake, sign.handshake_time),
            (WaitKind::Response, sign.response_time),
        ];
        for (kind, time) in waits {
            let Some(time) = time else {
                continue;
            };
            self.waits.push(Wait { kind, is_at_home, time });
        }
    }
}
