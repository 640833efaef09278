//! Bursts: clients that all ask at once, each on a new flow, for more than the upstreams can serve.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use adapter_standin::Client;
use adapter_standin::Reply;
use adapter_standin::WorkLimits;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::clients;
use crate::clients::Context;
use crate::clients::FlowUse;

/// The work that each upstream does at a time in a soak with bursts.
pub(crate) const LIMITS: WorkLimits = WorkLimits {
    slots: 2,
    queue: 8,
    service_time: Duration::from_millis(20),
};
/// The time that a request takes at a slow upstream.
pub(crate) const SLOW_SERVICE_TIME: Duration = Duration::from_millis(120);
/// Number of clients of a burst, half of them on the urgent route: more than the slots and queue places of their
/// service.
pub(crate) const CLIENTS: usize = 60;
/// Largest number of flows that may be open at a time at an upstream.
pub(crate) const MAX_CONNS: u32 = 40;
/// Pause of a client after a refusal.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Number of times that a client sends its opening packet.
const ATTEMPTS: u32 = 3;

/// An opening that was answered by a reset.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Refusal {
    /// When the opening began.
    pub(crate) began: Instant,
    pub(crate) service: &'static str,
}

/// What became of the openings on one route.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Openings {
    pub(crate) opened: u64,
    pub(crate) refused: u64,
}

impl Openings {
    /// The share of openings that were refused.
    pub(crate) fn refused_share(self) -> f64 {
        self.refused as f64 / (self.opened + self.refused).max(1) as f64
    }
}

#[derive(Debug, Default)]
struct Shared {
    refusals: Vec<Refusal>,
    urgent: Openings,
    other: Openings,
}

/// Begins and ends bursts, and collects what their clients see.
#[derive(Debug, Clone, Default)]
pub(crate) struct Burst {
    is_on: Arc<AtomicBool>,
    shared: Arc<Mutex<Shared>>,
}

impl Burst {
    pub(crate) fn set(&self, is_on: bool) {
        self.is_on.store(is_on, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The refusals since the last call.
    pub(crate) fn take_refusals(&self) -> Vec<Refusal> {
        std::mem::take(&mut self.lock().refusals)
    }

    /// The openings on the urgent route and on the other one since the last call.
    pub(crate) fn take_openings(&self) -> (Openings, Openings) {
        let mut shared = self.lock();
        (std::mem::take(&mut shared.urgent), std::mem::take(&mut shared.other))
    }

    /// Counts an opening, refused if there is a `refusal`.
    fn record(&self, is_urgent: bool, refusal: Option<Refusal>) {
        let mut shared = self.lock();
        let openings = if is_urgent {
            &mut shared.urgent
        } else {
            &mut shared.other
        };
        match refusal {
            None => openings.opened += 1,
            Some(refusal) => {
                openings.refused += 1;
                shared.refusals.push(refusal);
            }
        }
    }
}

/// Opens a flow for each request while there is a burst, until the task is ended.
pub(crate) async fn run(
    mut client: Client,
    number: usize,
    seed: u64,
    context: Context,
    burst: Burst,
    is_urgent: bool,
) -> io::Result<()> {
    client.set_attempts(ATTEMPTS);
    let mut rng = StdRng::seed_from_u64(seed);
    loop {
        if !burst.is_on.load(Ordering::Relaxed) {
            tokio::time::sleep(RETRY_PAUSE / 10).await;
            continue;
        }
        let router = || context.router.pick(number);
        let refusal = Refusal {
            began: Instant::now(),
            service: context.service,
        };
        match client.open_via(context.route, router).await? {
            Reply::Opened => {
                burst.record(is_urgent, None);
                clients::keep(&mut client, number, &mut rng, &context, FlowUse::ONE_REQUEST).await?;
            }
            Reply::Reset => {
                burst.record(is_urgent, Some(refusal));
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Reply::Response(_) | Reply::Timeout => {
                context.tally.unanswered.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}
