//! What this instance has seen of each flow. It is a cache for decisions: any of it may be lost at any time.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use units::Time;

use crate::packet::Packet;
use crate::upstream::UpstreamId;

/// The least time between two copies that count. An end waits 200 milliseconds before the first copy and longer
/// before each further one.
pub(crate) const COPY_SPACE: Duration = Duration::from_millis(120);

/// Names a flow: its two ends, as client, upstream and every instance see them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowKey {
    /// The client's end.
    pub client: SocketAddrV4,
    /// The route's end.
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

/// How far a flow has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It was placed here, and its upstream has not answered yet.
    Opening,
    /// Its packets came from another instance, or from before this one started.
    Adopted,
    /// It is open.
    Open,
}

/// What this instance has seen of one flow.
#[derive(Debug, Clone)]
pub(crate) struct Flow {
    /// Where its packets go.
    pub(crate) upstream: UpstreamId,
    /// How far it has come.
    pub(crate) stage: Stage,
    /// When its first packet came here.
    pub(crate) first_seen: Time,
    pub(crate) last_seen: Time,
    /// How far the client has everything from the upstream.
    pub(crate) client_ack: u32,
    /// The position after the last byte that the client has sent.
    pub(crate) next_seq: u32,
    /// Data that the upstream has not reacted to.
    pub(crate) pending: Option<Pending>,
    /// The upstream's stall that this flow was last counted in.
    pub(crate) counted_in: u32,
    /// The last request, until it is known how it ended.
    pub(crate) asked: Option<Asked>,
}

/// A request whose end is not known yet.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Asked {
    /// When it came.
    pub(crate) at: Time,
    /// How far the client had everything before.
    ack: u32,
    /// When the client last had more of the answer.
    pub(crate) progress_at: Option<Time>,
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
    /// When it came last, and when the time before.
    copied_at: Time,
    pub(crate) copied_before_at: Time,
}

/// What a packet tells about its flow's upstream.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Sign {
    /// The upstream has answered something.
    pub(crate) is_progress: bool,
    /// When what the upstream has answered was sent to it, if this packet tells of an answer to something.
    pub(crate) reached: Option<Time>,
    /// How long the handshake took that this packet ends.
    pub(crate) opened_after: Option<Duration>,
    /// How long it took to answer, if that can be told. An answer that shows only in the client's next request says
    /// more about the client's pause.
    pub(crate) waited: Option<Duration>,
    /// A new request is on its way to it.
    pub(crate) is_request: bool,
    /// How many bytes the answer to the request before had, if that was not known yet.
    pub(crate) answered: Option<u32>,
    /// Data came once more, as it has not reacted.
    pub(crate) is_copy: bool,
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
            counted_in: 0,
            asked: None,
        }
    }

    /// Since when it waits for its upstream.
    pub(crate) fn waits_since(&self) -> Time {
        self.pending.map_or(self.first_seen, |pending| pending.since)
    }

    /// Takes in a packet that is not an opening one.
    pub(crate) fn see(&mut self, packet: &Packet, now: Time) -> Sign {
        self.last_seen = now;
        let stage = std::mem::replace(&mut self.stage, Stage::Open);
        let mut sign = Sign {
            reached: (stage == Stage::Opening).then_some(self.first_seen),
            opened_after: (stage == Stage::Opening).then(|| now.since(self.first_seen)),
            ..Sign::default()
        };
        if stage == Stage::Opening || is_ahead(packet.ack, self.client_ack) {
            self.client_ack = packet.ack;
            if let Some(asked) = &mut self.asked {
                asked.progress_at = Some(now);
            }
            let pending = self.pending.take();
            sign.is_progress = true;
            sign.reached = sign.reached.or(pending.map(|pending| pending.since));
            sign.waited = pending
                .filter(|pending| packet.len == 0 && pending.copies == 0)
                .map(|pending| now.since(pending.since));
        }
        if packet.len == 0 {
            return sign;
        }
        let end = packet.seq.wrapping_add(u32::from(packet.len));
        if stage != Stage::Open || is_ahead(end, self.next_seq) {
            self.next_seq = end;
            sign.is_request = self.pending.is_none();
            if sign.is_request {
                sign.answered = self.ask(now);
            }
            self.pending.get_or_insert(Pending {
                since: now,
                seq: packet.seq,
                copies: 0,
                copied_at: now,
                copied_before_at: now,
            });
            return sign;
        }
        if let Some(pending) = &mut self.pending {
            sign.is_copy = pending.note_copy(packet.seq, now);
        }
        sign
    }
}

impl Flow {
    /// A request begins. Gives the length of the answer to the one before.
    fn ask(&mut self, now: Time) -> Option<u32> {
        let answered = self.answered();
        self.asked = Some(Asked {
            at: now,
            ack: self.client_ack,
            progress_at: None,
        });
        answered
    }

    /// How many bytes of the answer to the last request the client has, if there are any and its end is not known yet.
    pub(crate) fn answered(&self) -> Option<u32> {
        let asked = self.asked?;
        asked.progress_at?;
        Some(self.client_ack.wrapping_sub(asked.ack))
    }
}

impl Pending {
    /// Counts a copy. Copies that come together were held up on their way here, or this process was, and tell nothing
    /// about the upstream.
    fn note_copy(&mut self, seq: u32, now: Time) -> bool {
        let is_spaced = now.since(self.copied_at) >= COPY_SPACE;
        if seq != self.seq || !is_spaced {
            return false;
        }
        self.copies = self.copies.saturating_add(1);
        self.copied_before_at = self.copied_at;
        self.copied_at = now;
        true
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

    /// Takes out the flows of one upstream, in the order of their ends.
    pub(crate) fn take_of(&mut self, upstream: UpstreamId) -> Vec<(FlowKey, Flow)> {
        let flows = self.flows.extract_if(|_, flow| flow.upstream == upstream);
        let mut flows: Vec<_> = flows.collect();
        flows.sort_unstable_by_key(|(key, _)| *key);
        flows
    }

    /// Takes out the flows that have been silent for longer than they may be remembered.
    pub(crate) fn take_idle(&mut self, idle: Duration, now: Time) -> Vec<Flow> {
        let idle = self.flows.extract_if(|_, flow| now.since(flow.last_seen) > idle);
        idle.map(|(_, flow)| flow).collect()
    }
}
