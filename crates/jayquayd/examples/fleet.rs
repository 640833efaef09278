//! Measures the cost of idle instances: `cargo run --release -p jayquayd --example fleet`.
//!
//! All instances of a run share this process and loopback, with a stand-in for the platform. Processor time and memory
//! are those of the process divided by the number of instances; memory excludes what the process uses before the
//! instances start. Control bytes are the frame bytes counted by the sessions.

use std::fs;
use std::time::Duration;
use std::time::Instant;

use config::Settings;
use jayquayd::Handle;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use mimalloc::MiMalloc;
use standin::platform;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const DOCUMENT: &str = include_str!("../../../examples/verblijfnet.yaml");
const FLEET_SIZES: [usize; 3] = [9, 32, 64];
/// Time for the instances to connect to each other before the measurement.
const SETTLE_TIME: Duration = Duration::from_mins(1);
/// Duration of the measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(20);
/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
const PAGE_KB: u64 = 4;

#[tokio::main]
async fn main() {
    let recorder = PrometheusBuilder::new()
        .install_recorder()
        .expect("there is no other recorder");
    println!("instances  cpu % each  memory KB each  control B/s each  platform calls/s in all");
    for count in FLEET_SIZES {
        measure(count, &recorder).await;
    }
}

/// The values read at the start and the end of a measurement.
struct Sample {
    at: Instant,
    cpu: f64,
    sent: f64,
    calls: f64,
}

impl Sample {
    fn now(recorder: &PrometheusHandle) -> Self {
        let text = recorder.render();
        Self {
            at: Instant::now(),
            cpu: cpu_seconds(),
            sent: counter(&text, "jayquay_frame_bytes_sent_total"),
            calls: counter(&text, "jayquay_platform_calls_total"),
        }
    }
}

async fn measure(count: usize, recorder: &PrometheusHandle) {
    let before = resident_kb();
    let options = platform::Options {
        document: Some(DOCUMENT.to_owned()),
        ..platform::Options::default()
    };
    let platform = platform::start(options).await.expect("loopback has a free port");
    let mut fleet = Vec::new();
    for index in 0..count {
        fleet.push(start(index, platform.address()).await);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let first = Sample::now(recorder);
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let last = Sample::now(recorder);
    let memory = resident_kb().saturating_sub(before) / count as u64;
    let elapsed = (last.at - first.at).as_secs_f64();
    let each = |total: f64| total / elapsed / count as f64;
    println!(
        "{count:>9}  {:>10.3}  {memory:>14}  {:>16.0}  {:>23.2}",
        100.0 * each(last.cpu - first.cpu),
        each(last.sent - first.sent),
        (last.calls - first.calls) / elapsed,
    );
}

async fn start(index: usize, platform: std::net::SocketAddr) -> Handle {
    let zone = ["brussel", "leuven", "namur"][index % 3];
    let text = format!(
        r#"
name: entry-{index}
zone: {zone}
listen: {{callers: "127.0.0.1:0", instances: "127.0.0.1:0", admin: "127.0.0.1:0"}}
platform: ["{platform}"]
secrets: {{current: "a secret of at least thirty-two characters"}}
"#
    );
    let settings: Settings = config::parse_settings(&text).expect("the settings are valid");
    jayquayd::start(&settings, None).await.expect("loopback has free ports")
}

/// Processor time used by this process so far, in seconds.
fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").expect("Linux provides this file");
    // The process name in parentheses may contain spaces; the fields after it do not.
    let (_, fields) = stat.rsplit_once(')').expect("the name is in parentheses");
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields[index].parse::<f64>().expect("a number");
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

fn resident_kb() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").expect("Linux provides this file");
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.expect("a number") * PAGE_KB
}

/// The sum of a counter over all labels.
fn counter(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok())
        .sum()
}
