//! Status summaries, one for each availability zone.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use units::Nonce;
use units::Revision;
use units::Time;
use units::ZoneName;

use crate::Client;
use crate::Error;
use crate::api::Condition;
use crate::api::Key;
use crate::api::Kind;
use crate::api::Object;
use crate::api::PutRequest;

/// The latest status summary of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status<T> {
    /// The version of the summary.
    pub version: Revision,
    /// The writer of this version.
    pub writer: String,
    /// When the platform accepted the write.
    pub written_at: Time,
    /// The summary itself.
    pub value: T,
}

impl Client {
    /// Reads the summary of a zone. Returns `None` if there is none.
    pub async fn status<T: DeserializeOwned>(&self, zone: &ZoneName) -> Result<Option<Status<T>>, Error> {
        let object: Option<Object> = self.get(&status_key(zone).path(), Duration::ZERO).await?;
        let Some(object) = object else {
            return Ok(None);
        };
        let value = serde_json::from_value(object.value).map_err(|error| Error::Malformed(error.to_string()))?;
        Ok(Some(Status {
            version: object.version,
            writer: object.writer,
            written_at: object.written_at,
            value,
        }))
    }

    /// Writes the summary of a zone if its version is still `base`, where zero means that there is no summary yet. If
    /// another writer came first, that write is kept and this one fails.
    pub async fn write_status<T: Serialize>(
        &self,
        zone: &ZoneName,
        writer: &str,
        value: &T,
        base: Revision,
    ) -> Result<Revision, Error> {
        let put = PutRequest {
            nonce: Nonce(0),
            writer: writer.to_owned(),
            value: serde_json::to_value(value).map_err(|error| Error::Malformed(error.to_string()))?,
            ttl_ms: None,
        };
        self.put(&status_key(zone), Condition::expect_version(base), &put).await
    }
}

fn status_key(zone: &ZoneName) -> Key {
    Key {
        kind: Kind::Status,
        name: zone.to_string(),
    }
}
