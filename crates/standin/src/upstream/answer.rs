//! What identifies a request at an upstream, and the answer that it gets.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use units::Bytes;
use units::FlowId;
use units::Incarnation;
use units::KindName;
use units::RequestSeq;
use units::ServiceName;

/// Names a request, the same for each attempt to run it: `{owner incarnation}-{flow}-{number}`.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestKey {
    /// The incarnation that issued the flow's first token.
    pub owner: Incarnation,
    /// The flow.
    pub flow: FlowId,
    /// The request's number.
    pub seq: RequestSeq,
}

/// A text does not name a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseRequestKeyError;

impl fmt::Display for ParseRequestKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a request is named by three numbers joined by hyphens")
    }
}

impl std::error::Error for ParseRequestKeyError {}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.owner, self.flow, self.seq)
    }
}

impl FromStr for RequestKey {
    type Err = ParseRequestKeyError;

    fn from_str(text: &str) -> Result<Self, ParseRequestKeyError> {
        let mut parts = text.split('-').map(|part| part.parse().ok());
        let mut next = || parts.next().flatten().ok_or(ParseRequestKeyError);
        let key = Self {
            owner: Incarnation(next()?),
            flow: FlowId(next()?),
            seq: RequestSeq(next()?),
        };
        if parts.next().is_some() {
            return Err(ParseRequestKeyError);
        }
        Ok(key)
    }
}

impl TryFrom<String> for RequestKey {
    type Error = ParseRequestKeyError;

    fn try_from(text: String) -> Result<Self, ParseRequestKeyError> {
        text.parse()
    }
}

impl From<RequestKey> for String {
    fn from(key: RequestKey) -> Self {
        key.to_string()
    }
}

/// The answer of every stand-in to a request with this body.
///
/// It follows from what the caller sent, not from the request's key, which a caller does not know. A caller whose
/// bodies differ can thus tell its own answer from any other.
pub fn expected_answer(service: &ServiceName, kind: &KindName, body: &[u8], len: Bytes) -> Vec<u8> {
    let mut hasher = blake3::Hasher::new();
    for part in [service.as_str().as_bytes(), b"/", kind.as_str().as_bytes(), b"/", body] {
        hasher.update(part);
    }
    let mut answer = vec![0; len.0 as usize];
    hasher.finalize_xof().fill(&mut answer);
    answer
}
