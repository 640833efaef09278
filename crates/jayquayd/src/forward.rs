//! The daemon's flow mode: forwards the packets of flows whose payload only the two endpoints read.
//!
//! [`flow::Core`] makes the forwarding decisions. The surrounding tasks handle the packet socket, the store watches,
//! the exchange with other instances, and the HTTP endpoints. All of them except packet forwarding may be delayed or
//! fail without affecting flows.

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
