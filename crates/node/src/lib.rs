//! The entry instance as a deterministic state machine: it takes events and the current time and returns actions.
//!
//! This crate does no I/O, reads no clock and takes all randomness from a seed, so that the daemon, the randomised
//! tests and the scenarios can run the same code.
//!
//! A flow is the sequence of requests that one caller sends to one service. The instance named in the flow's token, or
//! the successor that took over its ledgers, is its owner: it alone starts requests of the flow, and it keeps a ledger
//! per flow that records which requests have started and how they ended, so that a repeated packet never starts its
//! request again. The home of a service is the instance that queues the service's requests and grants slots (units of
//! upstream capacity) to owners.

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

/// The maximum time between two [`Event::Tick`]s.
pub const MAX_TICK_INTERVAL: Duration = Duration::from_millis(10);
