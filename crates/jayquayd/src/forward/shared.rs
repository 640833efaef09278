//! State shared by the tasks of a process: the flow core, the membership, and whether the process is stopping.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use flow::Core;
use flow::Knowledge;
use membership::Membership;
use tokio::sync::Notify;
use units::Position;
use units::Time;

use crate::clock::Clock;

/// A document in the store that can't be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Unreadable {
    /// Position in the store's history at which the document was seen.
    pub(crate) at: Position,
    /// The reason why it can't be read.
    pub(crate) why: String,
}

/// State shared by the tasks of a process. All tasks run on one thread, so the locks are never contended.
#[derive(Debug, Clone)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    core: Mutex<Core>,
    members: Mutex<Membership>,
    /// Signals the gossip task that the knowledge or the members have changed.
    news: Notify,
    /// Signals tasks that wait for a condition on the knowledge.
    learnt: Notify,
    /// Signals that a packet arrived before this instance was ready.
    awaited: Notify,
    is_awaited: AtomicBool,
    /// Signals that received knowledge may have led to decisions that no incoming packet will trigger.
    decided: Notify,
    is_stopping: AtomicBool,
    /// A document in the store that can't be read.
    unreadable_document: Mutex<Option<Unreadable>>,
    last_packet: AtomicU64,
    grown_at: AtomicU64,
}

impl Shared {
    pub(crate) fn new(clock: Clock, core: Core, members: Membership) -> Self {
        Self {
            clock,
            inner: Arc::new(Inner {
                core: Mutex::new(core),
                members: Mutex::new(members),
                news: Notify::new(),
                learnt: Notify::new(),
                awaited: Notify::new(),
                is_awaited: AtomicBool::new(false),
                decided: Notify::new(),
                is_stopping: AtomicBool::new(false),
                unreadable_document: Mutex::default(),
                last_packet: AtomicU64::new(0),
                grown_at: AtomicU64::new(0),
            }),
        }
    }

    pub(crate) fn now(&self) -> Time {
        self.clock.now()
    }

    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        self.inner.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn members(&self) -> MutexGuard<'_, Membership> {
        self.inner.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies knowledge from the store or another instance and notifies the waiting tasks if it is new.
    pub(crate) fn learn(&self, change: impl FnOnce(&mut Knowledge) -> bool) -> bool {
        let now = self.now();
        let has_grown = self.core().learn(now, change);
        if has_grown {
            self.inner.grown_at.store(now.0, Ordering::Relaxed);
            self.inner.news.notify_one();
            self.inner.learnt.notify_waiters();
            self.note_decisions();
        }
        has_grown
    }

    /// Records that a packet is waiting for this instance to become ready.
    pub(crate) fn note_awaited(&self) {
        self.inner.is_awaited.store(true, Ordering::Relaxed);
        self.inner.awaited.notify_one();
    }

    /// Whether a packet arrived before this instance was ready.
    pub(crate) fn is_awaited(&self) -> bool {
        self.inner.is_awaited.load(Ordering::Relaxed)
    }

    /// Waits until a packet arrives before this instance is ready.
    pub(crate) async fn awaited(&self) {
        self.inner.awaited.notified().await;
    }

    /// The time at which the knowledge last changed.
    pub(crate) fn grown_at(&self) -> Time {
        Time(self.inner.grown_at.load(Ordering::Relaxed))
    }

    /// Waits until the knowledge changes.
    pub(crate) async fn grown(&self) {
        self.inner.news.notified().await;
    }

    /// Signals that received knowledge may have led to resets and decisions to log.
    pub(crate) fn note_decisions(&self) {
        self.inner.decided.notify_one();
    }

    /// Waits until there may be decisions to carry out that no packet triggered.
    pub(crate) async fn decided(&self) {
        self.inner.decided.notified().await;
    }

    /// Waits until there is enough knowledge to serve.
    pub(crate) async fn until_ready(&self) {
        self.until(Knowledge::is_ready).await;
    }

    /// Waits until the knowledge satisfies a condition.
    pub(crate) async fn until(&self, holds: impl Fn(&Knowledge) -> bool) {
        loop {
            let told = self.inner.learnt.notified();
            if holds(self.core().knowledge()) {
                return;
            }
            told.await;
        }
    }

    /// Whether routers may send flows to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.core().knowledge().is_ready()
    }

    pub(crate) fn stop(&self) {
        self.inner.is_stopping.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.inner.is_stopping.load(Ordering::Relaxed)
    }

    fn unreadable(&self) -> MutexGuard<'_, Option<Unreadable>> {
        self.inner
            .unreadable_document
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The document last seen in the store, if it can't be parsed, in which case an earlier one stays in force.
    pub(crate) fn unreadable_document(&self) -> Option<Unreadable> {
        self.unreadable().clone()
    }

    /// Records that the document last seen can't be parsed, or with `None` that it can. Returns whether this changed.
    pub(crate) fn note_document(&self, unreadable: Option<Unreadable>) -> bool {
        let mut held = self.unreadable();
        let is_news = *held != unreadable;
        *held = unreadable;
        is_news
    }

    /// The reason, in words for operators, why routers can't send flows to this instance; `None` if they can.
    pub(crate) fn why_not_ready(&self) -> Option<String> {
        if self.is_stopping() {
            return Some("stopping".to_owned());
        }
        let core = self.core();
        let knowledge = core.knowledge();
        if knowledge.is_ready() {
            return None;
        }
        if knowledge.document().is_some() {
            return Some("starting: the upstreams or the evacuated zones are not known yet".to_owned());
        }
        let why = match self.unreadable_document() {
            Some(Unreadable { at, why }) => format!("no document: the one in the store at {at} can't be parsed: {why}"),
            None => "starting: no document yet".to_owned(),
        };
        Some(why)
    }

    pub(crate) fn note_packet(&self, now: Time) {
        self.inner.last_packet.store(now.0, Ordering::Relaxed);
    }

    /// The time at which the last packet arrived.
    pub(crate) fn last_packet(&self) -> Time {
        Time(self.inner.last_packet.load(Ordering::Relaxed))
    }
}
