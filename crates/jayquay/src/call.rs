//! `jayquay call`: one request, end to end.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use caller::CallRequest;
use caller::Client;
use caller::Failure;
use caller::OpenError;
use caller::Policy;
use serde::Serialize;
use units::KindName;
use units::Millis;
use units::ServiceName;
use wire::Digest;

use crate::exit::Report;
use crate::output;

/// The examples in the help text.
pub const EXAMPLES: &str = "Examples:
  jayquay call --fabric 10.20.0.1:4000 --service availability --kind feed
  jayquay call --fabric 127.0.0.1:4000 --address 10.20.0.1:4000 --service availability --kind hold --body 'room 12'";

/// How long to wait unless told otherwise.
const TIMEOUT: Millis = Millis(5_000);

/// Arguments of `jayquay call`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    /// Where packets are sent.
    #[bpaf(argument("ADDRESS"))]
    fabric: SocketAddr,
    /// The service address that callers dial, if packets are sent elsewhere.
    #[bpaf(argument("ADDRESS"))]
    address: Option<SocketAddr>,
    /// The service.
    #[bpaf(argument("NAME"))]
    service: ServiceName,
    /// The kind of request.
    #[bpaf(argument("KIND"))]
    kind: KindName,
    /// What the upstream gets.
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    body: String,
    /// How long to wait for the answer, retries included, in milliseconds.
    #[bpaf(long("timeout-ms"), argument("N"), fallback(TIMEOUT))]
    timeout: Millis,
    /// Running it twice does no harm, so it may be sent anew though it may have run.
    idempotent: bool,
    /// Print JSON for scripts.
    json: bool,
}

/// There is no socket to send from.
#[derive(Debug)]
pub struct Error(io::Error);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no socket to send from: {}", self.0)
    }
}

#[derive(Debug, Serialize)]
struct Answered {
    flow: String,
    took_ms: u64,
    len: usize,
    digest: String,
    /// The answer, if it is text.
    text: Option<String>,
    /// The answer in hexadecimal, if it is not.
    hex: Option<String>,
}

#[derive(Debug, Serialize)]
struct Refused {
    verdict: String,
    reason: &'static str,
    retry_after_ms: u32,
}

/// Makes one request.
pub async fn run(args: Args) -> Result<Report, Error> {
    let address = args.address.unwrap_or(args.fabric);
    let timeout = args.timeout.duration();
    let policy = Policy {
        open_timeout: timeout,
        ..Policy::default()
    };
    let start = Instant::now();
    let opened = Client::open_with(args.service.clone(), address, args.fabric, policy, rand::random()).await;
    let client = match opened {
        Ok(client) => client,
        Err(OpenError::Refused(failure)) => return Ok(refused(&args, failure)),
        Err(OpenError::Io(error)) => return Err(Error(error)),
    };
    let work = CallRequest {
        kind: args.kind.clone(),
        body: args.body.clone().into_bytes(),
        timeout: timeout.saturating_sub(start.elapsed()),
        idempotent: args.idempotent,
    };
    Ok(match client.submit(work).await {
        Ok(answer) => answered(&args, &client, answer, start.elapsed()),
        Err(failure) => refused(&args, failure),
    })
}

fn answered(args: &Args, client: &Client, answer: Vec<u8>, took: Duration) -> Report {
    let len = answer.len();
    let digest = Digest::of(&answer).to_string();
    let (text, hex) = match String::from_utf8(answer) {
        Ok(text) => (Some(text), None),
        Err(error) => (None, Some(hex(error.as_bytes()))),
    };
    if !args.json {
        let mut shown = text.or(hex).unwrap_or_default();
        shown.push('\n');
        return Report::done(shown);
    }
    Report::done(output::json(&Answered {
        flow: client.flow().to_string(),
        took_ms: took.as_millis() as u64,
        len,
        digest,
        text,
        hex,
    }))
}

fn refused(args: &Args, failure: Failure) -> Report {
    if !args.json {
        return Report::refused(format!("{failure}\n"));
    }
    Report::refused(output::json(&Refused {
        verdict: failure.verdict.to_string(),
        reason: failure.reason.as_str(),
        retry_after_ms: failure.retry_after.0,
    }))
}

/// Bytes that are no text, in hexadecimal.
fn hex(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold(String::new(), |text, byte| format!("{text}{byte:02x}"))
}
