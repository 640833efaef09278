//! Shared value types: names, identifiers, times, sizes and rates.
//!
//! This crate implements no protocol, does no I/O and reads no clock.

mod id;
mod name;
mod position;
mod quantity;
mod rate;
mod time;

pub use id::Epoch;
pub use id::FlowId;
pub use id::Incarnation;
pub use id::Nonce;
pub use id::ParseIdError;
pub use id::RequestSeq;
pub use id::Revision;
pub use name::InstanceName;
pub use name::KindName;
pub use name::NameError;
pub use name::ServiceName;
pub use name::UpstreamName;
pub use name::ZoneName;
pub use position::Position;
pub use quantity::Bytes;
pub use quantity::ParseQuantityError;
pub use quantity::Slots;
pub use quantity::Weight;
pub use rate::Rate;
pub use rate::RateError;
pub use time::Millis;
pub use time::ParseTimeError;
pub use time::Time;
