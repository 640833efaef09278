//! A caller of upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Response;
use standin::upstream;
use standin::upstream::HEADER_CALL;
use standin::upstream::HEADER_KIND;
use standin::upstream::HEADER_NOT_RUN;
use standin::upstream::HEADER_REQUEST;
use standin::upstream::HEADER_SERVICE;
use standin::upstream::HEADER_TIMEOUT;
use standin::upstream::Handle;
use standin::upstream::Options;
use standin::upstream::expected_answer;
use units::Bytes;
use units::Millis;

/// Longer than any test takes.
pub const LONG: Millis = Millis(600_000);

/// An upstream of the service `holds`.
pub fn options() -> Options {
    let name = "u".parse().expect("a name");
    Options::new(name, "holds".parse().expect("a name"))
}

/// Starts an upstream.
pub async fn start(options: Options) -> Handle {
    upstream::start(options).await.expect("loopback has free ports")
}

/// A client that uses no proxy.
pub fn http() -> reqwest::Client {
    reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("nothing is needed")
}

/// Sends request `seq` for a service and tells what came back.
pub async fn call(address: SocketAddr, service: &str, seq: u32, timeout: Millis) -> String {
    let request = http().post(format!("http://{address}/run"));
    let request = request.header(HEADER_REQUEST, format!("7-1-{seq}"));
    let request = request.header(HEADER_CALL, format!("a-7-{seq}"));
    let request = request.header(HEADER_SERVICE, service).header(HEADER_KIND, "hold");
    let request = request.header(HEADER_TIMEOUT, timeout.0);
    match request.body(format!("room {seq}")).send().await {
        Ok(response) => show(response, seq).await,
        Err(error) if error.is_connect() => "unreachable".to_owned(),
        Err(_) => "broken".to_owned(),
    }
}

async fn show(response: Response, seq: u32) -> String {
    let header = |name| {
        response
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("-")
            .to_owned()
    };
    if !response.status().is_success() {
        return format!("{} {}", response.status().as_u16(), header(HEADER_NOT_RUN));
    }
    let echo = format!("{} {}", header(HEADER_REQUEST), header(HEADER_CALL));
    let Ok(body) = response.bytes().await else {
        return "broken".to_owned();
    };
    let names = ("holds".parse().expect("a name"), "hold".parse().expect("a name"));
    let expected = expected_answer(&names.0, &names.1, format!("room {seq}").as_bytes(), Bytes(100));
    let own = if body == expected { "own" } else { "another" };
    format!("{own} answer for {echo}")
}

/// Reads a text.
pub async fn get(address: SocketAddr, path: &str) -> String {
    let response = http()
        .get(format!("http://{address}{path}"))
        .send()
        .await
        .expect("reachable");
    response.text().await.expect("whole")
}

/// Waits until a condition holds.
pub async fn until<F: Fn() -> bool>(condition: F) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}
