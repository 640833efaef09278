//! Takes connections of other instances.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::Semaphore;
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

/// Takes connections for ever.
pub async fn listen(listener: TcpListener, context: Context) {
    let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    let throttle = Arc::new(Throttle::default());
    let mut tasks = JoinSet::new();
    loop {
        while tasks.try_join_next().is_some() {}
        let (tcp, from) = accept::next(&listener, "sessions").await;
        let Ok(permit) = Arc::clone(&handshakes).try_acquire_owned() else {
            metric::sessions_failed("busy").increment(1);
            continue;
        };
        let context = context.clone();
        let throttle = Arc::clone(&throttle);
        tasks.spawn(async move {
            let result = connection::accept(tcp, &context.own, &context.keys).await;
            drop(permit);
            match result {
                Ok(connection) => converse(connection, &context).await,
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
