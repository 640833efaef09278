//! Fleet membership: failure detection, gossip, and the choice of home instances and ledger successors.
//!
//! This is a SWIM-style protocol. Members probe one another in turn. A member that answers neither a direct probe nor
//! an indirect one through other members becomes a suspect, and is declared dead unless it refutes the suspicion in
//! time. Updates are piggybacked on probes, so the traffic per member does not grow with the fleet.
//!
//! The crate does no I/O, does not read the clock, and draws random numbers only from a generator seeded by the
//! caller. It has no notion of flows, tokens or ledger contents. Safety must not depend on it: a view may be wrong at
//! any time, which costs extra work but never correctness.

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
