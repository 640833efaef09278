//! Whole nodes, and what is under way between them, the caller and the upstream.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::hash::Hash;
use std::hash::Hasher;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::time::Duration;

use node::Action;
use node::CallId;
use node::CallResult;
use node::Event;
use node::Node;
use node::Peer;
use units::Incarnation;
use units::Revision;
use units::Time;
use wire::Frame;
use wire::Gossip;
use wire::IssuedToken;
use wire::RefusalSubject;
use wire::Reply;
use wire::Verdict;
use wire::encode_packet;

use crate::setup;

const START: Time = Time(1_000_000_000);
/// How often a frame that moves ledgers can arrive.
const COPIES: u8 = 2;

/// A frame that moves ledgers, on its way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Flight {
    pub(crate) from: Peer,
    pub(crate) to: usize,
    pub(crate) frame: Frame,
    pub(crate) copies: u8,
}

/// A call at the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Call {
    pub(crate) by: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) id: CallId,
    pub(crate) seq: u64,
    pub(crate) ran: bool,
    /// Whether its connection is open.
    pub(crate) open: bool,
    /// Whether it was turned away for good.
    pub(crate) shed: bool,
}

/// Whole nodes, and what is under way between them, the caller and the upstream.
///
/// Frames that move ledgers are delivered when the search says so, twice, or never. All other frames arrive at once:
/// what they do is not what is explored here.
#[derive(Debug, Clone)]
pub struct World {
    pub(crate) now: Time,
    pub(crate) nodes: Vec<Option<Node>>,
    pub(crate) incarnations: Vec<Incarnation>,
    /// The instances that have said that their process may end.
    pub(crate) ended: BTreeSet<usize>,
    pub(crate) flights: Vec<Flight>,
    pub(crate) calls: Vec<Call>,
    /// The caller's requests, byte for byte.
    pub(crate) packets: Vec<Vec<u8>>,
    pub(crate) granted: Option<IssuedToken>,
    pub(crate) said: BTreeSet<(u64, bool)>,
    pub(crate) runs: Vec<u8>,
    pub(crate) deliveries: u8,
    pub(crate) passes: u8,
    pub(crate) stops: u8,
    pub(crate) crashes: u8,
    pub(crate) errors: u8,
    pub(crate) panicked: Option<String>,
    digest: [u8; 32],
}

impl World {
    /// Instances that know one another and hold the document, and a caller with an open flow.
    pub(crate) fn new(instances: usize, requests: usize) -> Self {
        let incarnations: Vec<Incarnation> = (1..=instances as u64).map(Incarnation).collect();
        let nodes = incarnations.iter().enumerate();
        let nodes = nodes.map(|(index, incarnation)| Some(setup::node(index, *incarnation, START)));
        let mut world = Self {
            now: START,
            nodes: nodes.collect(),
            incarnations,
            ended: BTreeSet::new(),
            flights: Vec::new(),
            calls: Vec::new(),
            packets: Vec::new(),
            granted: None,
            said: BTreeSet::new(),
            runs: vec![0; requests + 1],
            deliveries: 0,
            passes: 0,
            stops: 0,
            crashes: 0,
            errors: 0,
            panicked: None,
            digest: [0; 32],
        };
        for index in 0..instances {
            world.introduce(index);
        }
        let open = encode_packet(&setup::open());
        world.event(0, Event::Datagram(setup::caller(), open));
        assert!(world.granted.is_some(), "the caller has a flow");
        world.seal();
        world
    }

    fn introduce(&mut self, index: usize) {
        self.event(index, Event::InstanceList(setup::list(&self.incarnations)));
        self.event(index, Event::DocumentLoaded(Revision(1), setup::DOCUMENT.to_owned()));
    }

    /// Gives a node an event, and carries out what follows at once.
    pub(crate) fn event(&mut self, index: usize, event: Event) {
        let mut queue = VecDeque::from([(index, event)]);
        while let Some((index, event)) = queue.pop_front() {
            let now = self.now;
            let Some(node) = &mut self.nodes[index] else {
                continue;
            };
            let mut out = Vec::new();
            let result = catch_unwind(AssertUnwindSafe(|| node.handle(now, event, &mut out)));
            if result.is_err() {
                self.panicked = Some(format!("instance {} panicked", setup::name(index)));
                return;
            }
            for action in out {
                self.carry_out(index, action, &mut queue);
            }
        }
    }

    fn carry_out(&mut self, by: usize, action: Action, queue: &mut VecDeque<(usize, Event)>) {
        match action {
            Action::Reply(_, reply) => self.hear(reply),
            Action::Send { to, frame, .. } => self.send(by, &to, frame, queue),
            Action::Call(call) => self.calls.push(Call {
                by,
                incarnation: self.incarnations[by],
                id: call.id,
                seq: call.seq.0,
                ran: false,
                open: true,
                shed: false,
            }),
            // A cancelled call may still run: the upstream hears of it late.
            Action::Cancel(id) => self.close_call(by, id),
            Action::Stopped => {
                self.ended.insert(by);
            }
            Action::Poll(..) | Action::Watch(_) | Action::Record(_) => {}
        }
    }

    fn close_call(&mut self, by: usize, id: CallId) {
        let incarnation = self.incarnations[by];
        let calls = self.calls.iter_mut();
        let mut same = calls.filter(|call| call.by == by && call.incarnation == incarnation && call.id == id);
        if let Some(call) = same.next() {
            call.open = false;
        }
    }

    fn send(&mut self, by: usize, to: &units::InstanceName, frame: Frame, queue: &mut VecDeque<(usize, Event)>) {
        let Some(to) = (0..self.nodes.len()).find(|index| setup::name(*index) == *to) else {
            return;
        };
        let from = Peer {
            name: setup::name(by),
            incarnation: self.incarnations[by],
        };
        let moves_ledgers = matches!(
            frame,
            Frame::Handover(_) | Frame::HandoverDone(_) | Frame::HandoverRefused(_) | Frame::Resolved(_)
        );
        if !moves_ledgers {
            queue.push_back((to, Event::Frame(from, frame)));
            return;
        }
        let copies = COPIES;
        let flights = self.flights.iter_mut();
        let mut same = flights.filter(|flight| flight.from == from && flight.to == to && flight.frame == frame);
        if let Some(flight) = same.next() {
            flight.copies = copies;
            return;
        }
        self.flights.push(Flight {
            from,
            to,
            frame,
            copies,
        });
    }

    fn hear(&mut self, reply: Reply) {
        let granted = match reply {
            Reply::Opened(opened) => Some(opened.granted),
            Reply::Accepted(_) => None,
            Reply::Chunk(chunk) => chunk.granted,
            Reply::Refused(refused) => {
                if let RefusalSubject::Request(_, seq) = refused.subject {
                    self.said.insert((seq.0, refused.verdict == Verdict::NotRun));
                }
                refused.granted
            }
        };
        let used = self.packets.len() as u64;
        if let Some(granted) = granted.filter(|granted| granted.floor.0 >= used) {
            self.granted = Some(granted);
        }
    }

    /// The caller makes its next request.
    pub(crate) fn request(&mut self) {
        let seq = self.packets.len() as u64 + 1;
        let granted = self.granted.as_ref().expect("the caller has a flow");
        let packet = setup::request(granted, seq);
        self.packets.push(encode_packet(&packet));
    }

    pub(crate) fn run(&mut self, index: usize) {
        let call = &mut self.calls[index];
        call.ran = true;
        self.runs[call.seq as usize] += 1;
    }

    pub(crate) fn end_call(&mut self, index: usize, result: CallResult) {
        let call = &mut self.calls[index];
        call.open = false;
        call.shed = result == CallResult::Shed;
        let (by, incarnation, id) = (call.by, call.incarnation, call.id);
        if self.incarnations[by] == incarnation {
            self.event(by, Event::CallEnded(id, result));
        }
    }

    /// Lets time pass, and every node notice it.
    pub(crate) fn pass(&mut self, span: Duration) {
        self.now = self.now + span;
        for index in 0..self.nodes.len() {
            self.event(index, Event::Tick);
        }
    }

    /// An instance is gone, and a new life begins under its name.
    pub(crate) fn replace(&mut self, index: usize) {
        let incarnation = Incarnation(self.incarnations[index].0 + 10);
        self.incarnations[index] = incarnation;
        self.ended.remove(&index);
        self.nodes[index] = Some(setup::node(index, incarnation, self.now));
        self.introduce(index);
    }

    /// Tells one instance, wrongly, that a new life has begun under another's name.
    pub(crate) fn mislead(&mut self, at: usize, other: usize) {
        let peer = Peer {
            name: setup::name(other),
            incarnation: Incarnation(self.incarnations[other].0 + 10),
        };
        let gossip = Gossip {
            members: vec![setup::member(other, peer.incarnation)],
            ..Gossip::default()
        };
        self.event(at, Event::Frame(peer, Frame::News(gossip)));
    }

    /// Works out what tells this state from others.
    pub(crate) fn seal(&mut self) {
        self.digest = [0; 32];
        let mut text = String::new();
        write!(text, "{self:?}").expect("a string takes text");
        self.digest = *blake3::hash(text.as_bytes()).as_bytes();
    }
}

impl World {
    /// A number that depends on the state and on `salt` only.
    pub(crate) fn mixed(&self, salt: u64) -> usize {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.digest);
        hasher.update(&salt.to_le_bytes());
        usize::from(hasher.finalize().as_bytes()[0])
    }
}

impl Hash for World {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.digest.hash(hasher);
    }
}
