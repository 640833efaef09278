//! The callers' side of the protocol: a pure flow state machine and a small UDP client around it.
//!
//! [`Flow`] does no I/O, reads no clock and draws no randomness but from its seed: events and the time in, actions
//! out. [`Client`] adds a socket, a clock and a task. Neither knows which instances there are: they send to one
//! fabric address and judge replies by what these say.

mod assembly;
mod call;
mod client;
mod counters;
mod failure;
mod flow;
mod policy;
mod receive;
mod retransmit_timer;
mod retry_budget;
mod session;

pub use client::Client;
pub use client::OpenError;
pub use counters::FlowCounters;
pub use failure::Failure;
pub use failure::Origin;
pub use flow::Action;
pub use flow::CallId;
pub use flow::CallRequest;
pub use flow::Event;
pub use flow::Flow;
pub use policy::Policy;
