//! The system's own processes, and the routers in front of them.

use std::fs;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// The addresses of one deployment on loopback: instances in 127.N.1, clients in 127.N.2, targets in 127.N.3.
#[derive(Debug, Clone)]
pub struct Net {
    pub subnet: u8,
    pub packets: u16,
    pub ready: u16,
    pub peers: u16,
    pub folder: PathBuf,
}

impl Net {
    pub fn new() -> Result<Self, String> {
        let subnet = 64 + (std::process::id() % 180) as u8;
        let port = || {
            let socket = UdpSocket::bind((Ipv4Addr::new(127, subnet, 1, 1), 0));
            socket.and_then(|socket| socket.local_addr()).map(|address| address.port()).map_err(|error| error.to_string())
        };
        let (packets, ready, peers) = (port()?, port()?, port()?);
        let folder = match std::env::var("REVIEW_DIR") {
            Ok(folder) => PathBuf::from(folder),
            Err(_) => std::env::temp_dir().join(format!("review-{}", std::process::id())),
        };
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        Ok(Self { subnet, packets, ready, peers, folder })
    }

    pub fn ip(&self, group: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet, group, number)
    }
}

/// An instance process. Dropping it kills the process.
pub struct Instance {
    pub number: u8,
    pub zone: String,
    pub child: Child,
    pub packets: SocketAddr,
    ready: SocketAddr,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Instance {
    pub fn start(net: &Net, daemon: &str, store: SocketAddr, zone: &str, number: u8, evacuations: bool) -> Result<Self, String> {
        let ip = net.ip(1, number);
        let Net { packets, ready, peers, .. } = net;
        let settings = format!(
            "name: \"entry-{number}\"\nzone: \"{zone}\"\nlisten:\n  packets: \"{ip}:{packets}\"\n  ready: \"{ip}:{ready}\"\n  peers: \"{ip}:{peers}\"\nstore: \"{store}\"\nseeds: [\"{}:1\",\"{}:1\",\"{}:1\"]\ngrace_s: 6\nmax_flow_s: 60\nevacuations: {evacuations}\n",
            net.ip(1, 1), net.ip(1, 2), net.ip(1, 3),
        );
        let path = net.folder.join(format!("{number}.yaml"));
        fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = fs::OpenOptions::new().create(true).append(true).open(net.folder.join(format!("{number}.log")));
        let log: File = log.map_err(|error| error.to_string())?;
        let child = Command::new(daemon)
            .args(["--flows", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{daemon}: {error}"))?;
        let pids = fs::OpenOptions::new().create(true).append(true).open(net.folder.join("pids"));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        Ok(Self { number, zone: zone.into(), child, packets: (ip, *packets).into(), ready: (ip, *ready).into() })
    }

    pub fn wait_ready(&self) -> Result<(), String> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if is_ready(self.ready) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("instance {} is never ready", self.number))
    }

    #[allow(dead_code)]
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(300)));
    let mut answer = [0; 12];
    stream.write_all(b"GET /api/readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").is_ok()
        && stream.read_exact(&mut answer).is_ok()
        && answer.ends_with(b"200")
}

#[derive(Debug, Clone)]
struct Routed {
    zone: String,
    packets: SocketAddr,
    ready: SocketAddr,
    misses: u32,
}

/// The platform's routers: they check readiness twice a second and hash flows over the nodes of the client's zone.
#[derive(Clone)]
pub struct Router {
    nodes: Arc<Mutex<Vec<Routed>>>,
    ended: Arc<AtomicBool>,
}

impl Router {
    pub fn start(instances: &[Instance]) -> Self {
        let nodes = instances.iter().map(|instance| Routed {
            zone: instance.zone.clone(),
            packets: instance.packets,
            ready: instance.ready,
            misses: 0,
        });
        let router = Self { nodes: Arc::new(Mutex::new(nodes.collect())), ended: Arc::default() };
        let polled = router.clone();
        std::thread::spawn(move || {
            while !polled.ended.load(Ordering::Relaxed) {
                let nodes = polled.nodes.lock().unwrap().clone();
                for (index, node) in nodes.iter().enumerate() {
                    let is_ready = is_ready(node.ready);
                    let misses = &mut polled.nodes.lock().unwrap()[index].misses;
                    *misses = if is_ready { 0 } else { *misses + 1 };
                }
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        router
    }

    /// The node for a flow of a client in a zone.
    pub fn pick(&self, zone: &str, client: std::net::SocketAddrV4, route: std::net::SocketAddrV4) -> Option<SocketAddr> {
        let nodes = self.nodes.lock().unwrap();
        let of_zone: Vec<&Routed> = nodes.iter().filter(|node| node.zone == zone).collect();
        let ready: Vec<&Routed> = of_zone.iter().copied().filter(|node| node.misses < 2).collect();
        let used = if ready.len() * 2 < of_zone.len() { of_zone } else { ready };
        let weight = |node: &Routed| {
            let mut hash = 0xcbf2_9ce4_8422_2325_u64;
            let text = format!("{client}{route}{}", node.packets);
            for byte in text.bytes() {
                hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
            }
            hash ^ (hash >> 29)
        };
        used.into_iter().max_by_key(|node| weight(node)).map(|node| node.packets)
    }

    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
    }
}
