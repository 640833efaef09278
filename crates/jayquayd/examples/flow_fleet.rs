//! Measures the costs of instances in flow mode in a fleet: `cargo run --release -p jayquayd --example flow_fleet --
//! target/release/jayquayd`.
//!
//! Each instance is a separate process on loopback, in one of four availability zones, with a stand-in for the store.
//! Bytes and calls are taken from the instances' metrics, CPU time and memory from the operating system. Each fleet is
//! measured first at rest, then with one upstream changing per second.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use adapter_standin::Store;
use flow::UpstreamId;
use reqwest::Client;

/// Number of instances in each fleet.
const FLEET_SIZES: [usize; 4] = [8, 32, 128, 300];
const ZONES: usize = 4;
const UPSTREAMS: u64 = 150;
/// Time for a fleet to discover all members and distribute the membership: at 128 instances, gossip traffic was still
/// decreasing after 15 s.
const WARM_UP: Duration = Duration::from_secs(45);
/// Duration of each measurement, at rest and with changes.
const SPAN: Duration = Duration::from_secs(12);
const CHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Clock ticks per second of the CPU times in `/proc/ID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_SIZE_KB: u64 = 4;

/// An instance process. Dropping it kills the process.
struct Instance {
    child: Child,
    peers: SocketAddr,
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// Measurements of one instance.
#[derive(Debug, Default, Clone, Copy)]
struct Measurement {
    cpu: f64,
    sent: f64,
    calls: f64,
    memory_kb: u64,
}

#[tokio::main]
async fn main() {
    let binary = std::env::args()
        .nth(1)
        .map(PathBuf::from)
        .expect("the first argument is the path of the daemon's binary");
    println!("instances  state    cpu % (median, most)  sent B/s (median, most)  store calls/s in all  memory KB");
    for count in FLEET_SIZES {
        run_fleet(count, &binary).await;
    }
}

async fn run_fleet(count: usize, binary: &Path) {
    let store = Store::start().await.expect("loopback has a free port");
    for id in 1..=UPSTREAMS {
        put(&store, id);
    }
    let route = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
    store.put_document(1, &[(route, "search")]);
    let folder = std::env::temp_dir().join(format!("flow-fleet-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the folder for temporary files is writable");
    let first = SocketAddr::from((ip(0), 0));
    let socket = UdpSocket::bind(first).expect("loopback has a free port");
    let port = socket.local_addr().expect("the socket is bound").port();
    drop(socket);
    let instances: Vec<Instance> = (0..count)
        .map(|number| start(number, port, &store, binary, &folder))
        .collect();
    tokio::time::sleep(WARM_UP).await;
    report(count, "at rest", &instances, async { tokio::time::sleep(SPAN).await }).await;
    let changes = async {
        for id in 1..=SPAN.as_secs() {
            put(&store, id);
            tokio::time::sleep(CHANGE_INTERVAL).await;
        }
    };
    report(count, "changes", &instances, changes).await;
    drop(instances);
    fs::remove_dir_all(&folder).expect("the folder belongs to this process");
}

fn put(store: &Store, id: u64) {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9);
    let zone = format!("zone-{}", id % ZONES as u64);
    store.put_upstream(UpstreamId(id), "search", address, &zone, "ready");
}

/// The address of an instance. Each instance has its own.
fn ip(number: usize) -> Ipv4Addr {
    let high = u8::try_from(number / 200).expect("a few hundred");
    let low = u8::try_from(number % 200).expect("below 200");
    Ipv4Addr::new(127, 99, high, low + 1)
}

fn start(number: usize, port: u16, store: &Store, binary: &Path, folder: &Path) -> Instance {
    let ip = ip(number);
    let settings = folder.join(format!("entry-{number}.yaml"));
    let text = format!(
        "name: entry-{number}\nzone: zone-{}\nstore: \"{}\"\nseeds: [\"{}:1\"]\ngrace_s: 6\nmax_flow_s: 60\n\
         listen: {{packets: \"{ip}:0\", ready: \"{ip}:0\", peers: \"{ip}:{port}\"}}\n",
        number % ZONES,
        store.address(),
        self::ip(0),
    );
    fs::write(&settings, text).expect("the folder is writable");
    let child = Command::new(binary)
        .args(["--flows", "--settings"])
        .arg(&settings)
        .stdout(Stdio::null())
        .spawn()
        .expect("the daemon runs");
    let peers = SocketAddr::from((ip, port));
    Instance { child, peers }
}

/// Measures all instances while `span` runs, and prints the cost per instance.
async fn report(count: usize, state: &str, instances: &[Instance], span: impl Future<Output = ()>) {
    let before = measure_all(instances).await;
    span.await;
    let after = measure_all(instances).await;
    let seconds = SPAN.as_secs_f64();
    let each = |of: fn(&Measurement) -> f64| {
        let rates = before.iter().zip(&after).map(|(a, b)| (of(b) - of(a)) / seconds);
        let mut rates: Vec<f64> = rates.collect();
        rates.sort_unstable_by(f64::total_cmp);
        rates
    };
    let (cpu, sent, calls) = (each(|r| r.cpu), each(|r| r.sent), each(|r| r.calls));
    let mut memory: Vec<u64> = after.iter().map(|measurement| measurement.memory_kb).collect();
    memory.sort_unstable();
    println!(
        "{count:>9}  {state}  {:>8.3} {:>8.3}  {:>12.0} {:>8.0}  {:>20.2}  {:>9}",
        cpu[count / 2] * 100.0,
        cpu[count - 1] * 100.0,
        sent[count / 2],
        sent[count - 1],
        calls.iter().sum::<f64>(),
        memory[count / 2]
    );
}

async fn measure_all(instances: &[Instance]) -> Vec<Measurement> {
    let client = Client::builder()
        .no_proxy()
        .build()
        .expect("the client has valid options");
    let mut measurements = Vec::new();
    for instance in instances {
        let url = format!("http://{}/metrics", instance.peers);
        let answer = client.get(url).send().await.expect("the instance answers");
        let text = answer.text().await.expect("the answer is text");
        let id = instance.child.id();
        measurements.push(Measurement {
            cpu: cpu_seconds(id),
            sent: sum(&text, "jayquay_frame_bytes_sent_total"),
            calls: sum(&text, "jayquay_store_calls_total"),
            memory_kb: resident_kb(id),
        });
    }
    measurements
}

/// Sums a counter over all its labels.
fn sum(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

fn cpu_seconds(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).expect("the process is running");
    // The process name in parentheses may contain spaces; the fields after it do not.
    let fields = stat.rsplit(") ").next().unwrap_or_default().split(' ');
    let ticks = fields.skip(11).take(2).filter_map(|field| field.parse::<f64>().ok());
    ticks.sum::<f64>() / TICKS_PER_SECOND
}

fn resident_kb(id: u32) -> u64 {
    let statm = fs::read_to_string(format!("/proc/{id}/statm")).expect("the process is running");
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_SIZE_KB
}
