//! The entry instance as a pure state machine: events and the time in, actions out.
//!
//! This crate does no I/O, reads no clock and draws no randomness but from the seed it is given. The daemon, the
//! randomised tests and the scenarios drive the same code.

mod action;
mod documents;
mod event;
mod flow_table;
mod handover;
mod home;
mod ingress;
mod ledger;
mod ledgers;
mod limits;
mod node;
mod owner;
mod peers;
mod record;
mod replies;
mod reports;
mod slots;
mod status;
mod stop;
mod takeover;
mod ticket;

use std::time::Duration;

pub use action::Action;
pub use action::Call;
pub use action::CallId;
pub use event::CallResult;
pub use event::Event;
pub use event::Listed;
pub use event::Peer;
pub use event::PollError;
pub use event::UpstreamReport;
pub use ledger::FlowKey;
pub use ledger::Ledger;
pub use ledger::LedgerEntry;
pub use ledger::RequestState;
pub use ledgers::Ledgers;
pub use ledgers::Lookup;
pub use limits::Limits;
pub use node::Node;
pub use node::NodeConfig;
pub use record::Record;
pub use status::HomeStatus;
pub use status::MemberStatus;
pub use status::RefusedCount;
pub use status::Stage;
pub use status::Status;
pub use status::UpstreamStatus;

/// The longest time between two ticks.
pub const MAX_TICK_INTERVAL: Duration = Duration::from_millis(10);
