//! One process of a fleet.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Output;
use std::process::Stdio;
use std::sync::OnceLock;

use serde::Serialize;
use serde_json::Value;

/// A process that prints its addresses as one line of JSON. It is killed, by its id, when this is dropped.
pub struct Process {
    child: Child,
    addresses: Value,
}

impl Process {
    /// Starts `jayquay stand-in`, which ends by itself should a test be killed.
    pub fn stand_in(arguments: &[&str]) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_jayquay"));
        Self::start(command.arg("stand-in").args(arguments).args(["--for", "300"]))
    }

    /// Starts `jayquayd`.
    pub fn instance(settings: &Path) -> Self {
        let mut command = Command::new(daemon());
        Self::start(command.env("RUST_LOG", "warn").arg("--settings").arg(settings))
    }

    fn start(command: &mut Command) -> Self {
        let mut child = command.stdout(Stdio::piped()).spawn().expect("the binary runs");
        let stdout = child.stdout.take().expect("it is piped");
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line).expect("it prints a line");
        let addresses = serde_json::from_str(&line).expect("it prints its addresses as JSON");
        Self { child, addresses }
    }

    /// A text of what it printed.
    pub fn text(&self, pointer: &str) -> String {
        let value = self.addresses.pointer(pointer).and_then(Value::as_str);
        value
            .unwrap_or_else(|| panic!("{pointer} is not in {}", self.addresses))
            .to_owned()
    }

    /// Sends it a signal, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status().expect("kill runs");
        assert!(sent.success(), "the process has ended before it was told to");
    }

    /// Waits until it has ended.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process can be waited for")
    }

    /// Asks one of its addresses over HTTP. There is no answer unless it is a good one.
    pub fn get(&self, address: &str, path: &str) -> Option<Value> {
        let body = self.exchange(address, &format!("GET {path} HTTP/1.0\r\n\r\n"))?;
        serde_json::from_str(&body).ok()
    }

    /// Gives one of its addresses an order over HTTP.
    pub fn put(&self, address: &str, path: &str, order: &impl Serialize) {
        let body = serde_json::to_string(order).expect("an order has a JSON form");
        let len = body.len();
        let head = format!("PUT {path} HTTP/1.0\r\ncontent-type: application/json\r\ncontent-length: {len}\r\n\r\n");
        let answer = self.exchange(address, &(head + &body));
        assert!(answer.is_some(), "the order was refused");
    }

    /// One HTTP exchange. Plain enough that it needs no library.
    fn exchange(&self, address: &str, request: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.text(address)).ok()?;
        stream.write_all(request.as_bytes()).ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let (head, body) = answer.split_once("\r\n\r\n")?;
        let good = head.split_whitespace().nth(1)?.starts_with('2');
        good.then(|| body.to_owned())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs `jayquay` to its end.
pub fn jayquay(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jayquay"));
    command.args(arguments).output().expect("the binary runs")
}

/// The daemon's binary beside that of `jayquay`. Cargo builds it, as it knows whether it is fresh.
pub fn daemon() -> &'static Path {
    static DAEMON: OnceLock<PathBuf> = OnceLock::new();
    DAEMON.get_or_init(|| {
        let jayquay = Path::new(env!("CARGO_BIN_EXE_jayquay"));
        let folder = jayquay.parent().expect("a binary lies in a folder");
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--quiet", "--package", "jayquayd", "--bin", "jayquayd"]);
        if folder.ends_with("release") {
            build.arg("--release");
        }
        let status = build.status().expect("cargo runs");
        assert!(status.success(), "the daemon cannot be built");
        folder.join("jayquayd")
    })
}
