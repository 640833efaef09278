//! The write itself, and finding out what became of it when its answer was lost.

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

/// How long to go on reading back a write in doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    /// How often it is tried.
    pub tries: u32,
    /// How long to wait before the second try. Each further wait is twice as long.
    pub first_wait: Duration,
}

impl Default for Patience {
    /// Some six seconds, on top of the platform's own timeouts.
    fn default() -> Self {
        Self {
            tries: 6,
            first_wait: Duration::from_millis(200),
        }
    }
}

/// Nonces lie below this, so that every JSON reader keeps them exact.
const NONCE_END: u64 = 1 << 53;

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
pub async fn apply(client: &Client, plan: &Plan, patience: Patience) -> Result<Applied, Refusal> {
    let revision = plan.document.revision;
    if plan.made.is_some() {
        let read_back = true;
        return Ok(Applied { revision, read_back });
    }
    let write = DocumentWrite {
        base: plan.from,
        text: plan.document.text.clone(),
        writer: plan.document.change.author.clone(),
        nonce: Nonce(rand::random_range(1..NONCE_END)),
    };
    match client.write(&write).await {
        Ok(revision) => Ok(Applied {
            revision,
            read_back: false,
        }),
        Err(cause @ Error::InDoubt(_)) => settle(client, plan, &write, patience, cause).await,
        Err(error @ Error::Conflict { .. }) => Err(lost(client, plan, error).await),
        Err(error) => Err(Refusal::Platform(error)),
    }
}

/// Reads back what became of a write, and sends it again while neither it nor another one has made the revision.
async fn settle(
    client: &Client,
    plan: &Plan,
    write: &DocumentWrite,
    patience: Patience,
    first: Error,
) -> Result<Applied, Refusal> {
    let revision = write.revision();
    let mut cause = first;
    let mut wait = patience.first_wait;
    for attempt in 0..patience.tries {
        if attempt > 0 {
            tokio::time::sleep(wait).await;
            wait *= 2;
        }
        log::info!("apply: reading back revision {revision}, {cause}");
        match client.resolve_write(write).await {
            Ok(WriteOutcome::Applied(revision)) => {
                let read_back = true;
                return Ok(Applied { revision, read_back });
            }
            Ok(WriteOutcome::Conflict(winner)) => return Err(refusal::raced(&plan.base, &plan.document, &winner)),
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

/// Tells who won, as far as the platform tells.
async fn lost(client: &Client, plan: &Plan, error: Error) -> Refusal {
    match client.revision(plan.document.revision).await {
        Ok(Some(winner)) => refusal::raced(&plan.base, &plan.document, &winner),
        Ok(None) | Err(_) => Refusal::Platform(error),
    }
}
