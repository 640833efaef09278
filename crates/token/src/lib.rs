//! Flow tokens: what an instance must know to route a packet, sealed by a keyed hash.
//!
//! This crate does no I/O and reads no clock. It tells whether a token is genuine and what it says, and leaves
//! open whether the owner it names still lives.

mod claims;
mod keyring;

pub use claims::Claims;
pub use keyring::Keyring;
pub use keyring::Secret;
pub use keyring::SecretError;
pub use keyring::TokenError;
