//! Decisions under load: which request gets which upstream's slot, which waits, and which is refused.
//!
//! A [`Pool`] keeps one service's central queue and knows which slots of its upstreams are in use. This crate does no
//! I/O, reads no clock and draws no randomness but from the seed it is given. It knows nothing of flows, of instances
//! or of how a request reaches its upstream, and it never tells whether a request has run.

mod health;
mod leases;
mod placement;
mod pool;
mod queue;
mod request;
mod retry_budget;
mod service_time;
mod status;
mod target;

pub use pool::Pool;
pub use request::Decision;
pub use request::SlotRequest;
pub use status::Report;
pub use status::State;
pub use status::UpstreamStatus;
