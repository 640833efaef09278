//! The configuration document at the platform.

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
use crate::api::History;
use crate::api::Key;
use crate::api::Object;
use crate::api::Put;
use crate::client::MAX_ANSWER_LEN;
use crate::client::Read;

/// How long to wait before a watch that ended early is begun again.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// A revision of the document, as the platform holds it. Its text is not checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Its revision.
    pub revision: Revision,
    /// Its text.
    pub text: String,
    /// The nonce of the write that made it.
    pub nonce: Nonce,
    /// Who wrote it.
    pub writer: String,
    /// When the platform took it.
    pub written_at: Time,
    /// Whether this client has seen a higher revision before, so that the answer came from a lagging replica.
    pub stale: bool,
}

/// A new text for the document, made from a revision that was reviewed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Write {
    /// The revision that it replaces, zero if there is no document yet.
    pub base: Revision,
    /// The new text.
    pub text: String,
    /// Who writes.
    pub writer: String,
    /// Names this write. The same write may be sent again; another one needs another nonce below 2^53.
    pub nonce: Nonce,
}

impl Write {
    /// The revision that this write makes if it takes effect.
    pub fn revision(&self) -> Revision {
        self.base.next()
    }
}

/// What became of a write that was in doubt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settled {
    /// It took effect and made this revision.
    TookEffect(Revision),
    /// Another write made that revision. This one has not taken effect and never will.
    Lost(Document),
    /// Neither has happened yet, as far as the replica that answered knows: the write may still take effect. Sending
    /// the same write again decides it.
    Open,
}

impl Client {
    /// Reads the document. `None` if there is none.
    pub async fn document(&self) -> Result<Option<Document>, Error> {
        let object = self.get(&Key::document().path(), Duration::ZERO).await?;
        self.document_from(object)
    }

    /// Waits until there is a revision above `newer_than`. `None` if none came within `wait`.
    pub async fn watch(&self, newer_than: Revision, wait: Duration) -> Result<Option<Document>, Error> {
        let path = Key::document().path();
        let end = Instant::now() + wait;
        loop {
            let rest = end.saturating_duration_since(Instant::now());
            let millis = rest.as_millis();
            let path = format!("{path}?{}={newer_than}&{}={millis}", api::NEWER_THAN, api::WAIT_MS);
            let object: Option<Object> = self.get(&path, rest).await?;
            let news = object.filter(|object| object.version > newer_than);
            let rest = end.saturating_duration_since(Instant::now());
            if news.is_some() || rest.is_zero() {
                return self.document_from(news);
            }
            // The platform ended the watch early, and may do so again at once.
            tokio::time::sleep(rest.min(WATCH_PAUSE)).await;
        }
    }

    /// Writes the document if it still has the revision that the write was made from.
    ///
    /// The same write may be sent again. If an earlier copy took effect, this succeeds with the revision that the copy
    /// made, even if other revisions have followed.
    pub async fn write(&self, write: &Write) -> Result<Revision, Error> {
        let put = Put {
            nonce: write.nonce,
            writer: write.writer.clone(),
            value: Value::String(write.text.clone()),
            ttl_ms: None,
        };
        let condition = Condition::still(write.base);
        let result = self.put(&Key::document(), condition, &put).await;
        let Err(Error::Conflict { .. }) = &result else {
            return result;
        };
        // The revision that this write would have made exists. It may be an earlier copy of this write that made it.
        match self.settle(write).await {
            Ok(Settled::TookEffect(revision)) => Ok(revision),
            Ok(Settled::Lost(_)) => result,
            Ok(Settled::Open) => Err(Error::InDoubt(format!("revision {} cannot be read", write.revision()))),
            Err(error) => Err(Error::InDoubt(error.to_string())),
        }
    }

    /// Finds out what became of a write that was in doubt, by reading back the revision that it would have made.
    ///
    /// A revision is made once, so whose nonce it bears decides for good, whichever replica answers.
    pub async fn settle(&self, write: &Write) -> Result<Settled, Error> {
        let Some(made) = self.revision(write.revision()).await? else {
            return Ok(Settled::Open);
        };
        if made.nonce == write.nonce {
            return Ok(Settled::TookEffect(made.revision));
        }
        Ok(Settled::Lost(made))
    }

    /// Reads one revision of the document. `None` if the replica that answers does not hold it.
    pub async fn revision(&self, revision: Revision) -> Result<Option<Document>, Error> {
        let path = Key::document().path();
        let path = format!("{path}?{}={revision}", api::VERSION);
        let object: Option<Object> = self.get(&path, Duration::ZERO).await?;
        object.map(|object| document(object, false)).transpose()
    }

    /// Reads the newest `limit` revisions, newest first.
    pub async fn history(&self, limit: u32) -> Result<Vec<Document>, Error> {
        let path = Key::document().path();
        let path = format!("{path}?{}={limit}", api::HISTORY);
        let read = Read {
            max_len: MAX_ANSWER_LEN.saturating_mul(limit as usize),
            ..Read::new(&path)
        };
        let history = self.read::<History>(read).await?;
        let versions = history.map(|history| history.value.versions).unwrap_or_default();
        versions.into_iter().map(|object| document(object, false)).collect()
    }

    fn document_from(&self, object: Option<Object>) -> Result<Option<Document>, Error> {
        let Some(object) = object else {
            return Ok(None);
        };
        let stale = self.note_revision(object.version);
        document(object, stale).map(Some)
    }
}

fn document(object: Object, stale: bool) -> Result<Document, Error> {
    let Value::String(text) = object.value else {
        return Err(Error::Malformed("the document is not a text".to_owned()));
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
