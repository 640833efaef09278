//! A small summary of an availability zone, stored at the platform for clients that cannot reach any instance.
//!
//! The live instance of the zone with the lowest name writes it when it has changed, at a limited rate. Each write
//! names the version that it replaces, so that two instances that disagree on which of them is the writer do not
//! overwrite a version they have not seen. No decision depends on a summary.

mod content;
mod keeper;

pub use self::content::InForce;
pub use self::content::Member;
pub use self::content::Summary;
pub use self::content::Upstream;
pub use self::keeper::SummaryWriter;
pub use self::keeper::WRITE_EVERY;
pub use self::keeper::run;
