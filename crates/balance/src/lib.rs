//! Load balancing and overload control: which request gets a slot of which upstream, which waits, and which is refused.
//!
//! A [`Pool`] holds the central queue of one service and tracks which slots of its upstreams are in use. This crate does
//! no I/O, reads no clock and takes all randomness from a given seed. It knows nothing of flows, of instances or of how
//! a request reaches its upstream, and it does not determine whether a request has run.

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
