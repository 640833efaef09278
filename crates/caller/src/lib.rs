//! The client side of the protocol: a flow as a sans-I/O state machine, and a small UDP client that drives it.
//!
//! [`Flow`] does no I/O, reads no clock and takes all randomness from its seed: it maps events and the current time
//! to actions. [`Client`] adds a socket, a clock and a task. Neither knows the set of instances: they send to a single
//! fabric address and match replies by content, not by sender.

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
