//! Accepts sessions from other instances.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use super::connection;
use super::connection::Connection;
use super::context::Context;
use super::handshake::Side;
use super::session;
use crate::accept;
use crate::input::Input;
use crate::metric;
use crate::session_event::SessionEvent;
use crate::session_event::SessionId;
use crate::throttle::LogThrottle;

/// Maximum number of concurrent handshakes.
pub const MAX_HANDSHAKES: usize = 64;

/// Maximum number of concurrent handshakes from one host, so that a host that connects and stays silent cannot take all
/// slots. An instance needs one or two.
const MAX_HANDSHAKES_PER_HOST: usize = 16;

/// Limits concurrent handshakes, in total and per host.
#[derive(Debug, Default)]
struct HandshakeSlots {
    in_use: Mutex<HashMap<IpAddr, usize>>,
}

/// A handshake slot, released on drop.
struct HandshakeSlot {
    slots: Arc<HandshakeSlots>,
    host: IpAddr,
}

impl HandshakeSlots {
    fn in_use(&self) -> MutexGuard<'_, HashMap<IpAddr, usize>> {
        self.in_use.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Acquires a slot for a handshake with `host`, or returns `None` if a limit is reached.
    fn acquire(self: &Arc<Self>, host: IpAddr) -> Option<HandshakeSlot> {
        let mut in_use = self.in_use();
        let total: usize = in_use.values().sum();
        let from_host = in_use.get(&host).copied().unwrap_or(0);
        if total >= MAX_HANDSHAKES || from_host >= MAX_HANDSHAKES_PER_HOST {
            return None;
        }
        in_use.insert(host, from_host + 1);
        Some(HandshakeSlot {
            slots: Arc::clone(self),
            host,
        })
    }
}

impl Drop for HandshakeSlot {
    fn drop(&mut self) {
        let mut in_use = self.slots.in_use();
        let Some(count) = in_use.get_mut(&self.host) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            in_use.remove(&self.host);
        }
    }
}

/// Accepts connections until the task is aborted.
pub async fn listen(listener: TcpListener, context: Context) {
    let slots = Arc::new(HandshakeSlots::default());
    let throttle = Arc::new(LogThrottle::default());
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let (tcp, from) = accept::accept_next(&listener, "sessions").await;
        let Some(slot) = slots.acquire(from.ip()) else {
            metric::sessions_failed("busy").increment(1);
            continue;
        };
        let context = context.clone();
        let throttle = Arc::clone(&throttle);
        tasks.spawn(async move {
            let result = connection::accept(tcp, &context.own, &context.keys).await;
            drop(slot);
            match result {
                Ok(connection) => {
                    context.handshake_history.record_success();
                    run_session(connection, &context).await;
                }
                Err(error) => {
                    metric::sessions_failed(error.as_str()).increment(1);
                    if let Some(suppressed) = throttle.allow() {
                        log::warn!("sessions: refused {from}: {error}{suppressed}");
                    }
                }
            }
        });
    }
}

async fn run_session(connection: Connection, context: &Context) {
    let peer = connection.other.peer();
    let id = SessionId::next();
    let (sender, mut queue) = mpsc::channel(session::QUEUE_LEN);
    let (admit, admitted) = oneshot::channel();
    let accepted = SessionEvent::Accepted {
        id,
        peer: peer.clone(),
        queue: sender,
        admit,
    };
    if context.input_sender.send(Input::Session(accepted)).await.is_err() || admitted.await.is_err() {
        return;
    }
    let reason = session::run(connection.ws, Side::Acceptor, &peer, &mut queue, &context.input_sender).await;
    let ended = SessionEvent::Ended {
        id,
        lost: session::record_end(&peer, reason, &mut queue),
        name: peer.name,
    };
    let _closed = context.input_sender.send(Input::Session(ended)).await;
}
