//! The daemon around a node: it owns the sockets, the sessions, the calls and the clock, and decides nothing about
//! requests. Everything that the node must judge reaches it as an event, and what it wants done is carried out here.

pub mod admin;
pub mod bucket;
pub mod callers;
pub mod clock;
pub mod daemon;
pub mod engine;
pub mod feed;
pub mod forward;
pub mod input;
pub mod metric;
pub mod session_event;
pub mod sessions;
pub mod summary;
pub mod timeline;
pub mod upstreams;

mod accept;
mod addresses;
mod gauges;
mod poll;
mod throttle;

pub use addresses::Addresses;
pub use daemon::Handle;
pub use daemon::StartError;
pub use daemon::start;
pub use engine::End;
