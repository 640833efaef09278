//! Bringing a checked document into force at the platform, and telling truthfully what became of it.
//!
//! A document is applied from the revision that was reviewed: if another one was written meanwhile, nothing is changed
//! and the loser is told who won. The crate does not check documents and keeps nothing between calls: what is not
//! known after a call can be found out by any later one, because the revision's own record at the platform decides.

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
