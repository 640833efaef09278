//! What the parts of a process share: the flow path, the members, and whether it stops.

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
    /// The place in the store's history at which it was seen.
    pub(crate) at: Position,
    /// Why it can't be read.
    pub(crate) why: String,
}

/// What the parts of a process share. All of them run on one thread, so that locks are never waited for.
#[derive(Debug, Clone)]
pub(crate) struct Shared {
    pub(crate) clock: Clock,
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    core: Mutex<Core>,
    members: Mutex<Membership>,
    /// Knowledge has grown, or the members have changed.
    news: Notify,
    /// The same, for those who wait for something in particular.
    learnt: Notify,
    /// A packet has come before this instance could serve.
    awaited: Notify,
    is_awaited: AtomicBool,
    /// What was told may have led to decisions that no packet carries out.
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

    /// Takes in what the store or another instance told, and lets others know if it is new.
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

    /// A packet has come, and waits until this instance can serve.
    pub(crate) fn note_awaited(&self) {
        self.inner.is_awaited.store(true, Ordering::Relaxed);
        self.inner.awaited.notify_one();
    }

    /// Whether one has.
    pub(crate) fn is_awaited(&self) -> bool {
        self.inner.is_awaited.load(Ordering::Relaxed)
    }

    /// Waits until one has.
    pub(crate) async fn awaited(&self) {
        self.inner.awaited.notified().await;
    }

    /// When knowledge has grown last.
    pub(crate) fn grown_at(&self) -> Time {
        Time(self.inner.grown_at.load(Ordering::Relaxed))
    }

    /// Waits until knowledge has grown.
    pub(crate) async fn grown(&self) {
        self.inner.news.notified().await;
    }

    /// What was told may have led to resets and lines for the log.
    pub(crate) fn note_decisions(&self) {
        self.inner.decided.notify_one();
    }

    /// Waits until decisions are to be carried out that no packet has led to.
    pub(crate) async fn decided(&self) {
        self.inner.decided.notified().await;
    }

    /// Waits until there is enough knowledge to serve.
    pub(crate) async fn until_ready(&self) {
        self.until(Knowledge::is_ready).await;
    }

    /// Waits until something holds of what is known.
    pub(crate) async fn until(&self, holds: impl Fn(&Knowledge) -> bool) {
        loop {
            let told = self.inner.learnt.notified();
            if holds(self.core().knowledge()) {
                return;
            }
            told.await;
        }
    }

    /// Whether flows may be led here.
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

    /// The document that this instance last saw in the store, if it can't be read, so that an earlier one stays in force.
    pub(crate) fn unreadable_document(&self) -> Option<Unreadable> {
        self.unreadable().clone()
    }

    /// Notes a document that can't be read, or that the last one that was seen can be. Tells whether that is news.
    pub(crate) fn note_document(&self, unreadable: Option<Unreadable>) -> bool {
        let mut held = self.unreadable();
        let is_news = *held != unreadable;
        *held = unreadable;
        is_news
    }

    /// What flows can't be led here for, in words for an operator; `None` if they can.
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
            return Some("starting: the upstreams, or the zones to be emptied, are not known yet".to_owned());
        }
        let why = match self.unreadable_document() {
            Some(Unreadable { at, why }) => format!("no document: the store's of {at} can't be read: {why}"),
            None => "starting: no document yet".to_owned(),
        };
        Some(why)
    }

    pub(crate) fn note_packet(&self, now: Time) {
        self.inner.last_packet.store(now.0, Ordering::Relaxed);
    }

    /// When the last packet came.
    pub(crate) fn last_packet(&self) -> Time {
        Time(self.inner.last_packet.load(Ordering::Relaxed))
    }
}
