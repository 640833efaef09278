//! Callers' traffic against a real system: flows, arrivals, and what became of each request.
//!
//! This module knows nothing of instances and upstreams. It judges by what callers see.

mod arrivals;
mod kind;
mod summary;

pub use arrivals::Ended;
pub use arrivals::Plan;
pub use arrivals::Surge;
pub use arrivals::drive;
pub use kind::Kind;
pub use summary::Report;
pub use summary::Summary;
