//! The shapes, paths and headers of the platform's object API, shared by the client and by stand-ins.
//!
//! An object has a kind and a name, and a version that each write raises by one. A lapsed lease keeps its version.

use std::fmt;
use std::str::FromStr;

use node::Listed;
use serde::Deserialize;
use serde::Serialize;
use units::Millis;
use units::Nonce;
use units::Revision;
use units::Time;

/// The longest value of an object, in bytes of JSON.
pub const MAX_VALUE_LEN: usize = 1_000_000;

/// The path under which objects lie: `/v1/objects/{kind}/{name}`.
pub const OBJECTS: &str = "/v1/objects";

/// The path of the list of live and leaving instances and upstreams.
pub const LIST: &str = "/v1/list";

/// The query parameter of the list: leave out instances of other availability zones than this one.
pub const ZONE: &str = "zone";

/// The query parameter of the list: `leaving` leaves out upstreams that are not.
pub const UPSTREAMS: &str = "upstreams";

/// The query parameter of a watch: answer once the version is higher than this.
pub const NEWER_THAN: &str = "newer_than";

/// The query parameter of a watch: answer 304 after this many milliseconds.
pub const WAIT_MS: &str = "wait_ms";

/// The query parameter that asks for one version of an object.
pub const VERSION: &str = "version";

/// The query parameter that asks for this many versions of an object, newest first.
pub const HISTORY: &str = "history";

/// The kinds of object that the system keeps at the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Configuration documents. The value is the text.
    Documents,
    /// Leases of entry instances. The value is a [`Listed`].
    Instances,
    /// Leases of upstreams. The value is a [`Listed`].
    Upstreams,
    /// A summary for each availability zone.
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

/// Names an object.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Its kind.
    pub kind: Kind,
    /// Its name within the kind.
    pub name: String,
}

impl Key {
    /// The one configuration document.
    pub fn document() -> Self {
        Self {
            kind: Kind::Documents,
            name: "current".to_owned(),
        }
    }

    /// The object's path.
    pub fn path(&self) -> String {
        format!("{OBJECTS}/{}/{}", self.kind, self.name)
    }
}

/// One version of an object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Its version, which only grows.
    pub version: Revision,
    /// The nonce of the write that made this version.
    pub nonce: Nonce,
    /// Who wrote it.
    pub writer: String,
    /// When the platform took it.
    pub written_at: Time,
    /// What was written.
    pub value: serde_json::Value,
}

/// The body of a write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// Names this write, below 2^53 so that every JSON reader keeps it exact.
    pub nonce: Nonce,
    /// Who writes.
    pub writer: String,
    /// What is written.
    pub value: serde_json::Value,
    /// How long the object counts as live, for a lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ttl_ms: Option<Millis>,
}

/// The answer to a write that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutResponse {
    /// The version that the write made.
    pub version: Revision,
}

/// The answer to a request for history.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryResponse {
    /// The versions kept, newest first.
    pub versions: Vec<Object>,
}

/// The list of live and leaving instances and upstreams. It lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListResponse {
    /// Who is on the list.
    pub entries: Vec<Listed>,
}

/// Under which condition a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Always.
    Any,
    /// If there is no such object yet: `If-None-Match: *`.
    Absent,
    /// If the object has this version: `If-Match`.
    Version(Revision),
}

impl Condition {
    /// The condition that the object still has this version, where zero means that there is none.
    pub fn expect_version(version: Revision) -> Self {
        if version == Revision(0) {
            return Self::Absent;
        }
        Self::Version(version)
    }
}

/// A version as it stands in `ETag` and `If-Match`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntityTag(pub Revision);

/// A header is not a version in double quotes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseEntityTagError;

impl fmt::Display for ParseEntityTagError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a version in double quotes")
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
