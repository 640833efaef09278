//! HTML forms that edit the configuration document, served on loopback without scripts.
//!
//! The forms produce the text of one document, which is validated by the same code as everywhere else and applied in
//! the same way as by `jayquay config apply`. The console keeps its draft in memory only and serves a single operator.

mod draft;
mod guard;
mod input;
mod page;
mod routes;
mod server;
mod session;
mod yaml;

pub use server::Error;
pub use server::Options;
pub use server::Server;
pub use session::LoadError;
