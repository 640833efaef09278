//! A randomised soak of the flow mode: the real daemon as separate processes on loopback, faults from outside, and the
//! promises checked while it runs, from what clients and upstreams see.
//!
//! Faults come in series and overlap: processes are stopped, killed, paused and restarted by signals; the way between
//! an instance and the store is delayed, cut, silenced one way or reset by a proxy, and so are the ways between
//! instances; the store refuses; upstreams crash, leave, become slow and give their address to the next one; clients
//! come in bursts that upstreams can't serve; documents follow each other. Clocks and disks are left out, as the daemon
//! reads the time of day once and has no disk. Only processes that the soak started are ended, by their ids.

mod burst;
mod clients;
mod instance;
mod mesh;
mod options;
mod plan;
mod proxy;
mod recovery;
mod run;
mod upstreams;
mod violation;
mod world;

pub use options::Options;
pub use plan::Cut;
pub use plan::Fault;
pub use plan::Plan;
pub use run::Outcome;
pub use run::run;
pub use violation::Violation;
