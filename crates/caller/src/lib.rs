//! The callers' side of the protocol: a pure flow state machine and a small UDP client around it.
//!
//! [`Flow`] does no I/O, reads no clock and draws no randomness but from its seed: events and the time in, actions
//! out. [`Client`] adds a socket, a clock and a task. Neither knows which instances there are: they send to one
//! fabric address and judge replies by what these say.

mod assembly;
mod budget;
mod call;
mod client;
mod failure;
mod flow;
mod policy;
mod receive;
mod session;
mod tally;
mod timer;

pub use client::Client;
pub use client::OpenError;
pub use failure::Failure;
pub use failure::Origin;
pub use flow::Action;
pub use flow::CallId;
pub use flow::Event;
pub use flow::Flow;
pub use flow::Work;
pub use policy::Policy;
pub use tally::Tally;
