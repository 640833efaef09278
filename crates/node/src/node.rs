//! The node's state and the dispatch of events to their handlers.

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
use crate::ingress::RoutedPacket;
use crate::status::Counters;
use crate::stop::StopState;
use crate::ticket::Ticket;

/// How much longer a ledger is kept than a token is valid, to allow for clock skew between instances.
const CLOCK_MARGIN: Duration = Duration::from_mins(2);

/// How long a ledger is kept after its last request, and an incarnation after it was inherited.
pub(crate) fn ledger_retention(keyring: &Keyring) -> Duration {
    keyring.lifetime() + CLOCK_MARGIN
}

/// The configuration of a node at startup.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// The node's name.
    pub name: InstanceName,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    /// The node's availability zone.
    pub zone: ZoneName,
    /// The address at which it listens for other instances.
    pub address: SocketAddr,
    /// The keys that seal and open tokens.
    pub keyring: Keyring,
    /// Limits on the state that it holds.
    pub limits: Limits,
    /// The maximum duration of a planned stop.
    pub stop_within: Duration,
    /// The seed for all random choices.
    pub seed: u64,
}

/// The current time and the output of an event handler.
pub(crate) struct Context<'a> {
    /// The current time.
    pub now: Time,
    /// The actions to carry out.
    pub out: &'a mut Vec<Action>,
}

impl Context<'_> {
    /// Adds an action to the output.
    pub fn push(&mut self, action: Action) {
        self.out.push(action);
    }

    /// Adds a record to the timeline.
    pub fn record(&mut self, record: Record) {
        self.out.push(Action::Record(record));
    }
}

/// An entry instance.
#[derive(Debug, Clone)]
pub struct Node {
    pub(crate) local: Peer,
    pub(crate) started: Time,
    pub(crate) zone: ZoneName,
    pub(crate) keyring: Keyring,
    pub(crate) limits: Limits,
    pub(crate) stop_within: Duration,
    pub(crate) seed: u64,
    pub(crate) rng: SmallRng,
    pub(crate) documents: Documents,
    pub(crate) membership: Membership,
    /// The incarnations whose flows this node owns besides its own, and when it took over their ledgers.
    pub(crate) inherited: BTreeMap<InstanceIncarnation, Time>,
    pub(crate) ledgers: Ledgers,
    pub(crate) tickets: BTreeMap<TicketId, Ticket>,
    pub(crate) deadlines: BTreeSet<(Time, TicketId)>,
    pub(crate) calls: HashMap<CallId, TicketId>,
    pub(crate) last_ticket: u64,
    pub(crate) last_call: u64,
    pub(crate) homes: BTreeMap<ServiceName, Home>,
    /// Decisions of the pools that have not been applied yet.
    pub(crate) pending_decisions: VecDeque<Decision<SlotKey>>,
    /// The homes of services in the current view, filled on demand.
    pub(crate) home_cache: BTreeMap<ServiceName, Option<(Peer, SocketAddr)>>,
    /// Whether the view or the document has changed since [`Node::tick_homes`] last ran.
    pub(crate) view_changed: bool,
    /// The incarnation that each upstream last reported.
    pub(crate) upstreams: BTreeMap<UpstreamName, Incarnation>,
    pub(crate) partial_handovers: BTreeMap<Incarnation, crate::takeover::PartialHandover>,
    pub(crate) stop: StopState,
    pub(crate) counters: Counters,
    pub(crate) watching: bool,
    pub(crate) platform_reachable: bool,
}

impl Node {
    /// Creates a node that holds no document and knows no other instance.
    pub fn new(setup: NodeConfig, now: Time) -> Self {
        let local = Member {
            name: setup.name.clone(),
            incarnation: setup.incarnation,
            zone: setup.zone.clone(),
            address: setup.address,
            state: MemberState::Alive,
            refutation: 0,
        };
        Self {
            local: Peer {
                name: setup.name,
                incarnation: setup.incarnation,
            },
            started: now,
            zone: setup.zone,
            ledgers: Ledgers::new(ledger_retention(&setup.keyring), setup.limits.answer_retention),
            keyring: setup.keyring,
            stop_within: setup.stop_within,
            seed: setup.seed,
            rng: SmallRng::seed_from_u64(setup.seed),
            documents: Documents::default(),
            membership: Membership::new(local, Timing::default(), setup.seed, now),
            inherited: BTreeMap::new(),
            limits: setup.limits,
            tickets: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            calls: HashMap::new(),
            last_ticket: 0,
            last_call: 0,
            homes: BTreeMap::new(),
            pending_decisions: VecDeque::new(),
            home_cache: BTreeMap::new(),
            view_changed: true,
            upstreams: BTreeMap::new(),
            partial_handovers: BTreeMap::new(),
            stop: StopState::Serving,
            counters: Counters::default(),
            watching: false,
            platform_reachable: false,
        }
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let cx = &mut Context { now, out };
        match event {
            Event::Datagram(caller, bytes) => self.handle_datagram(cx, caller, &bytes),
            Event::Frame(peer, frame) => self.handle_frame(cx, &peer, frame),
            Event::SessionLost(name) => self.handle_session_lost(cx, &name),
            Event::CallEnded(call, result) => self.handle_call_result(cx, call, result),
            Event::PollEnded(upstream, report) => self.handle_poll_result(cx, &upstream, report.ok()),
            Event::InstanceList(list) => self.handle_list(cx, list),
            Event::DocumentLoaded(revision, text) => self.load_document(cx, revision, &text),
            Event::PlatformReachable(reachable) => self.platform_reachable = reachable,
            Event::Tick => self.tick(cx),
            Event::Stop => self.begin_stop(cx),
        }
        self.apply_decisions(cx);
    }

    fn handle_frame(&mut self, cx: &mut Context<'_>, peer: &Peer, frame: Frame) {
        match frame {
            Frame::Forward(forward) => self.route(cx, RoutedPacket::from(forward)),
            Frame::Acquire(acquire) => self.handle_acquire(cx, peer, acquire),
            Frame::Withdraw(ticket) => self.handle_withdraw(cx, peer, ticket),
            Frame::Grant(grant) => self.handle_grant(cx, peer, &grant),
            Frame::Deny(deny) => self.handle_deny(cx, peer, &deny),
            Frame::Settle(settle) => self.handle_settle(cx, peer, &settle),
            Frame::Hold(hold) => self.handle_hold(cx, peer, hold),
            Frame::Handover(handover) => self.handle_handover(cx, peer, handover),
            Frame::HandoverDone(incarnation) => self.handle_handover_done(cx, peer, incarnation),
            Frame::HandoverRefused(incarnation) => self.handle_handover_refused(cx, peer, incarnation),
            Frame::Resolved(resolved) => self.handle_resolved(cx, resolved),
            Frame::Want(have) => self.handle_document_request(cx, peer, have),
            Frame::Document(document) => self.handle_document(cx, &document),
            Frame::Delta(delta) => self.handle_delta(cx, peer, &delta),
            Frame::Probe(..) | Frame::ProbeAck(..) | Frame::ProbeFor(..) | Frame::News(_) => {
                self.handle_gossip(cx, peer, &frame);
            }
        }
    }

    fn tick(&mut self, cx: &mut Context<'_>) {
        self.tick_membership(cx);
        self.handle_request_timers(cx);
        self.tick_homes(cx);
        self.tick_stop(cx);
        self.ledgers.expire(cx.now, self.limits.answer_bytes.0);
    }
}
