//! Leases, which keep an instance or upstream on the platform's list.

use node::Listed;
use units::Incarnation;
use units::Millis;
use units::Nonce;
use units::Revision;

use crate::Client;
use crate::Error;
use crate::api::Condition;
use crate::api::Key;
use crate::api::Kind;
use crate::api::Object;
use crate::api::PutRequest;

/// A lease on an entry of the platform's list. The entry is removed unless the lease is renewed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    entry: Listed,
    ttl: Millis,
    /// The version created by the last renewal, if that renewal was confirmed.
    held_version: Option<Revision>,
}

impl Lease {
    /// Creates a lease that has not been acquired yet. It expires `ttl` after each renewal.
    pub fn new(entry: Listed, ttl: Millis) -> Self {
        Self {
            entry,
            ttl,
            held_version: None,
        }
    }

    /// The entry that the next renewal writes.
    pub fn entry(&self) -> &Listed {
        &self.entry
    }

    /// Marks the entry as leaving. Takes effect with the next renewal.
    pub fn mark_leaving(&mut self) {
        match &mut self.entry {
            Listed::Entry { leaving, .. } | Listed::Upstream { leaving, .. } => *leaving = true,
        }
    }

    fn object_key(&self) -> Key {
        match &self.entry {
            Listed::Entry { name, .. } => Key {
                kind: Kind::Instances,
                name: name.to_string(),
            },
            Listed::Upstream { name, .. } => Key {
                kind: Kind::Upstreams,
                name: name.to_string(),
            },
        }
    }
}

impl Client {
    /// Acquires or renews a lease.
    ///
    /// Replaces an entry of an older incarnation. [`Error::Conflict`] means that a newer incarnation holds the name: this
    /// process was replaced while it was paused.
    pub async fn renew(&self, lease: &mut Lease) -> Result<(), Error> {
        let condition = lease.held_version.take().map_or(Condition::Absent, Condition::Version);
        let mut result = self.put_lease(lease, condition).await;
        if let Err(Error::Conflict { current: Some(current) }) = &result
            && holder_incarnation(current) <= Some(incarnation(&lease.entry))
        {
            result = self.put_lease(lease, Condition::Version(current.version)).await;
        }
        lease.held_version = Some(result?);
        Ok(())
    }

    async fn put_lease(&self, lease: &Lease, condition: Condition) -> Result<Revision, Error> {
        let key = lease.object_key();
        let put = PutRequest {
            nonce: Nonce(0),
            writer: key.name.clone(),
            value: serde_json::to_value(&lease.entry).map_err(|error| Error::Malformed(error.to_string()))?,
            ttl_ms: Some(lease.ttl),
        };
        self.put(&key, condition, &put).await
    }
}

/// Returns the incarnation that holds a lease, or `None` if the object cannot be parsed as a lease.
fn holder_incarnation(object: &Object) -> Option<Incarnation> {
    let entry: Listed = serde_json::from_value(object.value.clone()).ok()?;
    Some(incarnation(&entry))
}

fn incarnation(entry: &Listed) -> Incarnation {
    match entry {
        Listed::Entry { incarnation, .. } | Listed::Upstream { incarnation, .. } => *incarnation,
    }
}
