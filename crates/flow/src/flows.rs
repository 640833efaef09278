//! What this instance has seen of each flow. It is a cache for decisions: any of it may be lost at any time.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use units::Time;

use crate::packet::Packet;
use crate::upstream::UpstreamId;

/// Names a flow: its two ends, as client, upstream and every instance see them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// The client's end.
    pub client: SocketAddrV4,
    /// The route's end.
    pub route: SocketAddrV4,
}

impl From<&Packet> for FlowKey {
    fn from(packet: &Packet) -> Self {
        Self {
            client: packet.client,
            route: packet.route,
        }
    }
}

/// What this instance has seen of one flow.
#[derive(Debug, Clone)]
pub(crate) struct Flow {
    /// Where its packets go.
    pub(crate) upstream: UpstreamId,
    /// Whether its handshake is known to be over.
    pub(crate) is_open: bool,
    pub(crate) last_seen: Time,
    /// How far the client has everything from the upstream.
    pub(crate) client_ack: u32,
    /// The position after the last byte that the client has sent.
    pub(crate) next_seq: u32,
    /// Data that the upstream has not reacted to.
    pub(crate) pending: Option<Pending>,
    /// The upstream's stall that this flow was last counted in.
    pub(crate) counted_in: u32,
}

/// Data from the client that the upstream has not reacted to yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pending {
    /// When it came first.
    pub(crate) since: Time,
    /// Its position.
    pub(crate) seq: u32,
    /// How many copies came after the first.
    pub(crate) copies: u8,
}

/// What a packet tells about its flow's upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sign {
    /// The upstream has answered something.
    Progress,
    /// New data is on its way to the upstream.
    Request,
    /// The upstream has answered something, and new data is on its way.
    ProgressAndRequest,
    /// Data came once more, as the upstream has not reacted.
    Copy,
    /// Nothing either way.
    Nothing,
}

impl Sign {
    fn new(has_progress: bool, has_request: bool) -> Self {
        match (has_progress, has_request) {
            (true, true) => Self::ProgressAndRequest,
            (true, false) => Self::Progress,
            (false, true) => Self::Request,
            (false, false) => Self::Nothing,
        }
    }
}

impl Flow {
    pub(crate) fn new(upstream: UpstreamId, packet: &Packet, now: Time) -> Self {
        Self {
            upstream,
            is_open: false,
            last_seen: now,
            client_ack: 0,
            next_seq: packet.seq,
            pending: None,
            counted_in: 0,
        }
    }

    /// Takes in a packet that is not an opening one.
    pub(crate) fn see(&mut self, packet: &Packet, now: Time) -> Sign {
        self.last_seen = now;
        let was_open = self.is_open;
        self.is_open = true;
        let has_progress = !was_open || is_ahead(packet.ack, self.client_ack);
        if has_progress {
            self.client_ack = packet.ack;
            self.pending = None;
        }
        if packet.len == 0 {
            return Sign::new(has_progress, false);
        }
        let end = packet.seq.wrapping_add(u32::from(packet.len));
        let is_new = !was_open || is_ahead(end, self.next_seq);
        if is_new {
            self.next_seq = end;
            let first = Pending {
                since: now,
                seq: packet.seq,
                copies: 0,
            };
            let is_request = self.pending.is_none();
            self.pending.get_or_insert(first);
            return Sign::new(has_progress, is_request);
        }
        let Some(pending) = &mut self.pending else {
            return Sign::new(has_progress, false);
        };
        if pending.seq != packet.seq {
            return Sign::Nothing;
        }
        pending.copies = pending.copies.saturating_add(1);
        Sign::Copy
    }
}

/// Whether a position lies ahead of another, also after the count has wrapped.
fn is_ahead(position: u32, other: u32) -> bool {
    let distance = position.wrapping_sub(other);
    distance != 0 && distance < u32::MAX / 2
}

/// The flows seen by this instance.
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

    /// Takes out the flows that have been silent for longer than they may be remembered.
    pub(crate) fn take_idle(&mut self, idle: Duration, now: Time) -> Vec<Flow> {
        let idle = self.flows.extract_if(|_, flow| now.since(flow.last_seen) > idle);
        idle.map(|(_, flow)| flow).collect()
    }
}
