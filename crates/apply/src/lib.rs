//! Writes a validated document to the platform and reports the actual outcome.
//!
//! A document replaces the revision that was reviewed. If another document was written in the meantime, nothing is
//! changed and the conflict is reported with the document that was written. The crate neither validates documents nor
//! keeps state between calls: an outcome that is unknown after one call can be determined by any later call, because
//! the platform's record of the revision is authoritative.

mod plan;
mod refusal;
mod write;

pub use plan::Base;
pub use plan::Plan;
pub use plan::plan;
pub use refusal::Conflict;
pub use refusal::Refusal;
pub use write::Applied;
pub use write::RetryPolicy;
pub use write::apply;
