//! Proxies on the ways between instances. Each instance is known to the others by its proxy's address.
//!
//! Datagrams tell by their source which instance sent them, so they can be cut between any two. Connections don't: those
//! to an instance fail for all others alike.

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use crate::plan::Cut;
use crate::plan::Way;
use crate::proxy::DELAY;
use crate::proxy::Proxy;

/// The longest datagram that is passed on.
const MAX_LEN: usize = 65_536;
/// Of so many datagrams one passes on a way that loses some.
const LOSSY: u64 = 2;

/// An instance, as the proxies tell it from others.
#[derive(Debug, Clone, Copy)]
struct Node {
    index: usize,
    zone: &'static str,
}

/// What all proxies share.
#[derive(Debug, Clone, Default)]
struct State {
    cuts: Arc<Mutex<Vec<Cut>>>,
    nodes: Arc<Mutex<HashMap<IpAddr, Node>>>,
}

/// What becomes of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Passes,
    Late,
    Lost,
}

impl State {
    fn cuts(&self) -> MutexGuard<'_, Vec<Cut>> {
        self.cuts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn nodes(&self) -> MutexGuard<'_, HashMap<IpAddr, Node>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What becomes of the `count`th datagram that came to a proxy.
    fn fate(&self, from: IpAddr, to: Node, count: u64) -> Fate {
        let from = self.nodes().get(&from).copied();
        let mut fate = Fate::Passes;
        for cut in self.cuts().iter() {
            let is_lost = match *cut {
                Cut::Inbound(index) => index == to.index,
                Cut::Outbound(index) => from.is_some_and(|from| from.index == index),
                Cut::Zones => from.is_some_and(|from| from.zone != to.zone),
                Cut::Lossy(index) => index == to.index && !count.is_multiple_of(LOSSY),
                Cut::Slow(_) | Cut::Reset(_) => false,
            };
            if is_lost {
                return Fate::Lost;
            }
            if *cut == Cut::Slow(to.index) {
                fate = Fate::Late;
            }
        }
        fate
    }

    /// How connections to an instance fare.
    fn way(&self, to: usize) -> Way {
        let mut way = Way::Open;
        for cut in self.cuts().iter() {
            match *cut {
                Cut::Inbound(index) if index == to => return Way::Silent,
                Cut::Reset(index) if index == to => way = Way::Reset,
                Cut::Slow(index) if index == to => way = Way::Slow,
                Cut::Inbound(_) | Cut::Outbound(_) | Cut::Zones | Cut::Slow(_) | Cut::Lossy(_) | Cut::Reset(_) => {}
            }
        }
        way
    }
}

/// The proxy before one instance.
#[derive(Debug)]
struct Link {
    connections: Proxy,
    datagrams: JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.datagrams.abort();
    }
}

/// The proxies before all instances.
#[derive(Debug, Default)]
pub(crate) struct Mesh {
    state: State,
    links: Vec<Link>,
}

impl Mesh {
    /// Puts a proxy at `at` before the next instance, which listens at `to`.
    pub(crate) async fn add(&mut self, zone: &'static str, at: SocketAddr, to: SocketAddr) -> io::Result<()> {
        let node = Node {
            index: self.links.len(),
            zone,
        };
        self.state.nodes().insert(to.ip(), node);
        let socket = UdpSocket::bind(at).await?;
        self.links.push(Link {
            connections: Proxy::start(at, to).await?,
            datagrams: tokio::spawn(pass(socket, to, node, self.state.clone())),
        });
        Ok(())
    }

    /// A cut begins.
    pub(crate) fn begin(&self, cut: Cut) {
        self.state.cuts().push(cut);
        self.set_ways();
    }

    /// One such cut ends.
    pub(crate) fn end(&self, cut: Cut) {
        {
            let mut cuts = self.state.cuts();
            if let Some(position) = cuts.iter().position(|held| *held == cut) {
                cuts.swap_remove(position);
            }
        }
        self.set_ways();
    }

    fn set_ways(&self) {
        for (index, link) in self.links.iter().enumerate() {
            link.connections.set(self.state.way(index));
        }
    }
}

/// Passes datagrams on to an instance.
async fn pass(socket: UdpSocket, to: SocketAddr, node: Node, state: State) {
    let socket = Arc::new(socket);
    let mut buffer = vec![0; MAX_LEN];
    let mut count = 0;
    loop {
        // A datagram that can't be received or sent is lost, as on any way.
        let Ok((len, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        count += 1;
        match state.fate(from.ip(), node, count) {
            Fate::Lost => {}
            Fate::Passes => {
                let _lost = socket.send_to(&buffer[..len], to).await;
            }
            Fate::Late => {
                let bytes = buffer[..len].to_vec();
                let socket = Arc::clone(&socket);
                tokio::spawn(async move {
                    tokio::time::sleep(DELAY).await;
                    let _lost = socket.send_to(&bytes, to).await;
                });
            }
        }
    }
}
