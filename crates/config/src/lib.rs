//! The configuration document: raw text to checked types.
//!
//! This crate does no I/O and reads no clock. Whoever holds a [`Document`] holds one that passed every check.

mod document;

pub use document::Affinity;
pub use document::Change;
pub use document::Document;
pub use document::Kind;
pub use document::Service;
pub use document::Sharing;
pub use document::Upstream;
pub use document::UpstreamState;
pub use document::Zone;
