//! Flow tokens: the data that an instance needs to route a packet, authenticated by a keyed hash.
//!
//! This crate does no I/O and reads no clock. It verifies and decodes tokens, and does not check whether the owner named
//! in a token is still alive.

mod claims;
mod keyring;

pub use claims::Claims;
pub use keyring::Keyring;
pub use keyring::Secret;
pub use keyring::SecretError;
pub use keyring::TokenError;
