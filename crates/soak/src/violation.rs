//! Broken promises.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// An open flow was reset while its upstream lived.
    Cut(String),
    /// A client got something that is no answer to its request, or from another upstream than its flow's.
    Mixed(String),
    /// A flow was opened at an upstream of another service.
    WrongService(String),
    /// A leaving upstream got a new flow after the bound.
    Drained(String),
    /// A flow was opened in a zone that is to be emptied after the bound.
    Evacuated(String),
    /// An instance went back to an older document, or held one for too long.
    Document(String),
    /// A process ended by itself, or not in time, or not well.
    Ended(String),
    /// An opening was refused although an upstream of its service had a free slot.
    Refused(String),
    /// More urgent requests were refused where less urgent ones were served.
    Priority(String),
    /// An upstream had more open flows than its limit.
    Connections(String),
    /// Requests were not answered after all faults had ended.
    Unserved(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Cut(text) => write!(f, "flow cut: {text}"),
            Self::Mixed(text) => write!(f, "answer mixed up: {text}"),
            Self::WrongService(text) => write!(f, "wrong service: {text}"),
            Self::Drained(text) => write!(f, "new flow after draining: {text}"),
            Self::Evacuated(text) => write!(f, "new flow in a zone that is emptied: {text}"),
            Self::Document(text) => write!(f, "document: {text}"),
            Self::Ended(text) => write!(f, "process: {text}"),
            Self::Refused(text) => write!(f, "refused with capacity free: {text}"),
            Self::Priority(text) => write!(f, "priority: {text}"),
            Self::Connections(text) => write!(f, "connections over the limit: {text}"),
            Self::Unserved(text) => write!(f, "not served: {text}"),
        }
    }
}

/// Collects broken promises, each with its time since the start.
#[derive(Debug, Clone)]
pub(crate) struct Book {
    start: Instant,
    entries: Arc<Mutex<Vec<(Duration, Violation)>>>,
}

impl Book {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            entries: Arc::default(),
        }
    }

    pub(crate) fn add(&self, violation: Violation) {
        let at = self.start.elapsed();
        log::error!("soak: {:.3} s: {violation}", at.as_secs_f64());
        self.entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((at, violation));
    }

    pub(crate) fn take(&self) -> Vec<(Duration, Violation)> {
        std::mem::take(&mut self.entries.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
