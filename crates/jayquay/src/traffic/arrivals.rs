//! Requests that arrive at a rate, whether or not earlier ones have ended.

use std::net::SocketAddr;
use std::time::Duration;

use caller::CallRequest;
use caller::Client;
use caller::Failure;
use caller::FlowCounters;
use caller::OpenError;
use caller::Policy;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use units::ServiceName;

use crate::traffic::Kind;

/// How many flows are opened at a time.
const OPENING: usize = 64;

/// A time in which more requests begin.
#[derive(Debug, Clone)]
pub struct Surge {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub lasts: Duration,
    /// How many requests begin per second meanwhile.
    pub rate: f64,
    /// The kinds of request meanwhile.
    pub kinds: Vec<Kind>,
}

/// What callers do.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Where packets are sent.
    pub fabric: SocketAddr,
    /// The service address that callers dial.
    pub address: SocketAddr,
    /// The service.
    pub service: ServiceName,
    /// How many flows there are.
    pub flows: usize,
    /// How many requests begin per second, over all flows.
    pub rate: f64,
    /// A time in which more of them begin, if there is one.
    pub surge: Option<Surge>,
    /// How long requests begin.
    pub duration: Duration,
    /// The kinds of request.
    pub kinds: Vec<Kind>,
    /// How long a caller waits for an answer.
    pub timeout: Duration,
    /// How long a body is, in bytes, unless it needs more to be unique.
    pub body_len: usize,
    /// Where random draws begin. Bodies begin with it, so that those of two runs differ.
    pub seed: u64,
}

impl Plan {
    /// How many requests begin per second at this time of the run, and of what kinds.
    fn at(&self, elapsed: Duration) -> (f64, &[Kind]) {
        let surge = self.surge.as_ref();
        match surge.filter(|surge| (surge.at..surge.at + surge.lasts).contains(&elapsed)) {
            Some(surge) => (surge.rate, &surge.kinds),
            None => (self.rate, &self.kinds),
        }
    }
}

/// A request that has ended.
#[derive(Debug, Clone)]
pub struct Ended {
    /// The service.
    pub service: ServiceName,
    /// The flow, counted from zero.
    pub flow: usize,
    /// The kind.
    pub kind: Kind,
    /// What the upstream was to get. No two requests have the same.
    pub body: Vec<u8>,
    /// How long it took from its intended begin, so that a stall of the program itself is not hidden.
    pub latency: Duration,
    /// How it ended.
    pub result: Result<Vec<u8>, Failure>,
}

/// Opens the flows, makes the requests, tells of each one's end, and gives what the flows counted.
///
/// It fails if a flow cannot be opened.
pub async fn drive(plan: Plan, ends: mpsc::Sender<Ended>) -> Result<Vec<FlowCounters>, OpenError> {
    let clients = open_all(&plan).await?;
    let mut random = SmallRng::seed_from_u64(plan.seed);
    let mut requests = JoinSet::new();
    let start = Instant::now();
    let mut due = start;
    for number in 0_u64.. {
        let (rate, kinds) = plan.at(due.duration_since(start));
        due += gap(rate, &mut random);
        if due.duration_since(start) > plan.duration {
            break;
        }
        tokio::time::sleep_until(due).await;
        while requests.try_join_next().is_some() {}
        let flow = random.random_range(0..clients.len());
        let kind = pick(kinds, &mut random).clone();
        let body = body(&plan, number);
        let client = clients[flow].clone();
        let ended = Ended {
            service: plan.service.clone(),
            flow,
            kind,
            body,
            latency: Duration::ZERO,
            result: Ok(Vec::new()),
        };
        requests.spawn(request(client, ended, due, plan.timeout, ends.clone()));
    }
    while requests.join_next().await.is_some() {}
    let mut tallies = Vec::new();
    for client in clients {
        tallies.push(client.counters().await);
    }
    Ok(tallies)
}

async fn open_all(plan: &Plan) -> Result<Vec<Client>, OpenError> {
    let mut clients = Vec::new();
    let mut opening = JoinSet::new();
    for number in 0..plan.flows {
        if opening.len() >= OPENING
            && let Some(Ok(opened)) = opening.join_next().await
        {
            clients.push(opened?);
        }
        let policy = Policy::default();
        let seed = plan.seed.wrapping_add(number as u64);
        opening.spawn(Client::open_with(
            plan.service.clone(),
            plan.address,
            plan.fabric,
            policy,
            seed,
        ));
    }
    while let Some(Ok(opened)) = opening.join_next().await {
        clients.push(opened?);
    }
    Ok(clients)
}

async fn request(client: Client, mut ended: Ended, due: Instant, timeout: Duration, ends: mpsc::Sender<Ended>) {
    let work = CallRequest {
        kind: ended.kind.name.clone(),
        body: ended.body.clone(),
        timeout,
        idempotent: ended.kind.idempotent,
    };
    ended.result = client.submit(work).await;
    ended.latency = due.elapsed();
    // Whoever counts may have gone.
    let _ = ends.send(ended).await;
}

/// The time to the next arrival, exponentially distributed.
fn gap(rate: f64, random: &mut SmallRng) -> Duration {
    let draw: f64 = random.random();
    Duration::from_secs_f64(-(1.0 - draw).ln() / rate)
}

fn pick<'a>(kinds: &'a [Kind], random: &mut SmallRng) -> &'a Kind {
    let total: u32 = kinds.iter().map(|kind| kind.share).sum();
    let mut draw = random.random_range(0..total.max(1));
    for kind in kinds {
        if draw < kind.share {
            return kind;
        }
        draw -= kind.share;
    }
    &kinds[0]
}

fn body(plan: &Plan, number: u64) -> Vec<u8> {
    let mut body = format!("{:016x}{number:016x}", plan.seed).into_bytes();
    let len = plan.body_len.max(body.len());
    body.resize(len, b'.');
    body
}
