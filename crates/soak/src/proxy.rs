//! A loopback proxy for connections: on the way to the store, or to another instance.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;

use crate::plan::Way;

/// How late what is sent arrives on a slow way.
pub(crate) const DELAY: Duration = Duration::from_millis(300);

/// A proxy. Dropping it ends all its connections.
#[derive(Debug)]
pub(crate) struct Proxy {
    address: SocketAddr,
    way: watch::Sender<Way>,
    task: tokio::task::JoinHandle<()>,
}

impl Proxy {
    /// Listens at an address, and passes on what comes to `to`.
    pub(crate) async fn start(at: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(at).await?;
        let address = listener.local_addr()?;
        let (way, current) = watch::channel(Way::Open);
        let task = tokio::spawn(accept(listener, to, current));
        Ok(Self { address, way, task })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn set(&self, way: Way) {
        self.way.send_replace(way);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, way: watch::Receiver<Way>) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        let way = way.clone();
        tokio::spawn(async move {
            // A connection that fails is the fault that was asked for, or its end.
            let _failed = carry(near, to, way).await;
        });
    }
}

async fn carry(near: TcpStream, to: SocketAddr, way: watch::Receiver<Way>) -> io::Result<()> {
    let far = TcpStream::connect(to).await?;
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let mut reset = way.clone();
    tokio::select! {
        ended = pump(near_in, far_out, way.clone(), false) => ended,
        ended = pump(far_in, near_out, way, true) => ended,
        _ = reset.wait_for(|way| *way == Way::Reset) => Ok(()),
    }
}

/// Carries bytes one way. What is held back on a silent way is lost when the way heals, as on a connection that has gone
/// silent for good.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: watch::Receiver<Way>,
    is_answer: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; 16_384];
    let mut is_lost = false;
    loop {
        let len = from.read(&mut buffer).await?;
        if len == 0 {
            return Ok(());
        }
        let now = *way.borrow();
        is_lost |= now == Way::Silent || (now == Way::Deaf && is_answer);
        if is_lost {
            continue;
        }
        if now == Way::Slow {
            tokio::time::sleep(DELAY).await;
        }
        to.write_all(&buffer[..len]).await?;
    }
}
