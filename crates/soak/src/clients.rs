//! Clients that keep flows open for many requests, with pauses, and note what they were promised and did not get.

use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapter_standin::Client;
use adapter_standin::REJECTED;
use adapter_standin::Reply;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::upstreams::Living;
use crate::violation::Book;
use crate::violation::Violation;

/// How often a client sends the same thing, 200 milliseconds apart, before it gives up.
const TRIES: u32 = 8;
/// How a client uses its flows.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FlowUse {
    /// Number of requests on a flow.
    requests: u32,
    /// Maximum pause after a request, in milliseconds.
    max_pause_ms: u64,
}

impl FlowUse {
    /// A flow is kept for many requests, with pauses.
    const LONG: Self = Self {
        requests: 12,
        max_pause_ms: 400,
    };
    /// A flow is opened for one request.
    pub(crate) const ONE_REQUEST: Self = Self {
        requests: 1,
        max_pause_ms: 50,
    };
}

/// The instances that routers lead packets to.
#[derive(Debug, Clone, Default)]
pub(crate) struct Router {
    rotation: Arc<Mutex<Vec<SocketAddr>>>,
}

impl Router {
    /// Sets who is in rotation.
    pub(crate) fn set(&self, rotation: Vec<SocketAddr>) {
        *self.rotation.lock().unwrap_or_else(PoisonError::into_inner) = rotation;
    }

    /// The instance for a client's packet. A client keeps its instance while the rotation stays as it is.
    pub(crate) fn pick(&self, client: usize) -> SocketAddr {
        let rotation = self.rotation.lock().unwrap_or_else(PoisonError::into_inner);
        rotation[client % rotation.len()]
    }
}

/// What clients got.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Requests that were answered.
    pub(crate) answered: AtomicU64,
    /// Requests that their upstream rejected, as it was full.
    pub(crate) rejected: AtomicU64,
    /// Requests that were not answered.
    pub(crate) unanswered: AtomicU64,
    /// Flows that were reset because their upstream had died.
    pub(crate) lost: AtomicU64,
}

/// What a client works with.
#[derive(Debug, Clone)]
pub(crate) struct Context {
    pub(crate) router: Router,
    pub(crate) living: Living,
    pub(crate) book: Book,
    pub(crate) tally: Arc<Tally>,
    pub(crate) route: SocketAddrV4,
    pub(crate) service: &'static str,
}

/// Opens flows and asks, until the task is ended.
pub(crate) async fn run(mut client: Client, number: usize, seed: u64, context: Context) -> io::Result<()> {
    client.set_attempts(TRIES);
    let mut rng = StdRng::seed_from_u64(seed);
    loop {
        let router = || context.router.pick(number);
        match client.open_via(context.route, router).await? {
            Reply::Opened => keep(&mut client, number, &mut rng, &context, FlowUse::LONG).await?,
            Reply::Response(_) | Reply::Reset | Reply::Timeout => {
                context.tally.unanswered.fetch_add(1, Ordering::Relaxed);
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Keeps a flow for some requests, and ends it.
pub(crate) async fn keep(
    client: &mut Client,
    number: usize,
    rng: &mut StdRng,
    context: &Context,
    flow_use: FlowUse,
) -> io::Result<()> {
    let echo = client.echo();
    context.living.note_open(echo);
    let result = ask(client, number, rng, context, flow_use).await;
    context.living.note_closed(echo);
    client.close(context.router.pick(number)).await?;
    result
}

async fn ask(
    client: &mut Client,
    number: usize,
    rng: &mut StdRng,
    context: &Context,
    flow_use: FlowUse,
) -> io::Result<()> {
    let Some(life) = context.living.find(client.echo()) else {
        let text = format!("client {number} got the echo {}", client.echo());
        context.book.add(Violation::Mixed(text));
        return Ok(());
    };
    if life.service != context.service {
        let text = format!(
            "client {number} of {} is at {} of {}",
            context.service, life.id, life.service
        );
        context.book.add(Violation::WrongService(text));
    }
    for request in 0..flow_use.requests {
        let text = format!("{number}-{request}-{}", rng.random::<u32>());
        let router = || context.router.pick(number);
        match client.ask_via(text.as_bytes(), router).await? {
            Reply::Response(answer) if answer == format!("{}: {text}", life.id).as_bytes() => {
                context.tally.answered.fetch_add(1, Ordering::Relaxed);
            }
            Reply::Response(answer) if answer == REJECTED => {
                context.tally.rejected.fetch_add(1, Ordering::Relaxed);
            }
            Reply::Response(answer) => {
                let answer = String::from_utf8_lossy(&answer).into_owned();
                let text = format!("client {number} asked {} for {text} and got {answer}", life.id);
                context.book.add(Violation::Mixed(text));
                return Ok(());
            }
            Reply::Reset => {
                if context.living.find(client.echo()).is_some_and(|life| life.is_alive) {
                    let text = format!("client {number}, upstream {}", life.id);
                    context.book.add(Violation::Cut(text));
                }
                context.tally.lost.fetch_add(1, Ordering::Relaxed);
                return Ok(());
            }
            Reply::Timeout | Reply::Opened => {
                context.tally.unanswered.fetch_add(1, Ordering::Relaxed);
                return Ok(());
            }
        }
        let pause = rng.random_range(0..=flow_use.max_pause_ms);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    Ok(())
}
