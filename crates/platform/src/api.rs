//! Data types, paths and headers of the platform's object API, shared by the client and by stand-ins.
//!
//! An object has a kind, a name, and a version that each write increments by one. An expired lease keeps its version.

use std::fmt;
use std::str::FromStr;

use node::Listed;
use serde::Deserialize;
use serde::Serialize;
use units::Millis;
use units::Nonce;
use units::Revision;
use units::Time;

/// Maximum length of an object's value, in bytes of JSON.
pub const MAX_VALUE_LEN: usize = 1_000_000;

/// Path prefix of objects: `/v1/objects/{kind}/{name}`.
pub const OBJECTS: &str = "/v1/objects";

/// Path of the list of live and leaving instances and upstreams.
pub const LIST: &str = "/v1/list";

/// Query parameter of the list: omit instances of other availability zones than this one.
pub const ZONE: &str = "zone";

/// Query parameter of the list: the value `leaving` omits upstreams that are not leaving.
pub const UPSTREAMS: &str = "upstreams";

/// Query parameter of a watch: respond once the version is higher than this.
pub const NEWER_THAN: &str = "newer_than";

/// Query parameter of a watch: respond with status 304 after this many milliseconds.
pub const WAIT_MS: &str = "wait_ms";

/// Query parameter that selects one version of an object.
pub const VERSION: &str = "version";

/// Query parameter that requests up to this many versions of an object, newest first.
pub const HISTORY: &str = "history";

/// The kinds of object that are stored on the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Configuration documents. The value is the document text.
    Documents,
    /// Leases of entry instances. The value is a [`Listed`].
    Instances,
    /// Leases of upstreams. The value is a [`Listed`].
    Upstreams,
    /// Status summaries, one for each availability zone.
    Status,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Documents => "documents",
            Self::Instances => "instances",
            Self::Upstreams => "upstreams",
            Self::Status => "status",
        };
        f.write_str(text)
    }
}

/// Identifies an object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The kind of the object.
    pub kind: Kind,
    /// The name of the object, unique within its kind.
    pub name: String,
}

impl Key {
    /// The key of the configuration document, of which there is only one.
    pub fn document() -> Self {
        Self {
            kind: Kind::Documents,
            name: "current".to_owned(),
        }
    }

    /// The URL path of the object.
    pub fn path(&self) -> String {
        format!("{OBJECTS}/{}/{}", self.kind, self.name)
    }
}

/// One version of an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The version of the object, which only increases.
    pub version: Revision,
    /// The nonce of the write that created this version.
    pub nonce: Nonce,
    /// The writer of this version.
    pub writer: String,
    /// When the platform accepted the write.
    pub written_at: Time,
    /// The written value.
    pub value: serde_json::Value,
}

/// The body of a write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// Identifies this write. Below 2^53, so that every JSON parser preserves it exactly.
    pub nonce: Nonce,
    /// The writer of the object.
    pub writer: String,
    /// The value to write.
    pub value: serde_json::Value,
    /// Time to live of the object, if it is a lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ttl_ms: Option<Millis>,
}

/// The response to a write that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutResponse {
    /// The version that the write created.
    pub version: Revision,
}

/// The response to a request for the history of an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryResponse {
    /// The versions that the platform retains, newest first.
    pub versions: Vec<Object>,
}

/// The list of live and leaving instances and upstreams. It may lag behind the leases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListResponse {
    /// The listed instances and upstreams.
    pub entries: Vec<Listed>,
}

/// The precondition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The write is unconditional.
    Any,
    /// The object must not exist yet: `If-None-Match: *`.
    Absent,
    /// The object must have this version: `If-Match`.
    Version(Revision),
}

impl Condition {
    /// The condition that the object still has this version, where zero means that it does not exist.
    pub fn expect_version(version: Revision) -> Self {
        if version == Revision(0) {
            return Self::Absent;
        }
        Self::Version(version)
    }
}

/// A version in the form used by the `ETag` and `If-Match` headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntityTag(pub Revision);

/// Error for a header that is not a version in double quotes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseEntityTagError;

impl fmt::Display for ParseEntityTagError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("entity tag is not a version in double quotes")
    }
}

impl std::error::Error for ParseEntityTagError {}

impl fmt::Display for EntityTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "\"{}\"", self.0)
    }
}

impl FromStr for EntityTag {
    type Err = ParseEntityTagError;

    fn from_str(text: &str) -> Result<Self, ParseEntityTagError> {
        let inner = text.strip_prefix('"').and_then(|rest| rest.strip_suffix('"'));
        let digits = inner.ok_or(ParseEntityTagError)?;
        digits.parse().map(Self).map_err(|_error| ParseEntityTagError)
    }
}
