//! The node itself: what it keeps, and which part handles which event.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use balance::Decision;
use membership::Membership;
use membership::Timing;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use token::Keyring;
use units::Incarnation;
use units::InstanceName;
use units::ServiceName;
use units::Time;
use units::UpstreamName;
use units::ZoneName;
use wire::Frame;
use wire::InstanceIncarnation;
use wire::Member;
use wire::MemberState;
use wire::TicketId;

use crate::Action;
use crate::CallId;
use crate::Event;
use crate::Ledgers;
use crate::Limits;
use crate::Peer;
use crate::Record;
use crate::documents::Documents;
use crate::home::Home;
use crate::home::SlotKey;
use crate::ingress::Arrival;
use crate::status::Counters;
use crate::stop::Stop;
use crate::ticket::Ticket;

/// How much longer a ledger is kept than a token lives, for clocks that differ.
const CLOCK_MARGIN: Duration = Duration::from_mins(2);

/// How long ledgers are kept after their last request, and incarnations after they were inherited.
pub(crate) fn keep_flows(keyring: &Keyring) -> Duration {
    keyring.lifetime() + CLOCK_MARGIN
}

/// What a node is told at its start.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Its name.
    pub name: InstanceName,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens for other instances.
    pub address: SocketAddr,
    /// The keys for tokens.
    pub keyring: Keyring,
    /// Bounds on what it keeps.
    pub limits: Limits,
    /// How long a planned stop may take.
    pub stop_within: Duration,
    /// The seed for all its random choices.
    pub seed: u64,
}

/// Where a handler writes what it wants done, and the time it works at.
pub(crate) struct Cx<'a> {
    /// The time.
    pub now: Time,
    /// What is to be done.
    pub out: &'a mut Vec<Action>,
}

impl Cx<'_> {
    /// Wants an action done.
    pub fn push(&mut self, action: Action) {
        self.out.push(action);
    }

    /// Keeps an event for the time line.
    pub fn record(&mut self, record: Record) {
        self.out.push(Action::Record(record));
    }
}

/// An entry instance.
#[derive(Debug, Clone)]
pub struct Node {
    pub(crate) me: Peer,
    pub(crate) started: Time,
    pub(crate) zone: ZoneName,
    pub(crate) keyring: Keyring,
    pub(crate) limits: Limits,
    pub(crate) stop_within: Duration,
    pub(crate) seed: u64,
    pub(crate) rng: SmallRng,
    pub(crate) documents: Documents,
    pub(crate) membership: Membership,
    /// Whose flows this node owns besides its own, and when it took over their ledgers.
    pub(crate) inherited: BTreeMap<InstanceIncarnation, Time>,
    pub(crate) ledgers: Ledgers,
    pub(crate) tickets: BTreeMap<TicketId, Ticket>,
    pub(crate) deadlines: BTreeSet<(Time, TicketId)>,
    pub(crate) calls: HashMap<CallId, TicketId>,
    pub(crate) last_ticket: u64,
    pub(crate) last_call: u64,
    pub(crate) homes: BTreeMap<ServiceName, Home>,
    /// Decisions of the pools that have not been carried out yet.
    pub(crate) decisions: VecDeque<Decision<SlotKey>>,
    /// Where homes are, as last worked out for the present view.
    pub(crate) home_cache: BTreeMap<ServiceName, Option<(Peer, SocketAddr)>>,
    /// Whether the view or the document has changed since the homes were last worked out.
    pub(crate) view_changed: bool,
    /// The incarnations of upstreams, as they last told.
    pub(crate) upstreams: BTreeMap<UpstreamName, Incarnation>,
    pub(crate) incoming: BTreeMap<Incarnation, crate::takeover::Incoming>,
    pub(crate) stop: Stop,
    pub(crate) counters: Counters,
    pub(crate) watching: bool,
    pub(crate) platform: bool,
}

impl Node {
    /// A node at its start. It holds no document and knows no other instance.
    pub fn new(setup: Setup, now: Time) -> Self {
        let me = Member {
            name: setup.name.clone(),
            incarnation: setup.incarnation,
            zone: setup.zone.clone(),
            address: setup.address,
            state: MemberState::Alive,
            refutation: 0,
        };
        Self {
            me: Peer {
                name: setup.name,
                incarnation: setup.incarnation,
            },
            started: now,
            zone: setup.zone,
            ledgers: Ledgers::new(keep_flows(&setup.keyring), setup.limits.keep_answers),
            keyring: setup.keyring,
            stop_within: setup.stop_within,
            seed: setup.seed,
            rng: SmallRng::seed_from_u64(setup.seed),
            documents: Documents::default(),
            membership: Membership::new(me, Timing::default(), setup.seed, now),
            inherited: BTreeMap::new(),
            limits: setup.limits,
            tickets: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            calls: HashMap::new(),
            last_ticket: 0,
            last_call: 0,
            homes: BTreeMap::new(),
            decisions: VecDeque::new(),
            home_cache: BTreeMap::new(),
            view_changed: true,
            upstreams: BTreeMap::new(),
            incoming: BTreeMap::new(),
            stop: Stop::Serving,
            counters: Counters::default(),
            watching: false,
            platform: false,
        }
    }

    /// Takes an event and writes what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let cx = &mut Cx { now, out };
        match event {
            Event::Datagram(caller, bytes) => self.take_datagram(cx, caller, &bytes),
            Event::Frame(peer, frame) => self.take_frame(cx, &peer, frame),
            Event::Lost(name) => self.lose_session(cx, &name),
            Event::Called(call, result) => self.end_call(cx, call, result),
            Event::Polled(upstream, report) => self.take_report(cx, &upstream, report.ok()),
            Event::List(list) => self.take_list(cx, list),
            Event::Loaded(revision, text) => self.load_document(cx, revision, &text),
            Event::Platform(reachable) => self.platform = reachable,
            Event::Tick => self.tick(cx),
            Event::Stop => self.begin_stop(cx),
        }
        self.carry_out_decisions(cx);
    }

    fn take_frame(&mut self, cx: &mut Cx<'_>, peer: &Peer, frame: Frame) {
        match frame {
            Frame::Forward(forward) => self.route(cx, Arrival::from(forward)),
            Frame::Acquire(acquire) => self.take_acquire(cx, peer, acquire),
            Frame::Withdraw(ticket) => self.take_withdraw(cx, peer, ticket),
            Frame::Grant(grant) => self.take_grant(cx, peer, &grant),
            Frame::Deny(deny) => self.take_deny(cx, peer, &deny),
            Frame::Settle(settle) => self.take_settle(cx, peer, &settle),
            Frame::Hold(hold) => self.take_hold(cx, peer, hold),
            Frame::Handover(handover) => self.take_handover(cx, peer, handover),
            Frame::HandoverDone(incarnation) => self.end_handover(cx, peer, incarnation),
            Frame::HandoverRefused(incarnation) => self.refuse_handover(cx, peer, incarnation),
            Frame::Resolved(resolved) => self.take_resolved(cx, resolved),
            Frame::Want(have) => self.take_want(cx, peer, have),
            Frame::Document(document) => self.take_document(cx, &document),
            Frame::Delta(delta) => self.take_delta(cx, peer, &delta),
            Frame::Probe(..) | Frame::ProbeAck(..) | Frame::ProbeFor(..) | Frame::News(_) => {
                self.take_gossip(cx, peer, &frame);
            }
        }
    }

    fn tick(&mut self, cx: &mut Cx<'_>) {
        self.tick_fleet(cx);
        self.tick_owner(cx);
        self.tick_homes(cx);
        self.tick_stop(cx);
        self.ledgers.expire(cx.now, self.limits.answer_bytes.0);
    }
}
