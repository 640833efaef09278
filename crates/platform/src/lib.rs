//! Client for the platform's object API: the configuration document, leases, the instance list and zone status.
//!
//! The client reports the platform's response, and for a failed write whether it may have taken effect. It does not
//! validate documents, does not reject a revision older than one seen before (the node does), and never repeats a write
//! on its own.

pub mod api;
pub mod transport;

mod client;
mod document;
mod error;
mod lease;
mod list;
mod status;

pub use client::Client;
pub use client::Options;
pub use document::Document;
pub use document::DocumentWrite;
pub use document::WriteOutcome;
pub use error::Error;
pub use lease::Lease;
pub use list::List;
pub use list::ListScope;
pub use node::Listed;
pub use status::Status;
