//! The forwarding path for flows: selecting an upstream for a new flow, forwarding its later packets, and deciding
//! when to reset it.
//!
//! A flow is a connection between a client and one upstream, and only these two can read its contents. The upstream is
//! selected by the first packet of the flow. The choice travels in each later packet as an *echo*, four bytes that
//! both ends return, so any instance can forward any packet of any flow without having seen the flow before. The state
//! that an instance keeps per flow only informs decisions (load, stalled upstreams); correctness never depends on it.
//!
//! This crate does no I/O, reads no clock, and uses no randomness other than the seed that it is given. It is
//! independent of the encoding of packets, routes and upstreams.

pub mod admission;
mod answer_log;
mod capacity_state;
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
mod ejection_limit;
mod entries;
mod evacuations;
mod evidence;
mod flows;
mod grace_period;
mod health;
mod inquiry;
mod knowledge;
mod load;
mod loss;
mod outcome;
mod packet;
mod place;
mod recent_answers;
mod report;
mod response_level;
mod route;
mod status_update;
mod typical;
mod upstream;
mod verdict;
mod wait;
mod warning;

pub use crate::capacity_state::CapacitySample;
pub use crate::capacity_state::CapacityState;
pub use crate::capacity_state::CapacityTracker;
pub use crate::core::Core;
pub use crate::core::Options;
pub use crate::core::ServiceCapacity;
pub use crate::core::SpillCause;
pub use crate::core::Stats;
pub use crate::decision::Decision;
pub use crate::difference::Difference;
pub use crate::documents::DocumentStep;
pub use crate::documents::Update;
pub use crate::ejection_limit::ServiceLoad;
pub use crate::ejection_limit::select_readmission;
pub use crate::entries::Entry;
pub use crate::evacuations::Evacuations;
pub use crate::evidence::SilenceEvidence;
pub use crate::flows::FlowKey;
pub use crate::knowledge::Change;
pub use crate::knowledge::Knowledge;
pub use crate::knowledge::Positions;
pub use crate::load::COLLECTOR_COUNT;
pub use crate::load::ClassLoad;
pub use crate::load::DueDigest;
pub use crate::load::LoadDigest;
pub use crate::load::LoadGroup;
pub use crate::load::LoadRecipient;
pub use crate::load::LoadReport;
pub use crate::load::ReportedWork;
pub use crate::load::UpstreamSum;
pub use crate::load::WorkCounts;
pub use crate::load::ZoneClasses;
pub use crate::load::ZoneLoad;
pub use crate::load::ZoneLoads;
pub use crate::load::ZoneSum;
pub use crate::loss::Sample;
pub use crate::outcome::FailureCounts;
pub use crate::outcome::FailureReport;
pub use crate::outcome::Outcome;
pub use crate::packet::DropCause;
pub use crate::packet::Echo;
pub use crate::packet::Flags;
pub use crate::packet::Packet;
pub use crate::packet::Reset;
pub use crate::packet::ResetCause;
pub use crate::place::Tier;
pub use crate::place::joint::Choice;
pub use crate::place::joint::Contender;
pub use crate::place::joint::Warmth;
pub use crate::place::joint::choose;
pub use crate::place::spillover::Spillover;
pub use crate::place::view::View;
pub use crate::recent_answers::RecentAnswers;
pub use crate::report::Report;
pub use crate::report::ReporterId;
pub use crate::response_level::ResponseLevel;
pub use crate::route::ColdStart;
pub use crate::route::Digest;
pub use crate::route::Document;
pub use crate::route::Priority;
pub use crate::route::Route;
pub use crate::route::Share;
pub use crate::status_update::Status;
pub use crate::status_update::StatusUpdate;
pub use crate::upstream::ListingState;
pub use crate::upstream::ParseUpstreamIdError;
pub use crate::upstream::StartTime;
pub use crate::upstream::Upstream;
pub use crate::upstream::UpstreamId;
pub use crate::verdict::Verdict;
pub use crate::wait::Wait;
pub use crate::wait::WaitKind;
pub use crate::warning::Fallback;
pub use crate::warning::Subject;
pub use crate::warning::Warning;
