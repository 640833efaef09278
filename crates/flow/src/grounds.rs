//! What speaks for a decision against an upstream that is silent.

use std::time::Duration;

/// What speaks for an upstream being silent, for whoever asks later why a flow was reset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grounds {
    /// How many flows wait for it in vain here.
    pub waiting: u32,
    /// How many wait at other instances, or how often flows have sent something again there, if these were asked.
    pub elsewhere: u32,
    /// How many other instances have reported or answered so.
    pub reporters: usize,
    /// The loss that was reckoned with, in percent.
    pub loss_percent: u8,
    /// How long ago it last answered something here, or for how long anywhere, if others were asked.
    pub silent_for: Duration,
}
