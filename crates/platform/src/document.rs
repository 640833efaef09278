//! Reading, watching and writing the configuration document on the platform.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use units::Nonce;
use units::Revision;
use units::Time;

use crate::Client;
use crate::Error;
use crate::api;
use crate::api::Condition;
use crate::api::HistoryResponse;
use crate::api::Key;
use crate::api::Object;
use crate::api::PutRequest;
use crate::client::MAX_RESPONSE_LEN;
use crate::client::ReadRequest;

/// Delay before restarting a watch that the platform ended early.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// A revision of the configuration document as stored on the platform. The text has not been validated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// The revision of the document.
    pub revision: Revision,
    /// The text of the document.
    pub text: String,
    /// The nonce of the write that created this revision.
    pub nonce: Nonce,
    /// The writer of this revision.
    pub writer: String,
    /// When the platform accepted the write.
    pub written_at: Time,
    /// Whether this client has seen a higher revision before, which means that a lagging replica responded.
    pub stale: bool,
}

/// A write of the document, based on a revision that was reviewed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentWrite {
    /// The revision to replace, or zero if there is no document yet.
    pub base: Revision,
    /// The new text.
    pub text: String,
    /// The writer of the new revision.
    pub writer: String,
    /// Identifies this write. Resending the same write keeps the nonce; a different write needs a different one. Must be
    /// below 2^53.
    pub nonce: Nonce,
}

impl DocumentWrite {
    /// The revision that this write creates if it takes effect.
    pub fn revision(&self) -> Revision {
        self.base.next()
    }
}

/// The outcome of a write that was in doubt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and created this revision.
    Applied(Revision),
    /// Another write created the revision. This write has not taken effect and never will.
    Conflict(Document),
    /// The replica that responded does not have the revision yet, so the write may still take effect. Sending the same
    /// write again decides the outcome.
    Undecided,
}

impl Client {
    /// Reads the document. Returns `None` if there is none.
    pub async fn document(&self) -> Result<Option<Document>, Error> {
        let object = self.get(&Key::document().path(), Duration::ZERO).await?;
        self.parse_current(object)
    }

    /// Waits for a revision higher than `newer_than`. Returns `None` if there is none within `wait`.
    pub async fn watch(&self, newer_than: Revision, wait: Duration) -> Result<Option<Document>, Error> {
        let path = Key::document().path();
        let end = Instant::now() + wait;
        loop {
            let remaining = end.saturating_duration_since(Instant::now());
            let millis = remaining.as_millis();
            let path = format!("{path}?{}={newer_than}&{}={millis}", api::NEWER_THAN, api::WAIT_MS);
            let object: Option<Object> = self.get(&path, remaining).await?;
            let newer = object.filter(|object| object.version > newer_than);
            let remaining = end.saturating_duration_since(Instant::now());
            if newer.is_some() || remaining.is_zero() {
                return self.parse_current(newer);
            }
            // The platform ended the watch early and may do so again immediately, so delay the next attempt.
            tokio::time::sleep(remaining.min(WATCH_PAUSE)).await;
        }
    }

    /// Writes the document if it is still at the base revision of the write.
    ///
    /// The same write may be sent again. If an earlier copy took effect, this returns the revision that the copy created,
    /// even if later revisions exist.
    pub async fn write(&self, write: &DocumentWrite) -> Result<Revision, Error> {
        let put = PutRequest {
            nonce: write.nonce,
            writer: write.writer.clone(),
            value: Value::String(write.text.clone()),
            ttl_ms: None,
        };
        let condition = Condition::expect_version(write.base);
        let result = self.put(&Key::document(), condition, &put).await;
        let Err(Error::Conflict { .. }) = &result else {
            return result;
        };
        // The revision that this write would create already exists. An earlier copy of this write may have created it.
        match self.resolve_write(write).await {
            Ok(WriteOutcome::Applied(revision)) => Ok(revision),
            Ok(WriteOutcome::Conflict(_)) => result,
            Ok(WriteOutcome::Undecided) => Err(Error::InDoubt(format!("revision {} cannot be read", write.revision()))),
            Err(error) => Err(Error::InDoubt(error.to_string())),
        }
    }

    /// Determines the outcome of a write that was in doubt by reading back the revision that it would have created.
    ///
    /// A revision is created only once, so its nonce identifies the successful write whichever replica responds.
    pub async fn resolve_write(&self, write: &DocumentWrite) -> Result<WriteOutcome, Error> {
        let Some(made) = self.revision(write.revision()).await? else {
            return Ok(WriteOutcome::Undecided);
        };
        if made.nonce == write.nonce {
            return Ok(WriteOutcome::Applied(made.revision));
        }
        Ok(WriteOutcome::Conflict(made))
    }

    /// Reads one revision of the document. Returns `None` if the replica that responds does not have it.
    pub async fn revision(&self, revision: Revision) -> Result<Option<Document>, Error> {
        let path = Key::document().path();
        let path = format!("{path}?{}={revision}", api::VERSION);
        let object: Option<Object> = self.get(&path, Duration::ZERO).await?;
        object.map(|object| parse_document(object, false)).transpose()
    }

    /// Reads up to `limit` of the latest revisions, newest first.
    pub async fn history(&self, limit: u32) -> Result<Vec<Document>, Error> {
        let path = Key::document().path();
        let path = format!("{path}?{}={limit}", api::HISTORY);
        let read = ReadRequest {
            max_len: MAX_RESPONSE_LEN.saturating_mul(limit as usize),
            ..ReadRequest::new(&path)
        };
        let history = self.read::<HistoryResponse>(read).await?;
        let versions = history.map(|history| history.value.versions).unwrap_or_default();
        versions
            .into_iter()
            .map(|object| parse_document(object, false))
            .collect()
    }

    fn parse_current(&self, object: Option<Object>) -> Result<Option<Document>, Error> {
        let Some(object) = object else {
            return Ok(None);
        };
        let stale = self.record_revision(object.version);
        parse_document(object, stale).map(Some)
    }
}

fn parse_document(object: Object, stale: bool) -> Result<Document, Error> {
    let Value::String(text) = object.value else {
        return Err(Error::Malformed("the document is not a JSON string".to_owned()));
    };
    Ok(Document {
        revision: object.version,
        text,
        nonce: object.nonce,
        writer: object.writer,
        written_at: object.written_at,
        stale,
    })
}
