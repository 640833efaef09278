//! The daemon's flow mode: forwards the packets of flows whose payload only the two endpoints read.
//!
//! [`flow::Core`] makes the forwarding decisions. The surrounding tasks handle the packet socket, the store watches,
//! the exchange with other instances, and the HTTP endpoints. All of them except packet forwarding may be delayed or
//! fail without affecting flows.

pub mod check;
pub mod logging;
pub mod metric;
pub mod role;
pub mod settings;
pub mod status;
pub mod watch_schedule;

mod aggregators;
mod cold_assignment;
mod compression;
mod decisions;
mod exchange;
mod failures;
mod gossip;
mod http;
mod loads;
mod metric_update;
mod packets;
mod pull;
mod reload;
mod response_cache;
mod run;
mod shared;
mod silence;
mod stop;
mod store;

pub use run::RunError;
pub use run::run;
pub use settings::Settings;
