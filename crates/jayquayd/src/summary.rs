//! A small summary of an availability zone, kept at the platform for those who can reach no instance.
//!
//! The first live instance of the zone by name writes it, when it has changed and not too often. Two that differ on who
//! that is write over the version that they know, so that neither undoes what it has not seen: nothing is decided by a
//! summary.

mod content;
mod keeper;

pub use self::content::InForce;
pub use self::content::Member;
pub use self::content::Summary;
pub use self::content::Upstream;
pub use self::keeper::SummaryWriter;
pub use self::keeper::WRITE_EVERY;
pub use self::keeper::run;
