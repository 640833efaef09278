//! State shared by all sessions of this instance.

use std::sync::Arc;

use super::handshake::Identity;
use super::handshake::Keys;
use super::handshake_history::HandshakeHistory;
use crate::input::InputSender;

/// Identity, keys and engine queues shared by all sessions.
#[derive(Debug, Clone)]
pub struct Context {
    /// Identity sent in handshakes.
    pub own: Identity,
    /// Keys for authenticating to and verifying other instances.
    pub keys: Keys,
    /// Queues for received frames and session events.
    pub input_sender: InputSender,
    /// Results of handshakes, which show whether other instances accept this one.
    pub handshake_history: Arc<HandshakeHistory>,
}
