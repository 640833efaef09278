//! Who is in the fleet: members, homes, successors, and the spreading of news.
//!
//! Members probe one another in turn; who does not answer, not even to helpers, is suspected, and dead if it does not
//! refute this in time. What is new rides on the probes, so the traffic of a member does not grow with the fleet.
//!
//! This crate is pure: it does no I/O, reads no clock and draws on no randomness but from the seed it is given. It knows nothing of
//! flows, tokens and ledgers, and nothing safe may hang on what it says: a view may be wrong at any time, and costs
//! work when it is, never correctness.

mod broadcast;
mod dissemination;
mod grow_only;
mod membership;
mod merge;
mod output;
mod probe;
mod rendezvous;
mod seed;
mod table;
mod timing;
mod view;

pub use membership::Membership;
pub use output::Output;
pub use output::Standing;
pub use timing::Timing;
