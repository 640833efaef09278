//! The daemon around a [`node::Node`]: it owns the sockets, sessions, upstream calls and the clock. All decisions about
//! requests are made by the node, which receives events and returns actions that are executed here.

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
pub use engine::ExitReason;
