//! Once per second, one instance, selected anew each time, checks whether the store has changes that the fleet lacks.
//!
//! Watchers learn of changes at once, but all of them may be cut off from the store, or rejected by it, without being
//! noticed: a watch that returns nothing looks like a store without changes. If the selected instance gets no answer,
//! it forwards the check to four others, and each of these to four more, so that instances that still reach the store
//! are found within two seconds, even if they are few. What they find is distributed like any other change. If the
//! store is down altogether, a round ends after 21 checks, whatever the size of the fleet.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use adapter::Store;
use adapter::store::Error;
use flow::Positions;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use units::Position;
use units::Time;

use super::metric;
use super::pull;
use super::settings::Settings;
use super::shared::Shared;
use super::store;
use super::store::evacuations;
use super::watch_schedule::ObjectKind;

/// Duration of a round. A change that all watchers have missed takes effect after at most this plus [`ANSWER_TIMEOUT`] per
/// forwarding step, 1.8 s; bounds for changes are 3 s and more. A round costs one store call per fleet.
pub const ROUND_DURATION: Duration = Duration::from_secs(1);
/// Time to wait for an answer before forwarding the check: the store answers in milliseconds, at times a hundred times
/// as slowly.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of instances that a check is forwarded to.
const FANOUT: usize = 4;
/// Maximum number of instances that a round reaches: the selected one, four, and sixteen.
pub const MAX_INSTANCES: usize = 1 + FANOUT + FANOUT * FANOUT;
/// Time for which an instance that got no answer forwards further checks at once, without a call: a fleet that is cut
/// off from the store then makes a futile call every other second rather than each second. Not longer, since by then
/// other instances may be cut off and this one not.
const UNREACHABLE_PERIOD: Duration = Duration::from_millis(1_200);
/// Time after a change of the knowledge during which the part that lags behind is checked. The store keeps its history
/// for about 20 s, and a missed change is found within the first of these rounds.
const RECENT_CHANGE: Duration = Duration::from_secs(10);
/// Number of checks that may be queued in each direction.
const QUEUE_CAPACITY: usize = 16;

/// A request to check the store in a round, forwarded from one instance to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CheckRequest {
    /// Number of the round, counted from the Unix epoch.
    pub round: u64,
    /// Rank of the receiving instance in the round's order.
    pub rank: usize,
}

impl CheckRequest {
    /// The check with which a round starts.
    pub fn first(round: u64) -> Self {
        Self { round, rank: 0 }
    }

    /// The ranks that this check is forwarded to.
    pub fn forwarded_ranks(self) -> Range<usize> {
        // The rank comes from the network and may be any number.
        let begin = self.rank.saturating_mul(FANOUT).saturating_add(1).min(MAX_INSTANCES);
        begin..(begin + FANOUT).min(MAX_INSTANCES)
    }
}

/// What an instance does with a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Call the store.
    Call,
    /// Forward the check at once, since the store is unreachable from here.
    Forward,
    /// Ignore it, since this round's check was already handled.
    Ignore,
}

/// State that an instance keeps between checks.
#[derive(Debug, Default)]
pub struct CheckState {
    round: u64,
    unreachable_until: Time,
}

impl CheckState {
    /// Decides how to handle a check. Clocks differ, so rounds come in any order; only a repeated one is ignored.
    pub fn decide(&mut self, request: CheckRequest, now: Time) -> Action {
        if request.round == self.round {
            return Action::Ignore;
        }
        self.round = request.round;
        if request.rank > 0 && now < self.unreachable_until {
            return Action::Forward;
        }
        Action::Call
    }

    /// Records that the store gave no answer in time, or no useful one.
    pub fn note_unreachable(&mut self, now: Time) {
        self.unreachable_until = now + UNREACHABLE_PERIOD;
    }

    /// Records that the store answered.
    pub fn note_reachable(&mut self) {
        self.unreachable_until = Time::default();
    }
}

/// A check to be sent to another instance.
#[derive(Debug)]
pub(crate) struct OutgoingCheck {
    pub(crate) to: SocketAddr,
    pub(crate) request: CheckRequest,
}

/// The channel ends of the check task, which connect it to the gossip task.
#[derive(Debug)]
pub(crate) struct CheckChannels {
    /// Checks received from other instances.
    pub(crate) incoming: mpsc::Receiver<CheckRequest>,
    /// Checks to send to other instances.
    pub(crate) outgoing: mpsc::Sender<OutgoingCheck>,
}

/// The channel ends of the gossip task.
#[derive(Debug)]
pub(crate) struct PeerChannels {
    pub(crate) requests: mpsc::Sender<CheckRequest>,
    pub(crate) forwards: mpsc::Receiver<OutgoingCheck>,
}

/// Creates the channels for checks in both directions.
pub(crate) fn channels() -> (CheckChannels, PeerChannels) {
    let (requests, incoming) = mpsc::channel(QUEUE_CAPACITY);
    let (outgoing, forwards) = mpsc::channel(QUEUE_CAPACITY);
    let check_channels = CheckChannels { incoming, outgoing };
    (check_channels, PeerChannels { requests, forwards })
}

/// Runs this instance's checks until the process ends.
pub(crate) async fn run(store: Store, settings: watch::Receiver<Settings>, shared: Shared, mut checks: CheckChannels) {
    let mut task = CheckTask {
        store,
        settings,
        shared,
        state: CheckState::default(),
        outgoing: checks.outgoing,
    };
    loop {
        let round = task.round();
        tokio::select! {
            () = tokio::time::sleep(task.until_after(round)) => {
                if let Some(request) = task.first_request() {
                    task.handle(request).await;
                }
            }
            Some(request) = checks.incoming.recv() => task.handle(request).await,
        }
    }
}

struct CheckTask {
    settings: watch::Receiver<Settings>,
    shared: Shared,
    /// Opens a new connection for each call: a reused one may have become unresponsive unnoticed.
    store: Store,
    state: CheckState,
    outgoing: mpsc::Sender<OutgoingCheck>,
}

impl CheckTask {
    fn round(&self) -> u64 {
        self.shared.now().0 / ROUND_DURATION.as_micros() as u64
    }

    /// The time until a round is over.
    fn until_after(&self, round: u64) -> Duration {
        let end = Time((round + 1) * ROUND_DURATION.as_micros() as u64);
        self.shared.now().until(end)
    }

    /// The first check of the current round, if this instance is selected. One that isn't ready reads the store
    /// anyway.
    fn first_request(&self) -> Option<CheckRequest> {
        if !self.shared.core().knowledge().is_ready() || self.shared.is_stopping() {
            return None;
        }
        let round = self.round();
        let members = self.shared.members();
        let first = members.ranked_members(round).first().map(|member| &member.name);
        (first == Some(&members.me().name)).then(|| CheckRequest::first(round))
    }

    async fn handle(&mut self, request: CheckRequest) {
        match self.state.decide(request, self.shared.now()) {
            Action::Ignore => {}
            Action::Forward => {
                metric::checks("handed-on").increment(1);
                self.forward(request);
            }
            Action::Call => self.call(request).await,
        }
    }

    async fn call(&mut self, request: CheckRequest) {
        self.apply_settings();
        let has_evacuations = self.settings.borrow().evacuations;
        let answered = Notify::new();
        let call = compare(&self.store, &self.shared, has_evacuations, &answered);
        tokio::pin!(call);
        let mut is_late = false;
        // A late answer is still useful.
        let result = loop {
            tokio::select! {
                result = &mut call => break result,
                () = answered.notified() => {}
                () = tokio::time::sleep(ANSWER_TIMEOUT), if !is_late => {
                    is_late = true;
                    self.state.note_unreachable(self.shared.now());
                    self.forward(request);
                }
            }
        };
        match result {
            Ok(finding) => {
                self.state.note_reachable();
                metric::checks(finding.as_str()).increment(1);
                self.handle_finding(finding, request).await;
            }
            Err(error) => {
                metric::checks("failed").increment(1);
                log::info!(
                    "store: check failed round={} rank={} error=\"{error}\"",
                    request.round,
                    request.rank
                );
                if !is_late {
                    self.state.note_unreachable(self.shared.now());
                    self.forward(request);
                }
            }
        }
    }

    /// Reads what a check has found to be missing. The watchers read a list whose history is gone as well, and the
    /// store has answered the check, so the reading isn't part of it: on a failure or delay, the check would be
    /// forwarded and other instances would read the list too.
    async fn handle_finding(&self, finding: Finding, request: CheckRequest) {
        match finding {
            Finding::Even => {}
            Finding::Behind => log::info!("store: check found changes round={}", request.round),
            Finding::HistoryGone => {
                log::info!("store: check found history gone round={}", request.round);
                if let Err(error) = store::read_list(&self.store, &self.shared).await {
                    log::info!("store: check read failed round={} error=\"{error}\"", request.round);
                }
            }
        }
    }

    fn apply_settings(&mut self) {
        let address = self.settings.borrow().store;
        if self.store.address() != address {
            self.store = self.store.at(address);
        }
    }

    /// Forwards a check to the next instances in the round's order.
    fn forward(&self, request: CheckRequest) {
        let members = self.shared.members();
        let ranked = members.ranked_members(request.round);
        for rank in request.forwarded_ranks() {
            let Some(member) = ranked.get(rank) else {
                return;
            };
            let request = CheckRequest { rank, ..request };
            // A full queue holds equivalent checks.
            let _full = self.outgoing.try_send(OutgoingCheck {
                to: member.address,
                request,
            });
        }
    }
}

/// Outcome of a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// The store has nothing newer than this instance.
    Even,
    /// The store had changes, which were read.
    Behind,
    /// The store no longer has the history of the upstreams since the held position, so their list must be read.
    HistoryGone,
}

impl Finding {
    /// The value of the label in metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Even => "even",
            Self::Behind => "behind",
            Self::HistoryGone => "gone",
        }
    }
}

/// A part of the knowledge to check against the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Part {
    kind: ObjectKind,
    /// Position up to which this instance knows the part.
    at: Position,
}

/// Reads what the store has beyond this instance's knowledge. Notifies `answered` of each answer.
///
/// The store numbers all changes in one sequence, and each part of the knowledge is complete up to its own position.
/// Shortly after a change, the lagging parts are asked for their changes since: those up to the position of the most
/// advanced part may have been missed, as the watch of one part may be cut off and another not. Later, the history
/// back to that point may be gone, so the most advanced part is asked. The position in an answer shows whether the
/// other parts must be asked as well. Usually one or two short calls show that nothing is new. A part whose epoch is
/// older than the store's is always asked: its revision says nothing about the store's current state.
async fn compare(store: &Store, shared: &Shared, has_evacuations: bool, answered: &Notify) -> Result<Finding, Error> {
    let before = pull::held_positions(shared);
    let mut parts = parts(&before, has_evacuations);
    let known = parts.last().map(|part| part.at).unwrap_or_default();
    let changed_recently = shared.now().since(shared.knowledge_changed_at()) < RECENT_CHANGE;
    let first = if changed_recently { parts.len() - 1 } else { 1 };
    if !changed_recently {
        parts.reverse();
    }
    let mut store_at = Position::default();
    let mut is_gone = false;
    for (index, part) in parts.into_iter().enumerate() {
        let is_of_earlier_epoch = part.at.epoch < store_at.epoch.max(known.epoch);
        if index >= first && store_at <= known && !is_of_earlier_epoch && !is_gone {
            continue;
        }
        let result = read_changes(store, shared, part).await;
        answered.notify_one();
        match result {
            Ok(at) => store_at = store_at.max(at),
            Err(Error::HistoryGone) if part.kind == ObjectKind::Upstreams => is_gone = true,
            Err(error) => return Err(error),
        }
    }
    if is_gone {
        return Ok(Finding::HistoryGone);
    }
    let is_even = pull::held_positions(shared) == before;
    Ok(if is_even { Finding::Even } else { Finding::Behind })
}

/// The parts of the knowledge, the most outdated first.
fn parts(held: &Positions, has_evacuations: bool) -> Vec<Part> {
    let part = |kind, at| Part { kind, at };
    let mut parts = vec![
        part(ObjectKind::Document, held.document_at),
        part(ObjectKind::Upstreams, held.upstreams_at),
    ];
    if has_evacuations {
        parts.push(part(ObjectKind::Evacuations, held.evacuations_at));
    }
    parts.sort_by_key(|part| part.at);
    parts
}

/// Applies the changes of a part and returns the store's position.
async fn read_changes(store: &Store, shared: &Shared, part: Part) -> Result<Position, Error> {
    match part.kind {
        ObjectKind::Document => read_document_changes(store, shared, part.at).await,
        ObjectKind::Upstreams => {
            let watched = store::read_upstream_changes(store, shared, part.at, Duration::ZERO).await;
            watched.map(|(at, _)| at)
        }
        // The zones are few and are always read together.
        ObjectKind::Evacuations => evacuations::read(store, shared).await,
    }
}

/// Applies changes of the document and returns the store's position.
async fn read_document_changes(store: &Store, shared: &Shared, since: Position) -> Result<Position, Error> {
    let documents = match store.watch_document(since, Duration::ZERO).await {
        Err(Error::HistoryGone) => store.read_document().await?,
        result => result?,
    };
    let at = documents.at;
    store::apply_document(shared, documents);
    Ok(at)
}
