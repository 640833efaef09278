//! `jayquay stand-in` as processes.

mod support;

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use insta::assert_snapshot;
use node::Listed;
use platform::Client;
use platform::Options;
use serde_json::Value;
use support::shown;
use units::Incarnation;

/// A running stand-in and what it printed.
struct Process {
    child: Child,
    line: Value,
}

impl Process {
    fn start(arguments: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_jayquay"))
            .arg("stand-in")
            .args(arguments)
            // A test that fails leaves nothing running for long.
            .args(["--for", "120"])
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary runs");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("it is piped");
        BufReader::new(stdout).read_line(&mut line).expect("it prints");
        Self {
            child,
            line: serde_json::from_str(&line).expect("it prints JSON"),
        }
    }

    fn address(&self, field: &str) -> SocketAddr {
        let text = self.line[field].as_str().expect("an address");
        text.parse().expect("an address")
    }

    /// Sends a signal and returns the exit code.
    fn end(mut self, signal: &str) -> Option<i32> {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status().expect("kill runs");
        assert!(sent.success(), "the stand-in has ended before it was told to");
        self.child.wait().expect("it ends").code()
    }
}

fn http() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("nothing is needed")
}

#[tokio::test]
async fn a_platform_and_an_upstream_find_each_other() {
    let platform = Process::start(&["platform", "--document", "tests/changed.yaml"]);
    let address = platform.address("address");
    let client = Client::new(Options::new(vec![address]));
    let document = client.document().await.expect("it serves").expect("it was given one");
    assert_eq!(document.text, include_str!("changed.yaml"));

    let address = address.to_string();
    let upstream = Process::start(&["upstream", "--name", "u", "--service", "holds", "--platform", &address]);
    assert_eq!(upstream.line["name"], "u");
    let name = "u".parse().expect("a name");
    let leaving = Listed::Upstream {
        name,
        incarnation: Incarnation(1),
        leaving: true,
    };
    let order = http().put(format!("http://{}/behaviour", upstream.address("control")));
    let order = order
        .header("content-type", "application/json")
        .body(r#"{"draining": true}"#);
    assert_eq!(order.send().await.expect("reachable").status(), 200);
    while client.list().await.expect("it serves") != [leaving.clone()] {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(upstream.end("-TERM"), Some(0));
    assert_eq!(platform.end("-INT"), Some(0));
}

#[test]
fn a_fabric_passes_packets_on() {
    let instance = UdpSocket::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = instance.local_addr().expect("bound").to_string();
    let fabric = Process::start(&["fabric", "--listen", "127.0.0.1:0", "--instance", &address]);
    let service = fabric.line["services"][0].as_str().expect("an address");
    instance.send_to(b"packet", service).expect("sent");
    let mut buffer = [0; 10];
    let (len, _from) = instance.recv_from(&mut buffer).expect("loopback works");
    assert_eq!(&buffer[..len], b"packet");
    assert_eq!(fabric.end("-TERM"), Some(0));
}

#[test]
fn a_stand_in_ends_by_itself() {
    let output = shown(&["stand-in", "platform", "--for", "0"]);
    assert!(output.ends_with("}\nexit 0"), "{output}");
}

#[test]
fn what_cannot_be_run_is_told() {
    assert_snapshot!(shown(&["stand-in", "platform", "--document", "none"]), @r"
    jayquay: none cannot be read: No such file or directory (os error 2)
    exit 1
    ");
    assert_snapshot!(shown(&["stand-in", "fabric"]), @r"
    jayquay: at least one --listen is needed
    exit 2
    ");
    assert_snapshot!(shown(&["stand-in", "fabric", "--listen", "127.0.0.1:0", "--behaviour", r#"{"lots": 1}"#]), @r#"
    jayquay: couldn't parse `{"lots": 1}`: unknown field `lots`, expected one of `lost`, `doubled`, `delayed`,
    `delay`, `reordered` at line 1 column 7
    exit 2
    "#);
    assert_snapshot!(shown(&["stand-in", "upstream", "--name", "u", "--service", "s", "--service-time", "x"]), @r"
    jayquay: couldn't parse `x`: a service time is MILLISECONDS, or MEAN:SIGMA for a lognormal one
    exit 2
    ");
    assert_snapshot!(shown(&["stand-in", "upstream", "--name", "U", "--service", "s"]), @r"
    jayquay: couldn't parse `U`: a name starts with a lower-case letter
    exit 2
    ");
}
