//! Parses and validates the configuration document and the settings of a process.
//!
//! This crate does no I/O and reads no clock. A parsed [`Document`] or [`Settings`] has passed every check. The two are
//! validated independently: whether a zone in the settings exists in the document is checked by the code that has both.

mod cursor;
mod diff;
mod document;
mod document_check;
mod problem;
mod settings;
mod settings_check;
mod tree;
mod unique;

pub use diff::Difference;
pub use diff::Edit;
pub use diff::Property;
pub use diff::Subject;
pub use diff::diff;
pub use document::Affinity;
pub use document::Change;
pub use document::Document;
pub use document::Kind;
pub use document::Service;
pub use document::Sharing;
pub use document::Upstream;
pub use document::UpstreamState;
pub use document::Zone;
pub use document_check::parse;
pub use problem::FieldPath;
pub use problem::Position;
pub use problem::Problem;
pub use problem::ProblemKind;
pub use problem::ValueType;
pub use settings::Advertise;
pub use settings::Limits;
pub use settings::Listen;
pub use settings::Secrets;
pub use settings::Seed;
pub use settings::Settings;
pub use settings_check::parse_settings;
pub use tree::MAX_TEXT_LEN;
