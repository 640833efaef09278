//! Concurrent writers under random faults: the outcome reported for each write must match the history.

use std::collections::BTreeMap;
use std::time::Duration;

use platform::Client;
use platform::DocumentWrite;
use platform::Error;
use platform::Options;
use platform::WriteOutcome;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use standin::platform::Behaviour;
use standin::platform::Handle;
use tokio::task::JoinSet;
use units::Millis;
use units::Nonce;
use units::Revision;

/// Number of runs, each with its own seed. `JAYQUAY_SEEDS` overrides it.
const SEEDS: u64 = 4;

/// Number of concurrent writers.
const WRITERS: u64 = 4;

/// Number of writes by each writer. The stand-in retains all versions of one run.
const WRITES: u64 = 20;

/// Response timeout of the clients.
const TIMEOUT: Duration = Duration::from_millis(100);

/// Duration of each fault.
const FAULT_DURATION: Duration = Duration::from_millis(10);

/// The final outcome reported for a write: the revision that it created, or `None` if it will never take effect.
type FinalOutcome = Option<Revision>;

fn random_behaviour(random: &mut StdRng) -> Behaviour {
    let mut behaviour = Behaviour::default();
    match random.random_range(0..8) {
        0 => behaviour.down = true,
        1 => behaviour.unavailable = true,
        2 => behaviour.stalled = true,
        3 => behaviour.slow = Millis(5),
        4 => behaviour.lose_answers = random.random_range(1..4),
        5 => behaviour.hold = Some(Nonce(random.random_range(1..=WRITERS * WRITES))),
        6 => behaviour.behind = random.random_range(1..4),
        _ => {}
    }
    behaviour
}

/// Injects one random fault after another until the future is dropped.
async fn inject_faults(platform: &Handle, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    loop {
        platform.behave(random_behaviour(&mut random)).await;
        tokio::time::sleep(FAULT_DURATION).await;
    }
}

async fn retry_delay() {
    tokio::time::sleep(Duration::from_millis(2)).await;
}

async fn current_revision(client: &Client) -> Revision {
    loop {
        match client.document().await {
            Ok(document) => return document.map(|document| document.revision).unwrap_or_default(),
            Err(_) => retry_delay().await,
        }
    }
}

/// Sends a write, and retries or resolves it until its outcome is decided.
async fn write_until_decided(client: &Client, write: &DocumentWrite) -> FinalOutcome {
    match client.write(write).await {
        Ok(revision) => return Some(revision),
        Err(error) if !error.may_have_taken_effect() => return None,
        Err(_) => {}
    }
    loop {
        // Cover both strategies: reading the revision back before resending, and only resending.
        if write.nonce.0.is_multiple_of(2) {
            match client.resolve_write(write).await {
                Ok(WriteOutcome::Applied(revision)) => return Some(revision),
                Ok(WriteOutcome::Conflict(_)) => return None,
                Ok(WriteOutcome::Undecided) => {}
                Err(_) => retry_delay().await,
            }
        }
        match client.write(write).await {
            Ok(revision) => return Some(revision),
            Err(Error::Conflict { .. }) => return None,
            // This copy had no effect, but an earlier one may still take effect.
            Err(_) => retry_delay().await,
        }
    }
}

async fn run_writer(client: Client, writer: u64) -> Vec<(Nonce, FinalOutcome)> {
    let mut outcomes = Vec::new();
    for number in 1..=WRITES {
        let nonce = Nonce(writer * WRITES + number);
        let draft = DocumentWrite {
            base: current_revision(&client).await,
            text: format!("text {nonce}"),
            writer: format!("writer {writer}"),
            nonce,
        };
        outcomes.push((nonce, write_until_decided(&client, &draft).await));
    }
    outcomes
}

async fn check(seed: u64) {
    let platform = standin::platform::start(standin::platform::Options::default()).await;
    let platform = platform.expect("loopback has free ports");
    let mut writers = JoinSet::new();
    for writer in 0..WRITERS {
        let mut options = Options::new(vec![platform.address()]);
        options.timeout = TIMEOUT;
        writers.spawn(run_writer(Client::new(options), writer));
    }
    let outcomes = tokio::select! {
        outcomes = writers.join_all() => outcomes,
        () = inject_faults(&platform, seed) => unreachable!("faults are injected until all writers have finished"),
    };
    platform.behave(Behaviour::default()).await;
    let client = Client::new(Options::new(vec![platform.address()]));
    let history = client
        .history(1_000)
        .await
        .expect("the platform works again after the faults");
    let made: BTreeMap<Nonce, Revision> = history.iter().map(|made| (made.nonce, made.revision)).collect();
    assert_eq!(made.len(), history.len(), "seed {seed}: a write took effect twice");
    for (nonce, outcome) in outcomes.into_iter().flatten() {
        assert_eq!(outcome, made.get(&nonce).copied(), "seed {seed}: write {nonce}");
    }
    let revisions: Vec<u64> = history.iter().rev().map(|made| made.revision.0).collect();
    let whole: Vec<u64> = (1..=platform.counts().taken).collect();
    assert_eq!(
        revisions, whole,
        "seed {seed}: the revisions in the history are not consecutive"
    );
}

#[tokio::test]
async fn write_outcomes_match_the_history_under_faults() {
    let seeds =
        std::env::var("JAYQUAY_SEEDS").map_or(SEEDS, |seeds| seeds.parse().expect("JAYQUAY_SEEDS is not a number"));
    for seed in 1..=seeds {
        check(seed).await;
    }
}
