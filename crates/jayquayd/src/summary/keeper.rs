//! Writes the summary of a zone: at what times, and over which version.

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

/// Minimum interval between writes. With ten zones, this is at most one write per second.
pub const WRITE_EVERY: Duration = Duration::from_secs(10);
/// Mean interval between checks for a changed summary.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// The summary stored at the platform, as far as this instance knows.
#[derive(Debug, Clone, PartialEq, Eq)]
struct StoredSummary {
    version: Revision,
    summary: Option<Summary>,
}

/// Writes the summary of one zone.
#[derive(Debug)]
pub struct SummaryWriter {
    client: Client,
    stored: Option<StoredSummary>,
    /// Time of the last call to the platform, whether or not it succeeded.
    last_call: Option<Time>,
}

impl SummaryWriter {
    /// Creates a writer that does not know what is stored at the platform.
    pub fn new(client: Client) -> Self {
        Self {
            client,
            stored: None,
            last_call: None,
        }
    }

    /// Writes the summary if this instance is the writer, the summary has changed, and the last call is long enough
    /// ago.
    pub async fn write_if_due(&mut self, now: Time, status: &Status) {
        let Some(summary) = Summary::of(status) else {
            // Another instance may write from now on, which makes the known version obsolete.
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
            // The write may have taken effect, or another instance may have written, so the stored version is read
            // before the next write.
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

    /// Reads the stored version. A summary that cannot be decoded, as from an earlier release, counts as absent.
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

/// Keeps the summary up to date until the engine ends.
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
