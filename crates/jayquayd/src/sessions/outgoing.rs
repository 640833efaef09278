//! Sessions initiated by this instance, from connecting to the end of the session.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::time::Instant;
use units::InstanceName;

use super::connection;
use super::connection::Connection;
use super::context::Context;
use super::handshake;
use super::handshake::Side;
use super::session;
use super::session::QueuedFrame;
use crate::input::Input;
use crate::metric;
use crate::session_event::SessionEvent;
use crate::session_event::SessionId;
use crate::throttle::LogThrottle;

/// A session initiated by this instance.
pub(super) struct OutgoingSession {
    pub(super) id: SessionId,
    pub(super) peer_name: InstanceName,
    pub(super) address: SocketAddr,
    pub(super) not_before: Option<Instant>,
    pub(super) rejection_log: Arc<LogThrottle>,
}

impl OutgoingSession {
    pub(super) async fn run(self, context: Context, mut queue: mpsc::Receiver<QueuedFrame>) {
        if let Some(not_before) = self.not_before {
            tokio::time::sleep_until(not_before).await;
        }
        let result = connection::connect(self.address, &context.own, &context.keys).await;
        let result = result.and_then(|connection| self.check_name(connection));
        let lost = match result {
            Ok(connection) => {
                context.handshake_history.record_success();
                self.run_session(connection, &context, &mut queue).await
            }
            Err(error) => {
                metric::sessions_failed(error.as_str()).increment(1);
                if error == handshake::Error::Closed {
                    context.handshake_history.record_rejection();
                }
                self.log_failure(error);
                true
            }
        };
        let event = SessionEvent::Ended {
            id: self.id,
            name: self.peer_name,
            lost,
        };
        let _closed = context.input_sender.send(Input::Session(event)).await;
    }

    /// Logs a failed handshake. An instance that cannot verify the peer closes the connection without giving a reason,
    /// so the log line can only suggest comparing the secrets.
    fn log_failure(&self, error: handshake::Error) {
        let Self { peer_name, address, .. } = self;
        log::debug!("sessions: no session with {peer_name} at {address}: {error}");
        if error != handshake::Error::Closed {
            return;
        }
        if let Some(suppressed) = self.rejection_log.allow() {
            log::warn!("sessions: {peer_name} at {address} ended the handshake; are the secrets the same?{suppressed}");
        }
    }

    fn check_name(&self, connection: Connection) -> Result<Connection, handshake::Error> {
        if connection.other.name != self.peer_name {
            return Err(handshake::Error::WrongName);
        }
        Ok(connection)
    }

    async fn run_session(
        &self,
        connection: Connection,
        context: &Context,
        queue: &mut mpsc::Receiver<QueuedFrame>,
    ) -> bool {
        let peer = connection.other.peer();
        let event = SessionEvent::Authenticated {
            id: self.id,
            peer: peer.clone(),
        };
        if context.input_sender.send(Input::Session(event)).await.is_err() {
            return true;
        }
        let reason = session::run(connection.ws, Side::Initiator, &peer, queue, &context.input_sender).await;
        session::record_end(&peer, reason, queue)
    }
}
