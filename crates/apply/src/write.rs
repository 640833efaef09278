//! Writes a document, and determines the outcome if the platform's response was lost.

use std::time::Duration;

use platform::Client;
use platform::DocumentWrite;
use platform::Error;
use platform::WriteOutcome;
use units::Nonce;
use units::Revision;

use crate::Plan;
use crate::Refusal;
use crate::refusal;

/// How often and at which intervals to read back a write whose outcome is in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The number of attempts.
    pub attempts: u32,
    /// The delay before the second attempt. It doubles after each further attempt.
    pub initial_delay: Duration,
}

impl Default for RetryPolicy {
    /// About six seconds of delays, in addition to the timeouts of the platform calls.
    fn default() -> Self {
        Self {
            attempts: 6,
            initial_delay: Duration::from_millis(200),
        }
    }
}

/// The exclusive upper bound of nonces: every JSON parser represents integers below it exactly.
const NONCE_LIMIT: u64 = 1 << 53;

/// A document was applied at the platform. If that was read back, a later one may already be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Applied {
    /// The revision of the document.
    pub revision: Revision,
    /// Whether the outcome was read back from the platform, because the response was lost or the document had been
    /// applied before.
    pub read_back: bool,
}

/// Executes a plan.
///
/// Retries send the same write, with the same nonce and base revision, so that it never takes effect twice.
pub async fn apply(client: &Client, plan: &Plan, policy: RetryPolicy) -> Result<Applied, Refusal> {
    let revision = plan.document.revision;
    if plan.applied.is_some() {
        let read_back = true;
        return Ok(Applied { revision, read_back });
    }
    let write = DocumentWrite {
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

/// Reads back the outcome of a write, and sends it again while no write has created the revision.
async fn resolve_in_doubt(
    client: &Client,
    plan: &Plan,
    write: &DocumentWrite,
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
        log::info!("apply: reading back revision {revision}: {cause}");
        match client.resolve_write(write).await {
            Ok(WriteOutcome::Applied(revision)) => {
                let read_back = true;
                return Ok(Applied { revision, read_back });
            }
            Ok(WriteOutcome::Conflict(winner)) => return Err(refusal::conflict(&plan.base, &plan.document, &winner)),
            Ok(WriteOutcome::Undecided) => {}
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

/// Returns a refusal that names the winner, or the platform's error if the winner cannot be read.
async fn conflict_refusal(client: &Client, plan: &Plan, error: Error) -> Refusal {
    match client.revision(plan.document.revision).await {
        Ok(Some(winner)) => refusal::conflict(&plan.base, &plan.document, &winner),
        Ok(None) | Err(_) => Refusal::Platform(error),
    }
}
