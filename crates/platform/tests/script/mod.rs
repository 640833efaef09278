//! Interpreter for short test scripts with several operators and a platform that is subject to faults.
//!
//! `platform JSON` sets the behaviour of the platform, `platform counts` shows its counters, and `platform sees N` and
//! `platform reaches N` wait until it has received `N` writes or holds revision `N`. Any other line starts with the name
//! of an operator, each of which has its own client. The operator `hasty` has a short timeout and is only used where no
//! response can arrive. `begin` starts a write and `end` waits for its result.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use platform::Client;
use platform::Document;
use platform::DocumentWrite;
use platform::Error;
use platform::Options;
use platform::WriteOutcome;
use platform::api::Key;
use standin::platform::Handle;
use tokio::task::JoinHandle;
use units::Nonce;
use units::Revision;

/// Timeout of the operator `hasty`.
const HASTY_TIMEOUT: Duration = Duration::from_millis(50);

/// Wait time of a watch that is expected to end without a newer revision.
const SHORT_WATCH: Duration = Duration::from_millis(20);

/// Far longer than any expected response takes.
const LONG_TIMEOUT: Duration = Duration::from_mins(1);

/// Runs a script and returns each line with its result.
pub async fn run(script: &str) -> String {
    let mut runner = ScriptRunner {
        platform: standin::platform::start(standin::platform::Options::default())
            .await
            .expect("loopback has free ports"),
        operators: BTreeMap::new(),
    };
    let mut out = String::new();
    for line in script.lines().map(str::trim).filter(|line| !line.is_empty()) {
        let result = runner.step(line).await;
        writeln!(out, "{line} -> {result}").expect("writing to a String cannot fail");
    }
    out
}

struct ScriptRunner {
    platform: Handle,
    operators: BTreeMap<String, Operator>,
}

struct Operator {
    client: Client,
    write: Option<DocumentWrite>,
    pending: Option<JoinHandle<String>>,
}

impl ScriptRunner {
    async fn step(&mut self, line: &str) -> String {
        let (who, what) = line.split_once(' ').expect("line without an operator");
        if who == "platform" {
            return self.run_platform_command(what).await;
        }
        let address = self.platform.address();
        let operator = self
            .operators
            .entry(who.to_owned())
            .or_insert_with(|| Operator::new(who, address));
        let words: Vec<&str> = what.split(' ').collect();
        match words.as_slice() {
            ["write", base, nonce, text] => {
                operator.prepare_write(who, base, nonce, text);
                send(&operator.client, operator.last_write()).await
            }
            ["begin", base, nonce, text] => {
                operator.prepare_write(who, base, nonce, text);
                let client = operator.client.clone();
                let write = operator.last_write().clone();
                operator.pending = Some(tokio::spawn(async move { send(&client, &write).await }));
                "begun".to_owned()
            }
            ["end"] => operator
                .pending
                .take()
                .expect("no write was begun")
                .await
                .expect("write task panicked"),
            ["again"] => send(&operator.client, operator.last_write()).await,
            ["settle"] => operator.resolve_write().await,
            ["read"] => format_read(operator.client.document().await),
            ["watch", newer_than] => format_read(operator.watch(newer_than, LONG_TIMEOUT).await),
            ["glance", newer_than] => format_read(operator.watch(newer_than, SHORT_WATCH).await),
            ["history"] => match operator.client.history(10).await {
                Ok(documents) => documents.iter().map(format_document).collect::<Vec<_>>().join(", "),
                Err(error) => format_error(&error),
            },
            _ => panic!("unknown command: {line}"),
        }
    }

    async fn run_platform_command(&self, what: &str) -> String {
        if what == "counts" {
            let counts = self.platform.counts();
            return format!(
                "{} writes, {} taken, {} lost",
                counts.writes, counts.taken, counts.lost_answers
            );
        }
        if let Some(writes) = what.strip_prefix("sees ") {
            let writes: u64 = writes.parse().expect("invalid number");
            while self.platform.counts().writes < writes {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            return "yes".to_owned();
        }
        if let Some(revision) = what.strip_prefix("reaches ") {
            let revision: Revision = revision.parse().expect("invalid revision");
            while self
                .platform
                .object(&Key::document())
                .is_none_or(|object| object.version < revision)
            {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            return "yes".to_owned();
        }
        self.platform
            .behave(serde_json::from_str(what).expect("invalid behaviour"))
            .await;
        "done".to_owned()
    }
}

impl Operator {
    fn new(who: &str, address: SocketAddr) -> Self {
        // Nothing listens on port 1, so the client has to fail over to the second address.
        let dead = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let mut options = Options::new(vec![dead, address]);
        options.timeout = if who == "hasty" { HASTY_TIMEOUT } else { LONG_TIMEOUT };
        Self {
            client: Client::new(options),
            write: None,
            pending: None,
        }
    }

    fn last_write(&self) -> &DocumentWrite {
        self.write.as_ref().expect("no write before this command")
    }

    fn prepare_write(&mut self, who: &str, base: &str, nonce: &str, text: &str) {
        self.write = Some(DocumentWrite {
            base: base.parse().expect("invalid revision"),
            text: text.to_owned(),
            writer: who.to_owned(),
            nonce: nonce.parse().expect("invalid nonce"),
        });
    }

    async fn resolve_write(&self) -> String {
        match self.client.resolve_write(self.last_write()).await {
            Ok(WriteOutcome::Applied(revision)) => format!("took effect as {revision}"),
            Ok(WriteOutcome::Conflict(winner)) => format!("lost to {}", format_document(&winner)),
            Ok(WriteOutcome::Undecided) => "open".to_owned(),
            Err(error) => format_error(&error),
        }
    }

    async fn watch(&self, newer_than: &str, wait: Duration) -> Result<Option<Document>, Error> {
        let newer_than = newer_than.parse().expect("invalid revision");
        self.client.watch(newer_than, wait).await
    }
}

async fn send(client: &Client, write: &DocumentWrite) -> String {
    match client.write(write).await {
        Ok(revision) => format!("made {revision}"),
        Err(error) => format_error(&error),
    }
}

fn format_read(result: Result<Option<Document>, Error>) -> String {
    match result {
        Ok(Some(document)) if document.stale => format!("{}, stale", format_document(&document)),
        Ok(Some(document)) => format_document(&document),
        Ok(None) => "nothing".to_owned(),
        Err(error) => format_error(&error),
    }
}

fn format_document(document: &Document) -> String {
    let Nonce(nonce) = document.nonce;
    format!(
        "{} {:?} by {} ({nonce})",
        document.revision, document.text, document.writer
    )
}

/// Formats an error, without details that differ between machines.
fn format_error(error: &Error) -> String {
    match error {
        Error::Unavailable(_) => "unavailable".to_owned(),
        Error::InDoubt(_) => "in doubt".to_owned(),
        other => other.to_string(),
    }
}
