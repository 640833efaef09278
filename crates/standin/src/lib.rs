//! Small stand-ins for the platform, the upstreams and the fabric, for tests and trials.
//!
//! Each has `start(options) -> Handle`, listens on the addresses that the operating system gives, misbehaves when its
//! [`Handle`](platform::Handle) or its control address says so, counts what it was asked, and stops when the handle
//! is dropped. None of them knows how the system under test works inside.

pub mod fabric;
pub mod platform;
pub mod upstream;

mod control;
mod line;
mod server;
mod share;
mod task;

pub use share::ParseShareError;
pub use share::Share;
