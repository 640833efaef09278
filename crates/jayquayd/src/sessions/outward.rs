//! A session that this side makes, from the first attempt to connect to its end.

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
use super::link;
use super::link::Outgoing;
use crate::change::Change;
use crate::change::LinkId;
use crate::intake::Input;
use crate::metric;
use crate::throttle::Throttle;

/// A session that this side makes.
pub(super) struct Outward {
    pub(super) id: LinkId,
    pub(super) to: InstanceName,
    pub(super) address: SocketAddr,
    pub(super) not_before: Option<Instant>,
    pub(super) ended: Arc<Throttle>,
}

impl Outward {
    pub(super) async fn run(self, context: Context, mut queue: mpsc::Receiver<Outgoing>) {
        if let Some(not_before) = self.not_before {
            tokio::time::sleep_until(not_before).await;
        }
        let result = connection::connect(self.address, &context.own, &context.keys).await;
        let result = result.and_then(|connection| self.check_name(connection));
        let lost = match result {
            Ok(connection) => {
                context.meetings.note_met();
                self.converse(connection, &context, &mut queue).await
            }
            Err(error) => {
                metric::sessions_failed(error.as_str()).increment(1);
                if error == handshake::Error::Closed {
                    context.meetings.note_ended();
                }
                self.note(error);
                true
            }
        };
        let change = Change::Ended {
            id: self.id,
            name: self.to,
            lost,
        };
        let _closed = context.intake.put(Input::Session(change)).await;
    }

    /// Who refuses a stranger ends the handshake without a word, so that this side can only ask about its secrets.
    fn note(&self, error: handshake::Error) {
        let Self { to, address, .. } = self;
        log::debug!("sessions: no session with {to} at {address}: {error}");
        if error != handshake::Error::Closed {
            return;
        }
        if let Some(held_back) = self.ended.pass() {
            log::warn!("sessions: {to} at {address} ended the handshake; are the secrets the same?{held_back}");
        }
    }

    fn check_name(&self, connection: Connection) -> Result<Connection, handshake::Error> {
        if connection.other.name != self.to {
            return Err(handshake::Error::WrongName);
        }
        Ok(connection)
    }

    async fn converse(&self, connection: Connection, context: &Context, queue: &mut mpsc::Receiver<Outgoing>) -> bool {
        let peer = connection.other.peer();
        let change = Change::Authenticated {
            id: self.id,
            peer: peer.clone(),
        };
        if context.intake.put(Input::Session(change)).await.is_err() {
            return true;
        }
        let end = link::run(connection.ws, Side::Initiator, &peer, queue, &context.intake).await;
        link::note_end(&peer, end, queue)
    }
}
