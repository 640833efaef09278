//! What every session of this instance needs.

use std::sync::Arc;

use super::handshake::Identity;
use super::handshake::Keys;
use super::handshake_history::HandshakeHistory;
use crate::input::InputSender;

/// Who this instance is, and how it proves that.
#[derive(Debug, Clone)]
pub struct Context {
    /// Who this instance is.
    pub own: Identity,
    /// How it proves that.
    pub keys: Keys,
    /// Where frames and changes go.
    pub input_sender: InputSender,
    /// Whether others accept this instance.
    pub handshake_history: Arc<HandshakeHistory>,
}
