//! The flow path: which upstream gets a new flow, where each later packet goes, and when a flow is given up.
//!
//! A flow is a connection between a client and one upstream that only these two can read. The upstream is chosen once,
//! by the flow's first packet. That choice travels in each later packet as an *echo*, four bytes that both ends return,
//! so any instance forwards any packet of any flow without having seen the flow before. What an instance remembers of
//! a flow serves decisions only (load, stalled upstreams), never correctness.
//!
//! This crate is pure: it does no I/O, reads no clock and draws on no randomness but from the seed it is given. It
//! does not know how packets, routes and upstreams are written down.

mod answer_log;
mod checks;
mod compat;
mod core;
mod decaying_count;
mod decision;
mod difference;
mod directory;
mod documents;
pub mod draft;
mod ejection;
mod entries;
mod evacuations;
mod evidence;
mod flows;
mod grace_period;
mod health;
mod inquiry;
mod knowledge;
mod loss;
mod outcome;
mod packet;
mod place;
mod report;
mod route;
mod status_update;
mod typical;
mod upstream;
mod verdict;
mod wait;
mod warning;

pub use crate::core::Core;
pub use crate::core::Options;
pub use crate::core::Stats;
pub use crate::decision::Decision;
pub use crate::difference::Difference;
pub use crate::documents::Step;
pub use crate::documents::Update;
pub use crate::entries::Entry;
pub use crate::evacuations::Evacuations;
pub use crate::evidence::SilenceEvidence;
pub use crate::flows::FlowKey;
pub use crate::knowledge::Change;
pub use crate::knowledge::Knowledge;
pub use crate::knowledge::Positions;
pub use crate::loss::Sample;
pub use crate::outcome::FailureReport;
pub use crate::outcome::Outcome;
pub use crate::packet::DropCause;
pub use crate::packet::Echo;
pub use crate::packet::Flags;
pub use crate::packet::Packet;
pub use crate::packet::Reset;
pub use crate::packet::ResetCause;
pub use crate::place::Tier;
pub use crate::report::Report;
pub use crate::report::ReporterId;
pub use crate::route::ColdStart;
pub use crate::route::Digest;
pub use crate::route::Document;
pub use crate::route::Route;
pub use crate::route::Share;
pub use crate::status_update::Status;
pub use crate::status_update::StatusUpdate;
pub use crate::upstream::ParseUpstreamIdError;
pub use crate::upstream::Sighting;
pub use crate::upstream::Start;
pub use crate::upstream::Upstream;
pub use crate::upstream::UpstreamId;
pub use crate::verdict::Verdict;
pub use crate::wait::Wait;
pub use crate::wait::WaitKind;
pub use crate::warning::Reading;
pub use crate::warning::Subject;
pub use crate::warning::Warning;
