//! The write itself, and finding out what became of it when its answer was lost.

use std::time::Duration;

use platform::Client;
use platform::Error;
use platform::Settled;
use platform::Write;
use units::Nonce;
use units::Revision;

use crate::Plan;
use crate::Refusal;
use crate::refusal;

/// How long to go on reading back a write in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// How often it is tried.
    pub attempts: u32,
    /// How long to wait before the second try. Each further wait is twice as long.
    pub initial_delay: Duration,
}

impl Default for RetryPolicy {
    /// Some six seconds, on top of the platform's own timeouts.
    fn default() -> Self {
        Self {
            attempts: 6,
            initial_delay: Duration::from_millis(200),
        }
    }
}

/// Nonces lie below this, so that every JSON reader keeps them exact.
const NONCE_LIMIT: u64 = 1 << 53;

/// A document came into force at the platform. If that was read back, a later one may be in force by now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Applied {
    /// The revision that was made.
    pub revision: Revision,
    /// Whether the platform's answer was lost, and what it had done was read back.
    pub read_back: bool,
}

/// Carries out a plan.
///
/// The write is sent again only under its own nonce and condition, so that it never takes effect twice.
pub async fn apply(client: &Client, plan: &Plan, policy: RetryPolicy) -> Result<Applied, Refusal> {
    let revision = plan.document.revision;
    if plan.applied.is_some() {
        let read_back = true;
        return Ok(Applied { revision, read_back });
    }
    let write = Write {
        base: plan.from,
        text: plan.document.text.clone(),
        writer: plan.document.change.author.clone(),
        nonce: Nonce(rand::random_range(1..NONCE_LIMIT)),
    };
    match client.write(&write).await {
        Ok(revision) => Ok(Applied {
            revision,
            read_back: false,
        }),
        Err(cause @ Error::InDoubt(_)) => resolve_in_doubt(client, plan, &write, policy, cause).await,
        Err(error @ Error::Conflict { .. }) => Err(conflict_refusal(client, plan, error).await),
        Err(error) => Err(Refusal::Platform(error)),
    }
}

/// Reads back what became of a write, and sends it again while neither it nor another one has made the revision.
async fn resolve_in_doubt(
    client: &Client,
    plan: &Plan,
    write: &Write,
    policy: RetryPolicy,
    initial_cause: Error,
) -> Result<Applied, Refusal> {
    let revision = write.revision();
    let mut cause = initial_cause;
    let mut delay = policy.initial_delay;
    for attempt in 0..policy.attempts {
        if attempt > 0 {
            tokio::time::sleep(delay).await;
            delay *= 2;
        }
        log::info!("apply: reading back revision {revision}, {cause}");
        match client.settle(write).await {
            Ok(Settled::TookEffect(revision)) => {
                let read_back = true;
                return Ok(Applied { revision, read_back });
            }
            Ok(Settled::Lost(winner)) => return Err(refusal::conflict(&plan.base, &plan.document, &winner)),
            Ok(Settled::Open) => {}
            Err(error) => {
                cause = error;
                continue;
            }
        }
        match client.write(write).await {
            Ok(revision) => {
                let read_back = true;
                return Ok(Applied { revision, read_back });
            }
            Err(error) => cause = error,
        }
    }
    Err(Refusal::InDoubt { revision, cause })
}

/// Tells who won, as far as the platform tells.
async fn conflict_refusal(client: &Client, plan: &Plan, error: Error) -> Refusal {
    match client.revision(plan.document.revision).await {
        Ok(Some(winner)) => refusal::conflict(&plan.base, &plan.document, &winner),
        Ok(None) | Err(_) => Refusal::Platform(error),
    }
}
