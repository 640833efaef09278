//! The client of the platform's object API: the configuration document, leases, the instance list and status.
//!
//! The client reports what the platform said, and for a write that failed whether it may have taken effect. It does
//! not judge documents, does not refuse a revision that is older than one seen before (the node does), and never
//! repeats a write of its own accord.

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
