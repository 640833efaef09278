//! The binary as a process: its output, its exit codes, and its messages about invalid settings.

use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use jayquayd::Addresses;

const VALID: &str = r#"
name: one
zone: zone-a
listen: {callers: "127.0.0.1:0", instances: "127.0.0.1:0", admin: "127.0.0.1:0"}
platform: ["127.0.0.1:9"]
secrets: {current: "0123456789abcdef0123456789abcdef"}
stop-within-ms: 1000
"#;

fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn command(settings: &PathBuf) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jayquayd"));
    command.arg("--settings").arg(settings);
    command
}

/// Kills the process on drop, also when a test fails.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ended = self.0.kill();
        let _reaped = self.0.wait();
    }
}

/// Starts a process, sends it a signal once it has printed its addresses, and returns its exit code.
fn exit_code_after(signal: &str) -> Option<i32> {
    let settings = settings_file(&format!("{signal}.yaml"), VALID);
    let child = command(&settings).stdout(Stdio::piped()).spawn().unwrap();
    let mut running = KillOnDrop(child);
    let mut line = String::new();
    let stdout = running.0.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    let addresses: Addresses = serde_json::from_str(&line).unwrap();
    assert_ne!(addresses.callers.port(), 0);
    let pid = running.0.id().to_string();
    let sent = Command::new("kill").args(["-s", signal, &pid]).status().unwrap();
    assert!(sent.success());
    running.0.wait().unwrap().code()
}

#[test]
fn a_signal_starts_a_planned_stop() {
    assert_eq!(exit_code_after("TERM"), Some(0));
    assert_eq!(exit_code_after("INT"), Some(0));
}

#[test]
fn invalid_settings_are_a_usage_error_and_no_secret_is_printed() {
    let text = VALID
        .replace("zone: zone-a", "zone: 7\nport: 3")
        .replace("f\"", "f\", extra: 1");
    let settings = settings_file("wrong.yaml", &text);
    let output = command(&settings).output().unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    for part in ["wrong.yaml: 3:", "`port`", "`extra`"] {
        assert!(errors.contains(part), "{errors}");
    }
    assert!(!errors.contains("0123456789abcdef"), "{errors}");
}

#[test]
fn an_address_in_use_is_a_failure() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let text = VALID.replacen("admin: \"127.0.0.1:0\"", &format!("admin: \"{address}\""), 1);
    let settings = settings_file("taken.yaml", &text);
    let output = command(&settings).output().unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{errors}");
    assert!(errors.contains(&address), "{errors}");
}

#[test]
fn the_example_settings_pass_the_check() {
    let example = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings.yaml");
    let output = command(&example).arg("--check").output().unwrap();
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn an_invalid_command_line_is_a_usage_error() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jayquayd"));
    let output = command.arg("--no-such-option").output().unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(2), "{errors}");
    assert!(errors.contains("--no-such-option"), "{errors}");
}

#[test]
fn help_to_a_closed_pipe_is_not_a_failure() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let mut command = Command::new(env!("CARGO_BIN_EXE_jayquayd"));
    let output = command.arg("--help").stdout(writer).output().unwrap();
    let errors = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(0), "{errors}");
}

/// The log lines of a process that cannot reach its platform, up to one that contains `text` or the third warning about
/// the platform.
fn read_log_until(running: &mut KillOnDrop, text: &str) -> Vec<String> {
    let stderr = BufReader::new(running.0.stderr.take().unwrap());
    let mut lines = Vec::new();
    let mut platform_warnings = 0;
    for line in stderr.lines() {
        let line = line.unwrap();
        platform_warnings += usize::from(line.contains("entry not renewed"));
        let is_found = line.contains(text);
        lines.push(line);
        if is_found || platform_warnings == 3 {
            break;
        }
    }
    lines
}

#[test]
fn an_instance_with_another_secret_logs_a_hint() {
    let first = settings_file("first.yaml", VALID);
    let child = command(&first).stdout(Stdio::piped()).spawn().unwrap();
    let mut first = KillOnDrop(child);
    let mut line = String::new();
    let stdout = first.0.stdout.take().unwrap();
    BufReader::new(stdout).read_line(&mut line).unwrap();
    let addresses: Addresses = serde_json::from_str(&line).unwrap();
    let peers = format!(
        "peers: [{{name: one, zone: zone-a, address: \"{}\"}}]",
        addresses.instances
    );
    let other = VALID.replace("name: one", "name: two").replace("0123", "3210");
    let second = settings_file("second.yaml", &format!("{other}{peers}\n"));
    let child = command(&second).stderr(Stdio::piped()).spawn().unwrap();
    let expected = format!("sessions: one at {} ended the handshake", addresses.instances);
    let lines = read_log_until(&mut KillOnDrop(child), &expected);
    assert!(lines.iter().any(|line| line.contains(&expected)), "{lines:#?}");
}

#[test]
fn unusable_packets_are_counted_by_cause_and_logged() {
    let settings = settings_file("unusable.yaml", VALID);
    let mut child = command(&settings);
    let child = child.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
    let mut running = KillOnDrop(child);
    let mut line = String::new();
    BufReader::new(running.0.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    let addresses: Addresses = serde_json::from_str(&line).unwrap();
    let forged = wire::Packet::Request(wire::Request {
        token: wire::SealedToken(vec![7; 60].into()),
        service: "availability".parse().unwrap(),
        seq: units::RequestSeq(1),
        sent: units::RequestSeq(1),
        kind: "hold".parse().unwrap(),
        timeout: units::Millis(1_000),
        body: Vec::new().into(),
    });
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    for bytes in [b"no packet".to_vec(), wire::encode_packet(&forged)] {
        socket.send_to(&bytes, addresses.callers).unwrap();
    }
    // Reads the log up to the expected line, and not to its end, because the process keeps running.
    let log = BufReader::new(running.0.stderr.take().unwrap()).lines();
    let expected = "unusable packets so far: 1 malformed, 1 with a bad token, 0 of another service";
    assert!(log.map_while(Result::ok).any(|line| line.contains(expected)));
}
