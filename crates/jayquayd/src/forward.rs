//! The daemon's flow mode: it forwards packets of flows that only their two ends read.
//!
//! The decisions are those of [`flow::Core`]. Around it stand the packets' socket, the store's watches, the exchange
//! with other instances, and the HTTP endpoints. Every part but the packets' may be late or fail without harm to a flow.

pub mod check;
pub mod logging;
pub mod metric;
pub mod rhythm;
pub mod role;
pub mod settings;
pub mod status;

mod answers;
mod compression;
mod decisions;
mod failures;
mod figures;
mod gossip;
mod http;
mod keeping;
mod packets;
mod pull;
mod relay;
mod reload;
mod run;
mod shared;
mod silence;
mod stop;
mod store;
mod summing;

pub use run::RunError;
pub use run::run;
pub use settings::Settings;
