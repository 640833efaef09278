//! The way of a caller's packets to the instances and back.

use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::Ipv6Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::net::UdpSocket;

use crate::fabric::link::Link;
use crate::fabric::link::Shared;
use crate::fabric::link::Target;
use crate::task::Task;

/// The longest datagram that is passed on whole, in bytes. A longer one is cut.
const MAX_LEN: usize = 9_000;

/// After how long without a packet a caller's socket is given up.
const IDLE: Duration = Duration::from_mins(5);

/// How long to pause after a socket failed, so that a lasting failure does not keep a core busy.
const PAUSE: Duration = Duration::from_millis(1);

/// A caller's socket towards the instances.
#[derive(Debug)]
struct Path {
    outward: Link,
    used: Instant,
    _back: Task,
}

/// Passes on whatever comes to a service address.
pub(crate) async fn forward(shared: Arc<Shared>, service: Arc<UdpSocket>) {
    let mut paths: HashMap<SocketAddr, Path> = HashMap::new();
    let mut buffer = vec![0; MAX_LEN];
    loop {
        let Ok((len, caller)) = service.recv_from(&mut buffer).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        shared.lock().counts.from_callers += 1;
        if !paths.contains_key(&caller) {
            paths.retain(|_caller, path| path.used.elapsed() < IDLE);
            match path_for(&shared, &service, caller).await {
                Ok(path) => _ = paths.insert(caller, path),
                Err(error) => log::warn!("stand-in: no socket for {caller}: {error}"),
            }
        }
        let Some(path) = paths.get_mut(&caller) else {
            continue;
        };
        path.used = Instant::now();
        path.outward.pass(&buffer[..len]).await;
    }
}

async fn path_for(shared: &Arc<Shared>, service: &Arc<UdpSocket>, caller: SocketAddr) -> io::Result<Path> {
    let ip = if caller.is_ipv4() {
        IpAddr::V4(Ipv4Addr::UNSPECIFIED)
    } else {
        IpAddr::V6(Ipv6Addr::UNSPECIFIED)
    };
    let socket = Arc::new(UdpSocket::bind(SocketAddr::new(ip, 0)).await?);
    let inward = Link::new(Arc::clone(shared), Arc::clone(service), Target::Caller(caller));
    Ok(Path {
        outward: Link::new(Arc::clone(shared), Arc::clone(&socket), Target::AnyInstance),
        used: Instant::now(),
        _back: Task::spawn(back(Arc::clone(shared), socket, inward)),
    })
}

/// Passes on what instances send back to one caller.
async fn back(shared: Arc<Shared>, socket: Arc<UdpSocket>, mut inward: Link) {
    let mut buffer = vec![0; MAX_LEN];
    loop {
        let Ok((len, _instance)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        shared.lock().counts.from_instances += 1;
        inward.pass(&buffer[..len]).await;
    }
}
