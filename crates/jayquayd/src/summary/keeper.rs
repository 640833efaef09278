//! When a summary is written, and over which version.

use std::time::Duration;

use node::Status;
use platform::Client;
use platform::Error;
use units::Revision;
use units::Time;

use super::content::Summary;
use crate::clock::Clock;
use crate::intake::Intake;
use crate::metric;

/// The shortest time from one write to the next: with ten zones, at most one write a second.
pub const WRITE_EVERY: Duration = Duration::from_secs(10);
/// How often an instance looks whether there is something to write.
const LOOK_EVERY: Duration = Duration::from_secs(3);

/// What stands at the platform, as far as this instance knows.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Held {
    version: Revision,
    summary: Option<Summary>,
}

/// Keeps one zone's summary.
#[derive(Debug)]
pub struct Keeper {
    client: Client,
    held: Option<Held>,
    /// When the platform was called last, whatever came of it.
    called: Option<Time>,
}

impl Keeper {
    /// A keeper that knows nothing of what stands at the platform.
    pub fn new(client: Client) -> Self {
        Self {
            client,
            held: None,
            called: None,
        }
    }

    /// Writes the summary, if this instance has to, if it has changed, and if the last write is long enough ago.
    pub async fn look(&mut self, now: Time, status: &Status) {
        let Some(summary) = Summary::of(status) else {
            // Whoever writes from now on makes what is known here old.
            self.held = None;
            return;
        };
        if self.called.is_some_and(|called| now.since(called) < WRITE_EVERY) || self.is_held(&summary) {
            return;
        }
        self.called = Some(now);
        let result = self.bring(status, summary).await;
        metric::platform_calls(if result.is_ok() { "ok" } else { "failed" }).increment(1);
        if result.is_err() {
            // It may have taken effect, or somebody else has written: what stands there is read before the next write.
            self.held = None;
        }
    }

    fn is_held(&self, summary: &Summary) -> bool {
        let held = self.held.as_ref().and_then(|held| held.summary.as_ref());
        held == Some(summary)
    }

    async fn bring(&mut self, status: &Status, summary: Summary) -> Result<(), Error> {
        let base = match &self.held {
            Some(held) => held.version,
            None => self.read(status).await?,
        };
        if self.is_held(&summary) {
            return Ok(());
        }
        let writer = status.name.as_str();
        let version = self.client.write_status(&status.zone, writer, &summary, base).await?;
        self.held = Some(Held {
            version,
            summary: Some(summary),
        });
        Ok(())
    }

    /// Reads what stands there. What an earlier version of the program wrote need not be readable.
    async fn read(&mut self, status: &Status) -> Result<Revision, Error> {
        let found = self.client.status::<serde_json::Value>(&status.zone).await?;
        let Some(found) = found else {
            return Ok(Revision::default());
        };
        self.held = Some(Held {
            version: found.version,
            summary: serde_json::from_value(found.value).ok(),
        });
        Ok(found.version)
    }
}

/// Keeps the summary, until the engine is gone.
pub async fn keep(client: Client, clock: Clock, intake: Intake) {
    let mut keeper = Keeper::new(client);
    loop {
        tokio::time::sleep(LOOK_EVERY.mul_f64(rand::random_range(0.75..1.25))).await;
        let Some(status) = intake.status().await else {
            return;
        };
        keeper.look(clock.now(), &status).await;
    }
}
