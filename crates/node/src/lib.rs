//! The entry instance as a pure state machine: events and the time in, actions out.
//!
//! This crate does no I/O, reads no clock and draws no randomness but from the seed it is given. The daemon, the
//! randomised tests and the scenarios drive the same code.

mod action;
mod event;
mod ledger;
mod record;

pub use action::Action;
pub use action::Call;
pub use action::CallId;
pub use event::CallResult;
pub use event::Event;
pub use event::Listed;
pub use event::Peer;
pub use event::PollError;
pub use event::Report;
pub use ledger::FlowKey;
pub use ledger::Ledger;
pub use ledger::Ledgers;
pub use ledger::Line;
pub use ledger::Lookup;
pub use ledger::State;
pub use record::Record;

use std::time::Duration;

/// The longest time between two ticks.
pub const TICK: Duration = Duration::from_millis(10);
