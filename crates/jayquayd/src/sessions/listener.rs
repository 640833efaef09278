//! Takes connections of other instances.

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
use super::link;
use crate::accept;
use crate::change::Change;
use crate::change::LinkId;
use crate::intake::Input;
use crate::metric;
use crate::throttle::Throttle;

/// How many connections may be in their handshake at a time.
pub const MAX_HANDSHAKES: usize = 64;

/// How many of them may come from one host, so that one that connects and says nothing leaves room for the others. An
/// instance needs one or two.
const MAX_FROM_ONE: usize = 16;

/// Room for handshakes, in all and from each host.
#[derive(Debug, Default)]
struct Room {
    held: Mutex<HashMap<IpAddr, usize>>,
}

/// A place that a handshake holds until this is dropped.
struct Place {
    room: Arc<Room>,
    host: IpAddr,
}

impl Room {
    fn held(&self) -> MutexGuard<'_, HashMap<IpAddr, usize>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A place for a handshake with a host. `None` if there is no room.
    fn take(self: &Arc<Self>, host: IpAddr) -> Option<Place> {
        let mut held = self.held();
        let in_all: usize = held.values().sum();
        let from_host = held.get(&host).copied().unwrap_or(0);
        if in_all >= MAX_HANDSHAKES || from_host >= MAX_FROM_ONE {
            return None;
        }
        held.insert(host, from_host + 1);
        Some(Place {
            room: Arc::clone(self),
            host,
        })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut held = self.room.held();
        let Some(count) = held.get_mut(&self.host) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            held.remove(&self.host);
        }
    }
}

/// Takes connections for ever.
pub async fn listen(listener: TcpListener, context: Context) {
    let room = Arc::new(Room::default());
    let throttle = Arc::new(Throttle::default());
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let (tcp, from) = accept::next(&listener, "sessions").await;
        let Some(place) = room.take(from.ip()) else {
            metric::sessions_failed("busy").increment(1);
            continue;
        };
        let context = context.clone();
        let throttle = Arc::clone(&throttle);
        tasks.spawn(async move {
            let result = connection::accept(tcp, &context.own, &context.keys).await;
            drop(place);
            match result {
                Ok(connection) => {
                    context.meetings.note_met();
                    converse(connection, &context).await;
                }
                Err(error) => {
                    metric::sessions_failed(error.as_str()).increment(1);
                    if let Some(held_back) = throttle.pass() {
                        log::warn!("sessions: refused {from}: {error}{held_back}");
                    }
                }
            }
        });
    }
}

async fn converse(connection: Connection, context: &Context) {
    let peer = connection.other.peer();
    let id = LinkId::next();
    let (sender, mut queue) = mpsc::channel(link::QUEUE_LEN);
    let (admit, admitted) = oneshot::channel();
    let arrived = Change::Arrived {
        id,
        peer: peer.clone(),
        queue: sender,
        admit,
    };
    if context.intake.put(Input::Session(arrived)).await.is_err() || admitted.await.is_err() {
        return;
    }
    let end = link::run(connection.ws, Side::Acceptor, &peer, &mut queue, &context.intake).await;
    let ended = Change::Ended {
        id,
        lost: link::note_end(&peer, end, &mut queue),
        name: peer.name,
    };
    let _closed = context.intake.put(Input::Session(ended)).await;
}
