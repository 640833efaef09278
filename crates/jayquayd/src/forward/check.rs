//! Each second one instance of the whole fleet, drawn anew, asks the store whether it knows more than the fleet does.
//!
//! Watchers hear of changes at once, but all of them may be cut from the store, or turned away by it, without anybody
//! noticing: a watch that brings nothing looks like a store without changes. Whoever is drawn and gets no answer hands the
//! question on to four others, and these to four more each, so that a few instances that still reach the store are found
//! within two seconds, whichever they are. What they find travels as all news do. With the whole store away this ends after
//! 21 questions, whatever the size of the fleet.

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
use super::rhythm::Kind;
use super::settings::Settings;
use super::shared::Shared;
use super::store;
use super::store::evacuations;

/// How long a round lasts. A change that all watchers have missed is in force this much and [`PATIENCE`] for each step later,
/// 1.8 s at worst; bounds for changes are 3 s and more. Each round costs one call to the store in the whole fleet.
pub const ROUND: Duration = Duration::from_secs(1);
/// How long an answer may take before the question is handed on: the store answers in milliseconds, at times a hundred times as
/// slowly.
pub const PATIENCE: Duration = Duration::from_millis(400);
/// How many others a question is handed on to.
const BRANCHES: usize = 4;
/// How many instances a round reaches at most: the one that is drawn, four, and sixteen.
pub const REACH: usize = 1 + BRANCHES + BRANCHES * BRANCHES;
/// For how long an instance that got no answer hands further questions on at once, without a call: a fleet that is cut from the
/// store calls it in vain every other second and not each. No longer, as others may be cut by then, and this one not.
const LOST: Duration = Duration::from_millis(1_200);
/// How long after news the part of the knowledge that lags is asked. The store keeps its history for twenty seconds or so, and
/// what was missed is found within the first of these rounds.
const FRESH: Duration = Duration::from_secs(10);
/// How many questions of other instances may wait.
const QUEUE: usize = 16;

/// A question that an instance hands on to another: ask the store in this round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// The round, counted from the Unix epoch.
    pub round: u64,
    /// The asked instance's place in the round's order.
    pub rank: usize,
}

impl Question {
    /// The first question of a round.
    pub fn first(round: u64) -> Self {
        Self { round, rank: 0 }
    }

    /// The places that this one is handed on to.
    pub fn next(self) -> Range<usize> {
        // A rank comes from another instance and may be any number.
        let begin = self.rank.saturating_mul(BRANCHES).saturating_add(1).min(REACH);
        begin..(begin + BRANCHES).min(REACH)
    }
}

/// What an instance does with a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It asks the store.
    Call,
    /// It hands the question on at once, as it has lost the store.
    HandOn,
    /// Nothing, as it has had one in this round.
    Nothing,
}

/// What an instance remembers from one question to the next.
#[derive(Debug, Default)]
pub struct Checker {
    round: u64,
    lost_until: Time,
}

impl Checker {
    /// What to do with a question. Clocks may differ, so rounds may come in any order; none is taken twice in a row.
    pub fn take(&mut self, question: Question, now: Time) -> Step {
        if question.round == self.round {
            return Step::Nothing;
        }
        self.round = question.round;
        if question.rank > 0 && now < self.lost_until {
            return Step::HandOn;
        }
        Step::Call
    }

    /// The store gave no answer in time, or none that helps.
    pub fn lose(&mut self, now: Time) {
        self.lost_until = now + LOST;
    }

    /// The store has answered.
    pub fn regain(&mut self) {
        self.lost_until = Time::default();
    }
}

/// A question on its way to another instance.
#[derive(Debug)]
pub(crate) struct Handed {
    pub(crate) to: SocketAddr,
    pub(crate) question: Question,
}

/// The two ends between this task and the one that speaks to other instances.
#[derive(Debug)]
pub(crate) struct Ends {
    /// Questions from others.
    pub(crate) asked: mpsc::Receiver<Question>,
    /// Questions for others.
    pub(crate) handed: mpsc::Sender<Handed>,
}

/// The same for the other task.
#[derive(Debug)]
pub(crate) struct Gate {
    pub(crate) asked: mpsc::Sender<Question>,
    pub(crate) handed: mpsc::Receiver<Handed>,
}

/// Ways for questions in both directions.
pub(crate) fn ways() -> (Ends, Gate) {
    let (ask, asked) = mpsc::channel(QUEUE);
    let (hand, handed) = mpsc::channel(QUEUE);
    let ends = Ends { asked, handed: hand };
    (ends, Gate { asked: ask, handed })
}

/// Takes this instance's part in all rounds until the process ends.
pub(crate) async fn run(settings: watch::Receiver<Settings>, shared: Shared, mut ends: Ends) {
    let address = settings.borrow().store;
    let mut checks = Checks {
        store: Store::without_reuse(address),
        settings,
        shared,
        checker: Checker::default(),
        handed: ends.handed,
    };
    loop {
        let round = checks.round();
        tokio::select! {
            () = tokio::time::sleep(checks.until_after(round)) => {
                if let Some(question) = checks.drawn() {
                    checks.take(question).await;
                }
            }
            Some(question) = ends.asked.recv() => checks.take(question).await,
        }
    }
}

struct Checks {
    settings: watch::Receiver<Settings>,
    shared: Shared,
    /// The store by new connections: one that is kept may have gone silent.
    store: Store,
    checker: Checker,
    handed: mpsc::Sender<Handed>,
}

impl Checks {
    fn round(&self) -> u64 {
        self.shared.now().0 / ROUND.as_micros() as u64
    }

    /// How long it is until a round is over.
    fn until_after(&self, round: u64) -> Duration {
        let end = Time((round + 1) * ROUND.as_micros() as u64);
        self.shared.now().until(end)
    }

    /// The first question of the round that has begun, if this instance is drawn for it. While it holds too little to serve, it
    /// reads the store anyway.
    fn drawn(&self) -> Option<Question> {
        if !self.shared.core().knowledge().is_ready() || self.shared.is_stopping() {
            return None;
        }
        let round = self.round();
        let members = self.shared.members();
        let first = members.ranked_members(round).first().map(|member| &member.name);
        (first == Some(&members.me().name)).then(|| Question::first(round))
    }

    async fn take(&mut self, question: Question) {
        match self.checker.take(question, self.shared.now()) {
            Step::Nothing => {}
            Step::HandOn => {
                metric::checks("handed-on").increment(1);
                self.hand_on(question);
            }
            Step::Call => self.call(question).await,
        }
    }

    async fn call(&mut self, question: Question) {
        self.follow_settings();
        let has_evacuations = self.settings.borrow().evacuations;
        let answered = Notify::new();
        let call = compare(&self.store, &self.shared, has_evacuations, &answered);
        tokio::pin!(call);
        let mut is_late = false;
        // An answer that comes late still tells.
        let result = loop {
            tokio::select! {
                result = &mut call => break result,
                () = answered.notified() => {}
                () = tokio::time::sleep(PATIENCE), if !is_late => {
                    is_late = true;
                    self.checker.lose(self.shared.now());
                    self.hand_on(question);
                }
            }
        };
        match result {
            Ok(finding) => {
                self.checker.regain();
                metric::checks(finding.as_str()).increment(1);
                self.follow(finding, question).await;
            }
            Err(error) => {
                metric::checks("failed").increment(1);
                log::info!(
                    "store: check failed round={} rank={} error=\"{error}\"",
                    question.round,
                    question.rank
                );
                if !is_late {
                    self.checker.lose(self.shared.now());
                    self.hand_on(question);
                }
            }
        }
    }

    /// Reads what a check has found to be missed. Whoever watches reads a list whose history is gone as well, so it is no part of the
    /// question, which the store has answered: others would read it too.
    async fn follow(&self, finding: Finding, question: Question) {
        match finding {
            Finding::Even => {}
            Finding::Behind => log::info!("store: check found news round={}", question.round),
            Finding::HistoryGone => {
                log::info!("store: check found history gone round={}", question.round);
                if let Err(error) = store::read_list(&self.store, &self.shared).await {
                    log::info!("store: check read no list round={} error=\"{error}\"", question.round);
                }
            }
        }
    }

    fn follow_settings(&mut self) {
        let address = self.settings.borrow().store;
        if self.store.address() != address {
            self.store = Store::without_reuse(address);
        }
    }

    /// Hands a question on to the next in the round's order.
    fn hand_on(&self, question: Question) {
        let members = self.shared.members();
        let drawn = members.ranked_members(question.round);
        for rank in question.next() {
            let Some(member) = drawn.get(rank) else {
                return;
            };
            let question = Question { rank, ..question };
            // A queue that is full holds questions of the same kind.
            let _full = self.handed.try_send(Handed {
                to: member.address,
                question,
            });
        }
    }
}

/// What a check has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Finding {
    /// The store knows no more than this instance.
    Even,
    /// It knew more, which was read.
    Behind,
    /// It no longer tells what has become of the upstreams since, so that their list is to be read.
    HistoryGone,
}

impl Finding {
    /// Its name in metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::Even => "even",
            Self::Behind => "behind",
            Self::HistoryGone => "gone",
        }
    }
}

/// What is asked of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Part {
    kind: Kind,
    /// The place up to which this instance knows it.
    at: Position,
}

/// Reads what the store knows beyond this instance.
///
/// One revision counts all changes, and each part of the knowledge is complete up to a revision of its own. Where news came
/// lately, the parts that lag are asked for their changes since: those up to the part that is ahead may have been missed, as their
/// watches may be cut and the other's not. Later on the history back to there may be gone, so the part that is ahead is asked. An
/// answer's place tells whether the others have to be asked as well. As a rule one or two short calls tell that nothing is new.
/// What is held of an earlier epoch than the store's is always asked: its revision says nothing of what the store knows now.
/// `answered` hears of each answer.
async fn compare(store: &Store, shared: &Shared, has_evacuations: bool, answered: &Notify) -> Result<Finding, Error> {
    let before = pull::held(shared);
    let mut parts = parts(&before, has_evacuations);
    let known = parts.last().map(|part| part.at).unwrap_or_default();
    let is_fresh = shared.now().since(shared.grown_at()) < FRESH;
    let first = if is_fresh { parts.len() - 1 } else { 1 };
    if !is_fresh {
        parts.reverse();
    }
    let mut store_at = Position::default();
    let mut is_gone = false;
    for (index, part) in parts.into_iter().enumerate() {
        let is_of_earlier_epoch = part.at.epoch < store_at.epoch.max(known.epoch);
        if index >= first && store_at <= known && !is_of_earlier_epoch && !is_gone {
            continue;
        }
        let told = since(store, shared, part).await;
        answered.notify_one();
        match told {
            Ok(at) => store_at = store_at.max(at),
            Err(Error::HistoryGone) if part.kind == Kind::Upstreams => is_gone = true,
            Err(error) => return Err(error),
        }
    }
    if is_gone {
        return Ok(Finding::HistoryGone);
    }
    let is_even = pull::held(shared) == before;
    Ok(if is_even { Finding::Even } else { Finding::Behind })
}

/// The parts of the knowledge, the one that lags most first.
fn parts(held: &Positions, has_evacuations: bool) -> Vec<Part> {
    let part = |kind, at| Part { kind, at };
    let mut parts = vec![
        part(Kind::Document, held.document_at),
        part(Kind::Upstreams, held.upstreams_at),
    ];
    if has_evacuations {
        parts.push(part(Kind::Evacuations, held.evacuations_at));
    }
    parts.sort_by_key(|part| part.at);
    parts
}

/// Takes in what has changed of a part, and gives the place at which the store stood.
async fn since(store: &Store, shared: &Shared, part: Part) -> Result<Position, Error> {
    match part.kind {
        Kind::Document => documents_since(store, shared, part.at).await,
        Kind::Upstreams => {
            let watched = store::watch(store, shared, part.at, Duration::ZERO).await;
            watched.map(|(at, _)| at)
        }
        // These are few, and are always read together.
        Kind::Evacuations => evacuations::read(store, shared).await,
    }
}

/// Takes in what has changed of the document, and gives the place at which the store stood.
async fn documents_since(store: &Store, shared: &Shared, since: Position) -> Result<Position, Error> {
    let documents = match store.watch_document(since, Duration::ZERO).await {
        Err(Error::HistoryGone) => store.read_document().await?,
        result => result?,
    };
    let at = documents.at;
    store::apply_document(shared, documents);
    Ok(at)
}
