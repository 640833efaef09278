//! The flow table: what this instance has observed of each flow. It is a cache that informs decisions; any of it may
//! be lost at any time.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use units::Time;

use crate::packet::Packet;
use crate::typical::TypicalLength;
use crate::upstream::UpstreamId;

/// The minimum interval between two retransmissions that both count. A sender waits 200 milliseconds before the first
/// retransmission, and longer before each further one.
pub(crate) const MIN_RETRANSMISSION_INTERVAL: Duration = Duration::from_millis(120);

/// Time after which a client gives up on an opening packet, retransmissions included.
pub(crate) const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Identifies a flow by its two addresses, which are the same for the client, the upstream and every instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// The address of the client.
    pub client: SocketAddrV4,
    /// The address of the route.
    pub route: SocketAddrV4,
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.client, self.route)
    }
}

impl From<&Packet> for FlowKey {
    fn from(packet: &Packet) -> Self {
        Self {
            client: packet.client,
            route: packet.route,
        }
    }
}

/// The stage of a flow's life cycle, as seen by this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// This instance placed the flow, and the upstream has not responded yet.
    Opening,
    /// The flow was first handled by another instance, or by this one before a restart.
    Adopted,
    /// The flow is established.
    Open,
}

/// What this instance has observed of one flow.
#[derive(Debug, Clone)]
pub(crate) struct Flow {
    /// The upstream that its packets are forwarded to.
    pub(crate) upstream: UpstreamId,
    pub(crate) stage: Stage,
    /// When this instance saw the first packet of the flow.
    pub(crate) first_seen: Time,
    pub(crate) last_seen: Time,
    /// The latest acknowledgement number from the client.
    pub(crate) client_ack: u32,
    /// The sequence number after the last byte that the client has sent.
    pub(crate) next_seq: u32,
    /// Client data that the upstream has not responded to yet.
    pub(crate) pending: Option<Pending>,
    /// The number of the upstream's stall that this flow was last counted in.
    pub(crate) counted_in_stall: u32,
    /// The latest request, while its outcome is unknown.
    pub(crate) request: Option<OpenRequest>,
    /// When its opening or its latest request began, while that counts as work in flight.
    pub(crate) working_since: Option<Time>,
    /// Whether its latest request doesn't count as completed yet.
    pub(crate) is_incomplete: bool,
    /// Whether it counts as an open flow. A flow of which only empty packets were seen doesn't, as an acknowledgement
    /// may arrive after the flow was closed.
    pub(crate) is_counted: bool,
    /// Whether its opening packet arrived together with a copy, so that the client may have given up before.
    pub(crate) is_delayed: bool,
}

/// A request whose outcome is not known yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OpenRequest {
    /// When it came.
    pub(crate) at: Time,
    /// The client's acknowledgement number when the request arrived.
    ack: u32,
    /// When the client last acknowledged more of the response.
    pub(crate) progress_at: Option<Time>,
    /// The response time, until it has been recorded as a sample.
    pub(crate) response_time: Option<Duration>,
    /// Whether the upstream was full when the client acknowledged the beginning of a short response.
    pub(crate) was_full: bool,
}

/// Client data that the upstream has not responded to yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pending {
    /// When the data was first seen.
    pub(crate) since: Time,
    /// The sequence number of the data.
    pub(crate) seq: u32,
    /// The number of retransmissions after the first transmission.
    pub(crate) retransmissions: u8,
    /// When the latest transmission was seen, and the one before it.
    last_sent_at: Time,
    pub(crate) previously_sent_at: Time,
}

/// What a packet reveals about the upstream of its flow.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Observation {
    /// Whether the upstream has sent new data or accepted the connection.
    pub(crate) is_progress: bool,
    /// If the packet shows that the upstream responded to something, when that was sent to the upstream.
    pub(crate) answered_sent_at: Option<Time>,
    /// The duration of the handshake, if this packet completes it.
    pub(crate) handshake_time: Option<Duration>,
    /// The response time of the upstream, if it can be measured. A response that only becomes visible in the client's
    /// next request is not measured, as the interval would mostly reflect the client's pause.
    pub(crate) response_time: Option<Duration>,
    /// Whether the packet starts a new request.
    pub(crate) is_request: bool,
    /// The length in bytes of the response to the previous request, if it was not known yet.
    pub(crate) answer_len: Option<u32>,
    /// Whether the packet is a retransmission of data that the upstream has not responded to.
    pub(crate) is_retransmission: bool,
}

impl Flow {
    pub(crate) fn new(upstream: UpstreamId, stage: Stage, packet: &Packet, now: Time) -> Self {
        Self {
            upstream,
            stage,
            first_seen: now,
            last_seen: now,
            client_ack: packet.ack,
            next_seq: packet.seq,
            pending: None,
            counted_in_stall: 0,
            request: None,
            is_incomplete: false,
            is_counted: stage == Stage::Opening || packet.len > 0,
            working_since: (stage == Stage::Opening).then_some(now),
            is_delayed: false,
        }
    }

    /// Whether this instance placed the flow, and the upstream has not responded yet.
    pub(crate) fn is_opening(&self) -> bool {
        self.stage == Stage::Opening
    }

    /// When the flow started to wait for its upstream.
    pub(crate) fn waiting_since(&self) -> Time {
        self.pending.map_or(self.first_seen, |pending| pending.since)
    }

    /// Processes a packet that does not open a flow.
    pub(crate) fn observe(&mut self, packet: &Packet, now: Time) -> Observation {
        self.last_seen = now;
        let stage = std::mem::replace(&mut self.stage, Stage::Open);
        let mut observation = Observation {
            answered_sent_at: (stage == Stage::Opening).then_some(self.first_seen),
            handshake_time: (stage == Stage::Opening).then(|| now.since(self.first_seen)),
            ..Observation::default()
        };
        if stage == Stage::Opening || is_after(packet.ack, self.client_ack) {
            self.client_ack = packet.ack;
            if let Some(request) = &mut self.request {
                request.progress_at = Some(now);
            }
            let pending = self.pending.take();
            observation.is_progress = true;
            observation.answered_sent_at = observation.answered_sent_at.or(pending.map(|pending| pending.since));
            observation.response_time = pending
                .filter(|pending| packet.len == 0 && pending.retransmissions == 0)
                .map(|pending| now.since(pending.since));
        }
        if packet.len == 0 {
            return observation;
        }
        let end = packet.seq.wrapping_add(u32::from(packet.len));
        if stage != Stage::Open || is_after(end, self.next_seq) {
            self.next_seq = end;
            observation.is_request = self.pending.is_none();
            if observation.is_request {
                observation.answer_len = self.begin_request(now);
            }
            self.pending.get_or_insert(Pending {
                since: now,
                seq: packet.seq,
                retransmissions: 0,
                last_sent_at: now,
                previously_sent_at: now,
            });
            return observation;
        }
        if let Some(pending) = &mut self.pending {
            observation.is_retransmission = pending.note_retransmission(packet.seq, now);
        }
        observation
    }
}

/// Work that a packet ends and begins.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WorkChange {
    pub(crate) has_ended: bool,
    pub(crate) has_begun: bool,
    /// Whether a request now counts as completed.
    pub(crate) has_completed: bool,
}

/// Whether an answer is long enough for its request to count as completed. Answers that are far shorter than usual
/// don't count: upstreams without capacity refuse with them, and would look fast.
pub(crate) fn is_complete(answer_len: u32, typical: Option<&TypicalLength>) -> bool {
    !typical.is_some_and(|typical| typical.is_short(answer_len))
}

impl Flow {
    /// Updates the work in flight after a packet. `typical` is the usual length of an answer.
    pub(crate) fn update_work(&mut self, sign: Observation, typical: Option<&TypicalLength>, now: Time) -> WorkChange {
        let answer_len = match sign {
            Observation { is_request: true, .. } => sign.answer_len,
            Observation { is_progress: true, .. } => self.answer_len(),
            _ => None,
        };
        let has_completed = self.is_incomplete && answer_len.is_some_and(|bytes| is_complete(bytes, typical));
        self.is_incomplete = sign.is_request || (self.is_incomplete && !has_completed);
        let has_ended = sign.is_progress && self.working_since.take().is_some();
        let has_begun = sign.is_request && self.working_since.is_none();
        if has_begun {
            self.working_since = Some(now);
        }
        WorkChange {
            has_ended,
            has_begun,
            has_completed,
        }
    }

    /// Starts a new request. Returns the length of the response to the previous one.
    fn begin_request(&mut self, now: Time) -> Option<u32> {
        let answer_len = self.answer_len();
        self.request = Some(OpenRequest {
            at: now,
            ack: self.client_ack,
            progress_at: None,
            response_time: None,
            was_full: false,
        });
        answer_len
    }

    /// The number of response bytes that the client has acknowledged for the latest request, if there are any and the
    /// outcome of the request is not known yet.
    pub(crate) fn answer_len(&self) -> Option<u32> {
        let request = self.request?;
        request.progress_at?;
        Some(self.client_ack.wrapping_sub(request.ack))
    }
}

impl Pending {
    /// Counts a retransmission. Retransmissions that arrive together were delayed on the way here, or this process was
    /// paused; they reveal nothing about the upstream.
    fn note_retransmission(&mut self, seq: u32, now: Time) -> bool {
        let is_spaced = now.since(self.last_sent_at) >= MIN_RETRANSMISSION_INTERVAL;
        if seq != self.seq || !is_spaced {
            return false;
        }
        self.retransmissions = self.retransmissions.saturating_add(1);
        self.previously_sent_at = self.last_sent_at;
        self.last_sent_at = now;
        true
    }
}

/// Whether a sequence number is ahead of another, allowing for wraparound.
fn is_after(position: u32, other: u32) -> bool {
    let distance = position.wrapping_sub(other);
    distance != 0 && distance < u32::MAX / 2
}

/// The flow table of this instance.
#[derive(Debug, Default, Clone)]
pub(crate) struct Flows {
    flows: HashMap<FlowKey, Flow>,
}

impl Flows {
    pub(crate) fn len(&self) -> usize {
        self.flows.len()
    }

    pub(crate) fn get_mut(&mut self, key: &FlowKey) -> Option<&mut Flow> {
        self.flows.get_mut(key)
    }

    pub(crate) fn insert(&mut self, key: FlowKey, flow: Flow) {
        self.flows.insert(key, flow);
    }

    pub(crate) fn remove(&mut self, key: &FlowKey) -> Option<Flow> {
        self.flows.remove(key)
    }

    /// Removes and returns the flows of one upstream, ordered by their keys.
    pub(crate) fn take_by_upstream(&mut self, upstream: UpstreamId) -> Vec<(FlowKey, Flow)> {
        let flows = self.flows.extract_if(|_, flow| flow.upstream == upstream);
        let mut flows: Vec<_> = flows.collect();
        flows.sort_unstable_by_key(|(key, _)| *key);
        flows
    }

    /// Removes and returns the flows that have been idle for longer than `idle`.
    pub(crate) fn take_idle(&mut self, idle: Duration, now: Time) -> Vec<Flow> {
        let idle = self.flows.extract_if(|_, flow| now.since(flow.last_seen) > idle);
        idle.map(|(_, flow)| flow).collect()
    }
}
