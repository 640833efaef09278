//! Packets of established flows: forwards them, and derives upstream health from them.

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
use crate::verdict::reset_for_established;
use crate::verdict::unroutable_cause;
use crate::wait::Wait;
use crate::wait::WaitKind;

impl Core {
    /// Forwards a packet to the upstream that its echo names, or resets the flow if that upstream is dead or silent.
    pub(super) fn handle_established(&mut self, packet: &Packet, now: Time) -> Verdict {
        let Some(id) = self.directory.by_echo(packet.echo) else {
            return Verdict::Drop(unroutable_cause(packet));
        };
        let key = FlowKey::from(packet);
        if packet.flags.contains(Flags::RST) || packet.flags.contains(Flags::FIN) {
            self.record_last_response(&key, packet, now);
            self.count_last_completion(&key, packet);
            self.close(&key);
            return self.forward(id);
        }
        // A packet that proves progress marks its upstream as alive again, so it is evaluated first.
        let sign = self.observe(&key, id, packet, now);
        if packet.len > 0 && self.is_dead(id, now) {
            self.close(&key);
            return Verdict::Reset(reset_for_established(packet, ResetCause::Dead));
        }
        if sign.is_retransmission && self.is_stalled(&key, now) {
            self.close(&key);
            return Verdict::Reset(reset_for_established(packet, ResetCause::Stalled));
        }
        self.forward(id)
    }

    /// Updates the state of a flow and its upstream from a packet.
    fn observe(&mut self, key: &FlowKey, id: UpstreamId, packet: &Packet, now: Time) -> Observation {
        self.track(key, id, packet, now);
        let Some(flow) = self.flows.get_mut(key) else {
            return Observation::default();
        };
        let sign = flow.observe(packet, now);
        let work = flow.update_work(sign, self.typical_lengths.get(&key.route), now);
        let health = self.health.entry(id).or_default();
        let progress = if sign.is_progress {
            health.record_progress(now)
        } else {
            Progress::default()
        };
        if let Some(at) = sign.answered_sent_at {
            self.answer_log.record(id, at, now);
        }
        self.loss.note_losses(progress.losses, now);
        if sign.is_request {
            health.record_request(now);
            self.loss.note_attempt(now);
        }
        if sign.is_retransmission {
            let is_lost = health.record_retransmission(flow, now);
            self.loss.note_losses(is_lost.into(), now);
            self.evaluate(id, now);
        }
        if progress.is_revived {
            self.handle_revival(id, now, now);
        }
        self.count_work(key, id, work, now);
        self.record_waits(id, sign);
        self.record_attempts(key, id, sign, now);
        sign
    }

    /// Adds a flow that is not known, and counts it as open from its first packet with data.
    fn track(&mut self, key: &FlowKey, id: UpstreamId, packet: &Packet, now: Time) {
        let flow = self.flows.get_mut(key).filter(|flow| flow.upstream == id);
        let Some(flow) = flow else {
            self.adopt(key, id, packet, now);
            return;
        };
        if packet.len > 0 && !flow.is_counted {
            flow.is_counted = true;
            self.count_flow(id, now);
        }
    }

    /// Adds a flow that another instance handled before.
    fn adopt(&mut self, key: &FlowKey, id: UpstreamId, packet: &Packet, now: Time) {
        self.close(key);
        let flow = Flow::new(id, Stage::Adopted, packet, now);
        if flow.is_counted {
            self.count_flow(id, now);
        }
        self.flows.insert(*key, flow);
        self.health.entry(id).or_default().flows += 1;
    }

    /// Records the client waits that a packet ends, for metrics.
    fn record_waits(&mut self, id: UpstreamId, sign: Observation) {
        let Some(listed) = self.directory.get(id) else {
            return;
        };
        let is_local_zone = listed.upstream().zone == self.options.zone;
        let waits = [
            (WaitKind::Handshake, sign.handshake_time),
            (WaitKind::Response, sign.response_time),
        ];
        for (kind, time) in waits {
            let Some(time) = time else {
                continue;
            };
            self.waits.push(Wait {
                kind,
                is_local_zone,
                time,
            });
        }
    }
}
