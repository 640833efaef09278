//! The request and response by which instances fetch knowledge from one another: the document and the upstreams that
//! changed, in CBOR.

use std::fmt;
use std::sync::Arc;

use flow::Change;
use flow::Knowledge;
use flow::Positions;
use serde::Deserialize;
use units::Epoch;
use units::Position;
use units::Revision;

use super::compression;

/// Path of the endpoint for other instances, with GET.
pub(crate) const PATH: &str = "/v1/changes";

/// Maximum length of a change accepted from another instance, in bytes.
pub(crate) const MAX_CHANGE_LEN: usize = 8 * 1_024 * 1_024;

/// Value of the `Content-Encoding` header of a compressed response. Uncompressed responses have no such header.
pub(crate) const DEFLATE: &str = "deflate";
/// Minimum length of a change to compress, in bytes, if the requester supports compression. A list of thousands of
/// upstreams shrinks to a third or less, while a single change is not worth the time.
const MIN_COMPRESSED_LEN: usize = 16 * 1_024;

/// An encoded change.
#[derive(Debug, Clone)]
pub(crate) struct EncodedChange {
    pub(crate) bytes: Arc<[u8]>,
    pub(crate) is_compressed: bool,
}

impl EncodedChange {
    /// Encodes a change, compressed if the requester supports it and it is long enough.
    pub(crate) fn new(change: &Change, reads_compressed: bool) -> Self {
        let bytes = encode(change);
        if !reads_compressed || bytes.len() < MIN_COMPRESSED_LEN {
            return Self {
                bytes: bytes.into(),
                is_compressed: false,
            };
        }
        Self {
            bytes: compression::compress(&bytes).into(),
            is_compressed: true,
        }
    }
}

/// Encodes a change with a digest in front, so that a corrupted one is rejected.
pub(crate) fn encode(change: &Change) -> Vec<u8> {
    let mut bytes = vec![0; blake3::OUT_LEN];
    ciborium::into_writer(change, &mut bytes)
        .expect("writing to a vector cannot fail, and a change is serializable as CBOR");
    let digest = blake3::hash(&bytes[blake3::OUT_LEN..]);
    bytes[..blake3::OUT_LEN].copy_from_slice(digest.as_bytes());
    bytes
}

/// Decodes a change. `None` if it is corrupted or malformed.
pub(crate) fn decode(bytes: &[u8]) -> Option<Change> {
    let (digest, item) = bytes.split_first_chunk::<{ blake3::OUT_LEN }>()?;
    if blake3::hash(item) != *digest {
        return None;
    }
    ciborium::from_reader(item).ok()
}

/// What the requester holds, as URL query parameters: revisions and, from newer releases, their epochs.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Deserialize)]
pub(crate) struct Query {
    document_at: Revision,
    upstreams_at: Revision,
    #[serde(default)]
    evacuations_at: Revision,
    document: Option<Revision>,
    document_epoch: Option<Epoch>,
    upstreams_epoch: Option<Epoch>,
    evacuations_epoch: Option<Epoch>,
    /// Whether the requester supports compressed responses. Earlier releases don't send this field.
    #[serde(default)]
    pub(crate) reads_compressed: bool,
}

/// The change to send to a requester. One of an earlier release sends no epochs and gets none back.
pub(crate) fn changes_for(knowledge: &Knowledge, query: Query) -> Change {
    let held = Positions::from(query);
    if query.document_epoch.is_some() {
        return knowledge.since(&held);
    }
    let held = held.in_epochs(&knowledge.positions());
    knowledge.since(&held).without_epochs()
}

impl From<Positions> for Query {
    fn from(held: Positions) -> Self {
        Self {
            document_at: held.document_at.revision,
            upstreams_at: held.upstreams_at.revision,
            evacuations_at: held.evacuations_at.revision,
            document: held.document,
            document_epoch: Some(held.document_at.epoch),
            upstreams_epoch: Some(held.upstreams_at.epoch),
            evacuations_epoch: Some(held.evacuations_at.epoch),
            reads_compressed: true,
        }
    }
}

impl From<Query> for Positions {
    fn from(query: Query) -> Self {
        Self {
            document: query.document,
            document_at: Position::new(query.document_epoch.unwrap_or_default(), query.document_at),
            upstreams_at: Position::new(query.upstreams_epoch.unwrap_or_default(), query.upstreams_at),
            evacuations_at: Position::new(query.evacuations_epoch.unwrap_or_default(), query.evacuations_at),
        }
    }
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            document_at,
            upstreams_at,
            evacuations_at,
            document,
            document_epoch,
            upstreams_epoch,
            evacuations_epoch,
            reads_compressed,
        } = self;
        write!(
            f,
            "document_at={document_at}&upstreams_at={upstreams_at}&evacuations_at={evacuations_at}"
        )?;
        let epochs = [
            ("document_epoch", document_epoch),
            ("upstreams_epoch", upstreams_epoch),
            ("evacuations_epoch", evacuations_epoch),
        ];
        for (name, epoch) in epochs {
            if let Some(epoch) = epoch {
                write!(f, "&{name}={epoch}")?;
            }
        }
        if let Some(document) = document {
            write!(f, "&document={document}")?;
        }
        if *reads_compressed {
            f.write_str("&reads_compressed=true")?;
        }
        Ok(())
    }
}
