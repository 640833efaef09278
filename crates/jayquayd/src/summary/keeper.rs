//! When a summary is written, and over which version.

use std::time::Duration;

use node::Status;
use platform::Client;
use platform::Error;
use units::Revision;
use units::Time;

use super::content::Summary;
use crate::clock::Clock;
use crate::input::InputSender;
use crate::metric;

/// The shortest time from one write to the next: with ten zones, at most one write a second.
pub const WRITE_EVERY: Duration = Duration::from_secs(10);
/// How often an instance looks whether there is something to write.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// What stands at the platform, as far as this instance knows.
#[derive(Debug, Clone, PartialEq, Eq)]
struct StoredSummary {
    version: Revision,
    summary: Option<Summary>,
}

/// Keeps one zone's summary.
#[derive(Debug)]
pub struct SummaryWriter {
    client: Client,
    stored: Option<StoredSummary>,
    /// When the platform was called last, whatever came of it.
    last_call: Option<Time>,
}

impl SummaryWriter {
    /// A keeper that knows nothing of what stands at the platform.
    pub fn new(client: Client) -> Self {
        Self {
            client,
            stored: None,
            last_call: None,
        }
    }

    /// Writes the summary, if this instance has to, if it has changed, and if the last write is long enough ago.
    pub async fn write_if_due(&mut self, now: Time, status: &Status) {
        let Some(summary) = Summary::of(status) else {
            // Whoever writes from now on makes what is known here old.
            self.stored = None;
            return;
        };
        if self
            .last_call
            .is_some_and(|last_call| now.since(last_call) < WRITE_EVERY)
            || self.is_stored(&summary)
        {
            return;
        }
        self.last_call = Some(now);
        let result = self.write(status, summary).await;
        metric::platform_calls(if result.is_ok() { "ok" } else { "failed" }).increment(1);
        if result.is_err() {
            // It may have taken effect, or somebody else has written: what stands there is read before the next write.
            self.stored = None;
        }
    }

    fn is_stored(&self, summary: &Summary) -> bool {
        let stored = self.stored.as_ref().and_then(|stored| stored.summary.as_ref());
        stored == Some(summary)
    }

    async fn write(&mut self, status: &Status, summary: Summary) -> Result<(), Error> {
        let base = match &self.stored {
            Some(stored) => stored.version,
            None => self.read(status).await?,
        };
        if self.is_stored(&summary) {
            return Ok(());
        }
        let writer = status.name.as_str();
        let version = self.client.write_status(&status.zone, writer, &summary, base).await?;
        self.stored = Some(StoredSummary {
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
        self.stored = Some(StoredSummary {
            version: found.version,
            summary: serde_json::from_value(found.value).ok(),
        });
        Ok(found.version)
    }
}

/// Keeps the summary, until the engine is gone.
pub async fn run(client: Client, clock: Clock, input_sender: InputSender) {
    let mut summary_writer = SummaryWriter::new(client);
    loop {
        tokio::time::sleep(CHECK_INTERVAL.mul_f64(rand::random_range(0.75..1.25))).await;
        let Some(status) = input_sender.status().await else {
            return;
        };
        summary_writer.write_if_due(clock.now(), &status).await;
    }
}
