//! A test system of real processes on a loopback subnet: instances, the store, upstreams and clients.

use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapter_standin::Client;
use adapter_standin::Reply;
use adapter_standin::Store;
use adapter_standin::Upstream;
use flow::UpstreamId;

/// Interval and maximum number of polls. The limit is high, so that a test fails only if the condition never holds.
pub(crate) const PAUSE: Duration = Duration::from_millis(50);
pub(crate) const TRIES: u32 = 400;

/// Maximum number of instances of a test.
const MAX_INSTANCES: u8 = 16;

/// The route that clients connect to.
pub(crate) const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

/// Gives each test its own loopback subnet, so that all its processes can use the same ports.
static NEXT_SUBNET: AtomicU8 = AtomicU8::new(1);

/// A test system on a loopback subnet.
pub(crate) struct Cluster {
    subnet: u8,
    /// The port for packets, on every host.
    pub(crate) packets: u16,
    ready: u16,
    peers: u16,
    pub(crate) store: Store,
}

/// An instance process. Dropping it kills the process.
pub(crate) struct Instance {
    pub(crate) child: Child,
    ip: Ipv4Addr,
    ports: (u16, u16),
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

impl Instance {
    pub(crate) fn packets(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.ports.0))
    }

    pub(crate) fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", signal, &pid]).status().unwrap();
        assert!(sent.success());
    }

    pub(crate) fn is_ready(&self) -> bool {
        let url = SocketAddr::from((self.ip, self.ports.1));
        let Ok(mut stream) = std::net::TcpStream::connect_timeout(&url, PAUSE) else {
            return false;
        };
        let mut answer = [0; 12];
        let request = format!("GET {} HTTP/1.1\r\nHost: a\r\n\r\n", adapter::ready::PATH);
        let asked = std::io::Write::write_all(&mut stream, request.as_bytes());
        asked.is_ok() && std::io::Read::read_exact(&mut stream, &mut answer).is_ok() && answer.ends_with(b"200")
    }
}

/// A free port on this subnet.
fn free_port(subnet: u8) -> u16 {
    let socket = UdpSocket::bind((Ipv4Addr::new(127, subnet, 0, 1), 0)).unwrap();
    socket.local_addr().unwrap().port()
}

impl Drop for Cluster {
    /// Removes the files of the instances, unless they explain a failure.
    fn drop(&mut self) {
        if std::thread::panicking() {
            return;
        }
        for number in 1..=MAX_INSTANCES {
            let _absent = fs::remove_file(self.path(number));
            let _absent = fs::remove_file(self.log_path(number));
        }
    }
}

impl Cluster {
    pub(crate) async fn new() -> Self {
        let subnet = 64 + NEXT_SUBNET.fetch_add(1, Ordering::Relaxed);
        Self {
            subnet,
            packets: free_port(subnet),
            ready: free_port(subnet),
            peers: free_port(subnet),
            store: Store::start().await.unwrap(),
        }
    }

    /// Address at which an instance takes messages of other instances.
    pub(crate) fn peers(&self, number: u8) -> SocketAddr {
        SocketAddr::from((self.ip(1, number), self.peers))
    }

    pub(crate) fn ip(&self, group: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.subnet, group, number)
    }

    /// Settings of an instance in the first zone, with the first instance as its seed.
    pub(crate) fn settings(&self, number: u8, store: &Store) -> String {
        self.settings_in("zone-a", number, store)
    }

    fn settings_in(&self, zone: &str, number: u8, store: &Store) -> String {
        let ip = self.ip(1, number);
        format!(
            "name: entry-{number}\nzone: {zone}\nlisten: {{packets: \"{ip}:{}\", ready: \"{ip}:{}\", peers: \"{ip}:{}\"}}\n\
             store: \"{}\"\nseeds: [\"{}:1\"]\ngrace_s: 6\nmax_flow_s: 60\nunknown: true\n",
            self.packets,
            self.ready,
            self.peers,
            store.address(),
            self.ip(1, 1),
        )
    }

    /// The settings file of an instance. Its name holds the id of the test process: two of them may run at a time, and
    /// instances read their settings again when the file changes.
    pub(crate) fn path(&self, number: u8) -> PathBuf {
        let name = format!("flows-{}-{}-{number}.yaml", std::process::id(), self.subnet);
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name)
    }

    fn log_path(&self, number: u8) -> PathBuf {
        self.path(number).with_extension("log")
    }

    /// The log of an instance since its start.
    pub(crate) fn log(&self, number: u8) -> String {
        fs::read_to_string(self.log_path(number)).unwrap()
    }

    /// Fetches a path from an instance's HTTP endpoint for other instances.
    pub(crate) async fn page(&self, number: u8, path: &str) -> Vec<u8> {
        let url = format!("http://{}:{}{path}", self.ip(1, number), self.peers);
        let answer = reqwest::get(url).await.unwrap();
        assert!(answer.status().is_success());
        answer.bytes().await.unwrap().to_vec()
    }

    /// The metrics of an instance, as text.
    pub(crate) async fn metrics(&self, number: u8) -> String {
        String::from_utf8(self.page(number, "/metrics").await).unwrap()
    }

    pub(crate) fn start(&self, number: u8) -> Instance {
        self.start_in("zone-a", number)
    }

    pub(crate) fn start_in(&self, zone: &str, number: u8) -> Instance {
        let ip = self.ip(1, number);
        let path = self.path(number);
        fs::write(&path, self.settings_in(zone, number, &self.store)).unwrap();
        let log = File::create(self.log_path(number)).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_jayquayd"))
            .args(["--flows", "--settings"])
            .arg(&path)
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn()
            .unwrap();
        let ports = (self.packets, self.ready);
        Instance { child, ip, ports }
    }

    pub(crate) async fn start_ready(&self, number: u8) -> Instance {
        let mut instance = self.start(number);
        for _ in 0..TRIES {
            if instance.is_ready() {
                return instance;
            }
            tokio::time::sleep(PAUSE).await;
        }
        let exited = instance.child.try_wait().unwrap();
        panic!(
            "never: instance {number} is ready, exited {exited:?}\n{}",
            self.log(number)
        );
    }

    pub(crate) async fn client(&self, number: u8) -> Client {
        let own = SocketAddrV4::new(self.ip(2, number), 40_000);
        Client::new(own, self.packets).await.unwrap()
    }

    /// Starts an upstream in the first zone and adds it to the store.
    pub(crate) async fn upstream(&self, id: u64, name: &str, service: &str) -> Upstream {
        let address = SocketAddrV4::new(self.ip(3, 1), 0);
        self.upstream_at(id, name, service, address).await
    }

    pub(crate) async fn upstream_at(&self, id: u64, name: &str, service: &str, address: SocketAddrV4) -> Upstream {
        self.start_upstream(id, name, service, address, "zone-a").await
    }

    /// Starts an upstream in another availability zone and adds it to the store.
    pub(crate) async fn upstream_in(&self, zone: &str, id: u64, name: &str, service: &str) -> Upstream {
        let address = SocketAddrV4::new(self.ip(3, 1), 0);
        self.start_upstream(id, name, service, address, zone).await
    }

    async fn start_upstream(&self, id: u64, name: &str, service: &str, address: SocketAddrV4, zone: &str) -> Upstream {
        let id = UpstreamId(id);
        let upstream = Upstream::start(id, name, address, self.packets).await.unwrap();
        self.store.put_upstream(id, service, upstream.address(), zone, "ready");
        upstream
    }
}

pub(crate) async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..TRIES {
        if holds() {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("never: {what}");
}

/// Opens flows until one has the expected outcome, since a change in the store takes a moment to reach the instances.
pub(crate) async fn wait_until_open(client: &mut Client, route: SocketAddrV4, through: SocketAddr, expected: &Reply) {
    for _ in 0..TRIES {
        if client.open(route, through).await.unwrap() == *expected {
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
    panic!("never: {expected:?}");
}

pub(crate) fn answer(text: &str) -> Reply {
    Reply::Response(text.as_bytes().to_vec())
}
