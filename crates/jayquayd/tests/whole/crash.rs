//! `hold` requests over a fabric that loses, duplicates and reorders packets, while instances crash and others join.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use caller::Client;
use standin::upstream::expected_answer;
use units::Bytes;
use units::Millis;
use wire::Verdict;

use crate::fleet::Fleet;
use crate::fleet::wait_until;

/// Number of callers.
const CALLER_COUNT: usize = 8;
/// Minimum number of `hold` requests completed before, between and after the crashes.
const MIN_HOLDS_PER_PHASE: usize = 200;
/// Deadline for each request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Request bodies with their outcomes: `None` if the request was answered.
type Outcomes = Vec<(Vec<u8>, Option<Verdict>)>;

#[tokio::test]
async fn a_crash_runs_no_request_twice_and_refused_requests_did_not_run() {
    let mut fleet = Fleet::new().await;
    fleet.put_document(1);
    for name in ["one", "two", "three"] {
        fleet.join(name, "a").await;
    }
    fleet.fabric.behave(standin::fabric::Behaviour {
        lost: "0.02".parse().unwrap(),
        doubled: "0.05".parse().unwrap(),
        delayed: "0.05".parse().unwrap(),
        delay: Millis(30),
        reordered: "0.05".parse().unwrap(),
    });
    let mut clients = Vec::new();
    for _ in 0..CALLER_COUNT {
        clients.push(fleet.open().await);
    }
    let done = AtomicBool::new(false);
    let completed = AtomicUsize::new(0);
    let callers = clients
        .iter()
        .enumerate()
        .map(|(caller, client)| run_caller(caller, client, &done, &completed));
    let crashes = async {
        for name in ["four", "five"] {
            let target = completed.load(Ordering::Relaxed) + MIN_HOLDS_PER_PHASE;
            wait_until(async || completed.load(Ordering::Relaxed) >= target).await;
            let home = fleet.home().await;
            fleet.crash(home);
            fleet.join(name, "a").await;
        }
        let target = completed.load(Ordering::Relaxed) + MIN_HOLDS_PER_PHASE;
        wait_until(async || completed.load(Ordering::Relaxed) >= target).await;
        done.store(true, Ordering::Relaxed);
    };
    let (outcomes, ()) = tokio::join!(futures_util::future::join_all(callers), crashes);
    let outcomes: Outcomes = outcomes.into_iter().flatten().collect();
    check_outcomes(&fleet, &outcomes);
    // On a machine that stalls for seconds, one more owner may be declared dead. Every flow must still recover.
    for client in &clients {
        let kind: units::KindName = "hold".parse().unwrap();
        wait_until(async || {
            client
                .request(kind.clone(), b"room".to_vec(), REQUEST_TIMEOUT)
                .await
                .is_ok()
        })
        .await;
    }
}

async fn run_caller(caller: usize, client: &Client, done: &AtomicBool, completed: &AtomicUsize) -> Outcomes {
    let service = "availability".parse().unwrap();
    let kind: units::KindName = "hold".parse().unwrap();
    let mut outcomes = Vec::new();
    while !done.load(Ordering::Relaxed) {
        let body = format!("caller {caller} room {}", outcomes.len()).into_bytes();
        let outcome = match client.request(kind.clone(), body.clone(), REQUEST_TIMEOUT).await {
            Ok(answer) => {
                assert_eq!(answer, expected_answer(&service, &kind, &body, Bytes(100)));
                None
            }
            Err(failure) => Some(failure.verdict),
        };
        outcomes.push((body, outcome));
        completed.fetch_add(1, Ordering::Relaxed);
    }
    outcomes
}

/// Compares the outcomes reported to callers with the requests that ran.
fn check_outcomes(fleet: &Fleet, outcomes: &Outcomes) {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for run in fleet.upstreams.iter().flat_map(standin::upstream::Handle::runs) {
        *runs.entry(run.body).or_default() += run.runs;
    }
    let mut in_doubt = 0;
    for (body, verdict) in outcomes {
        let digest = blake3::hash(body).to_hex()[..16].to_owned();
        let ran = runs.get(&digest).copied().unwrap_or(0);
        match verdict {
            None => assert_eq!(ran, 1, "{}", String::from_utf8_lossy(body)),
            Some(Verdict::NotRun) => assert_eq!(ran, 0, "{}", String::from_utf8_lossy(body)),
            Some(Verdict::MayHaveRun) => {
                assert!(ran <= 1, "{}", String::from_utf8_lossy(body));
                in_doubt += 1;
            }
        }
    }
    println!("{} requests, {in_doubt} in doubt", outcomes.len());
    assert!(
        in_doubt <= 2 * CALLER_COUNT,
        "a crash leaves at most one request of each caller in doubt"
    );
}
