//! An HTTP server that can be taken down and brought back at the same address, on Linux.

use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;

use axum::Extension;
use axum::Router;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use socket2::SockAddr;
use socket2::Socket;
use socket2::Type;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::line::Line;
use crate::line::Stream;
use crate::task::Task;

/// How many connections may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// What a server is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct State {
    /// Whether it listens.
    up: bool,
    /// Counts how often all connections were cut.
    cuts: u64,
}

/// A server, stopped when this is dropped. While it is down its connections are cut and new ones are refused.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    wanted: watch::Sender<State>,
    reached: watch::Receiver<State>,
    _task: Task,
}

impl Server {
    /// Starts a server. Handlers find the [`Line`] of their connection among the request's extensions.
    pub(crate) fn start(address: SocketAddr, router: Router) -> io::Result<Self> {
        let socket = reserve(address)?;
        let listener = listen(&socket)?;
        let address = listener.local_addr()?;
        let state = State { up: true, cuts: 0 };
        let (wanted, changes) = watch::channel(state);
        let (reports, reached) = watch::channel(state);
        let task = Task::spawn(run(socket, listener, router, changes, reports));
        Ok(Self {
            address,
            wanted,
            reached,
            _task: task,
        })
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes it down or brings it back, and returns once that is done.
    pub(crate) async fn set_up(&self, up: bool) {
        self.wanted
            .send_if_modified(|state| std::mem::replace(&mut state.up, up) != up);
        self.settle().await;
    }

    /// Cuts all connections, and returns once that is done.
    pub(crate) async fn cut(&self) {
        self.wanted.send_modify(|state| state.cuts += 1);
        self.settle().await;
    }

    async fn settle(&self) {
        let wanted = *self.wanted.borrow();
        let mut reached = self.reached.clone();
        if reached.wait_for(|reached| *reached == wanted).await.is_err() {
            log::error!("stand-in: the server at {} has ended", self.address);
        }
    }
}

/// A bound socket, which keeps the port for this process while the server is down.
///
/// The system takes back a port that it chose when the socket stops listening, but not one that it was asked for. So a
/// first socket gets a port chosen, and a second one asks for it.
fn reserve(address: SocketAddr) -> io::Result<Socket> {
    let chosen = bind(&address.into())?;
    bind(&chosen.local_addr()?)
}

fn bind(address: &SockAddr) -> io::Result<Socket> {
    let socket = Socket::new(address.domain(), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn listen(socket: &Socket) -> io::Result<TcpListener> {
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.try_clone()?.into())
}

async fn run(
    socket: Socket,
    listener: TcpListener,
    router: Router,
    mut wanted: watch::Receiver<State>,
    reached: watch::Sender<State>,
) {
    let mut listener = Some(listener);
    loop {
        if let Some(listener) = &listener {
            accept(listener, &router, &mut wanted).await;
        } else if wanted.changed().await.is_err() {
            return;
        }
        let state = *wanted.borrow_and_update();
        if let Err(error) = bring(&socket, &mut listener, state.up) {
            log::error!("stand-in: a server cannot be taken up or down: {error}");
            return;
        }
        reached.send_replace(state);
    }
}

/// Makes the socket listen, or refuse connections.
fn bring(socket: &Socket, listener: &mut Option<TcpListener>, up: bool) -> io::Result<()> {
    if up && listener.is_none() {
        *listener = Some(listen(socket)?);
    }
    if !up && listener.take().is_some() {
        // Closing the descriptor would leave it to the system when it refuses connections; this takes effect at once.
        socket.shutdown(Shutdown::Read)?;
    }
    Ok(())
}

/// Serves until the server is told something. The connections end with this.
async fn accept(listener: &TcpListener, router: &Router, wanted: &mut watch::Receiver<State>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _from)) = accepted {
                    connections.spawn(serve(stream, router.clone()));
                }
            }
            Some(_ended) = connections.join_next() => {}
            _changed = wanted.changed() => break,
        }
    }
    connections.shutdown().await;
}

async fn serve(stream: TcpStream, router: Router) {
    let line = Line::default();
    let service = TowerToHyperService::new(router.layer(Extension(line.clone())));
    let io = TokioIo::new(Stream::new(stream, line.clone()));
    tokio::select! {
        ended = http1::Builder::new().serve_connection(io, service) => {
            if let Err(error) = ended {
                log::debug!("stand-in: a connection ended: {error}");
            }
        }
        () = line.to_be_cut() => {}
    }
}
