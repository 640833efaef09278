//! Forms for the configuration document, served on loopback as plain pages.
//!
//! What the forms make is the text of one document, checked by the same code as everywhere else, and applied in the
//! same way as `jayquay config apply` does. The console keeps its draft in memory only, and belongs to one operator.

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
