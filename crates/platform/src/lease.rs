//! Leases: an instance's own entry on the platform's list.

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

/// An entry on the platform's list that has to be renewed to stay there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    entry: Listed,
    ttl: Millis,
    /// The version of the last renewal, if its answer came.
    held_version: Option<Revision>,
}

impl Lease {
    /// A lease that has not been taken yet. It lapses `ttl` after each renewal.
    pub fn new(entry: Listed, ttl: Millis) -> Self {
        Self {
            entry,
            ttl,
            held_version: None,
        }
    }

    /// The entry as the next renewal writes it.
    pub fn entry(&self) -> &Listed {
        &self.entry
    }

    /// Marks the entry as leaving, from the next renewal on.
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
    /// Takes or renews a lease.
    ///
    /// An entry of an older incarnation is replaced. [`Error::Conflict`] means that a newer incarnation holds the
    /// name, so that this process was replaced while it was paused.
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

/// The incarnation that holds a lease, if the object can be read as one.
fn holder_incarnation(object: &Object) -> Option<Incarnation> {
    let entry: Listed = serde_json::from_value(object.value.clone()).ok()?;
    Some(incarnation(&entry))
}

fn incarnation(entry: &Listed) -> Incarnation {
    match entry {
        Listed::Entry { incarnation, .. } | Listed::Upstream { incarnation, .. } => *incarnation,
    }
}
