//! What operators see of a whole fleet: what is in force where, and one time line over all instances.
//!
//! Data in, data and text out: nothing here calls an instance or the platform, reads a clock or writes a file. It tells
//! what instances said of themselves and of one another, and judges none of their decisions.

pub mod status;
pub mod timeline;

mod table;
mod time;
