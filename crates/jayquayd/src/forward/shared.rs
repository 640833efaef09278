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
pub(crate) struct UnreadableDocument {
    /// Position in the store's history at which the document was seen.
    pub(crate) at: Position,
    /// The reason why it can't be read.
    pub(crate) reason: String,
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
    knowledge_changed: Notify,
    /// Signals tasks that wait for a condition on the knowledge.
    condition_waiters: Notify,
    /// Signals that a packet arrived before this instance was ready.
    packet_waiting: Notify,
    has_waiting_packet: AtomicBool,
    /// Signals that received knowledge may have led to decisions that no incoming packet will trigger.
    decisions_pending: Notify,
    is_stopping: AtomicBool,
    /// A document in the store that can't be read.
    unreadable_document: Mutex<Option<UnreadableDocument>>,
    last_packet: AtomicU64,
    knowledge_changed_at: AtomicU64,
}

impl Shared {
    pub(crate) fn new(clock: Clock, core: Core, members: Membership) -> Self {
        Self {
            clock,
            inner: Arc::new(Inner {
                core: Mutex::new(core),
                members: Mutex::new(members),
                knowledge_changed: Notify::new(),
                condition_waiters: Notify::new(),
                packet_waiting: Notify::new(),
                has_waiting_packet: AtomicBool::new(false),
                decisions_pending: Notify::new(),
                is_stopping: AtomicBool::new(false),
                unreadable_document: Mutex::default(),
                last_packet: AtomicU64::new(0),
                knowledge_changed_at: AtomicU64::new(0),
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
        let has_changed = self.core().learn(now, change);
        if has_changed {
            self.inner.knowledge_changed_at.store(now.0, Ordering::Relaxed);
            self.inner.knowledge_changed.notify_one();
            self.inner.condition_waiters.notify_waiters();
            self.note_decisions();
        }
        has_changed
    }

    /// Records that a packet is waiting for this instance to become ready.
    pub(crate) fn note_waiting_packet(&self) {
        self.inner.has_waiting_packet.store(true, Ordering::Relaxed);
        self.inner.packet_waiting.notify_one();
    }

    /// Whether a packet arrived before this instance was ready.
    pub(crate) fn has_waiting_packet(&self) -> bool {
        self.inner.has_waiting_packet.load(Ordering::Relaxed)
    }

    /// Waits until a packet arrives before this instance is ready.
    pub(crate) async fn packet_waiting(&self) {
        self.inner.packet_waiting.notified().await;
    }

    /// The time at which the knowledge last changed.
    pub(crate) fn knowledge_changed_at(&self) -> Time {
        Time(self.inner.knowledge_changed_at.load(Ordering::Relaxed))
    }

    /// Waits until the knowledge changes.
    pub(crate) async fn knowledge_changed(&self) {
        self.inner.knowledge_changed.notified().await;
    }

    /// Signals that received knowledge may have led to resets and decisions to log.
    pub(crate) fn note_decisions(&self) {
        self.inner.decisions_pending.notify_one();
    }

    /// Waits until there may be decisions to carry out that no packet triggered.
    pub(crate) async fn decisions_pending(&self) {
        self.inner.decisions_pending.notified().await;
    }

    /// Waits until there is enough knowledge to serve.
    pub(crate) async fn wait_until_ready(&self) {
        self.wait_until(Knowledge::is_ready).await;
    }

    /// Waits until the knowledge satisfies a condition.
    pub(crate) async fn wait_until(&self, holds: impl Fn(&Knowledge) -> bool) {
        loop {
            let changed = self.inner.condition_waiters.notified();
            if holds(self.core().knowledge()) {
                return;
            }
            changed.await;
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

    fn lock_unreadable(&self) -> MutexGuard<'_, Option<UnreadableDocument>> {
        self.inner
            .unreadable_document
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The document last seen in the store, if it can't be parsed, in which case an earlier one stays in force.
    pub(crate) fn unreadable_document(&self) -> Option<UnreadableDocument> {
        self.lock_unreadable().clone()
    }

    /// Records that the document last seen can't be parsed, or with `None` that it can. Returns whether this changed.
    pub(crate) fn set_unreadable_document(&self, unreadable: Option<UnreadableDocument>) -> bool {
        let mut held = self.lock_unreadable();
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
        let text = match self.unreadable_document() {
            Some(UnreadableDocument { at, reason }) => {
                format!("no document: the one in the store at {at} can't be parsed: {reason}")
            }
            None => "starting: no document yet".to_owned(),
        };
        Some(text)
    }

    pub(crate) fn note_packet(&self, now: Time) {
        self.inner.last_packet.store(now.0, Ordering::Relaxed);
    }

    /// The time at which the last packet arrived.
    pub(crate) fn last_packet(&self) -> Time {
        Time(self.inner.last_packet.load(Ordering::Relaxed))
    }
}
