//! Calls to the admin addresses of instances.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use platform::transport;
use reqwest::Client;
use tokio::task::JoinSet;

/// How long an instance may take to answer.
const TIMEOUT: Duration = Duration::from_secs(3);
/// How many instances are asked at a time.
const AT_ONCE: usize = 64;

/// Why an instance gave no page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Silent(String);

impl fmt::Display for Silent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Asks instances.
#[derive(Debug, Clone)]
pub struct Asker {
    http: Client,
}

impl Asker {
    /// An asker that has asked nobody yet.
    pub fn new() -> Self {
        let http = Client::builder().no_proxy().timeout(TIMEOUT).build();
        Self {
            http: http.expect("a client without TLS, proxies and resolvers needs nothing from the system"),
        }
    }

    /// The body at a path.
    pub async fn page(&self, address: SocketAddr, path: &str) -> Result<String, Silent> {
        let response = self.http.get(format!("http://{address}{path}")).send().await;
        let response = response.map_err(|error| silent(&error))?;
        let status = response.status();
        if !status.is_success() {
            return Err(Silent(format!("it answered {status}")));
        }
        response.text().await.map_err(|error| silent(&error))
    }
}

fn silent(error: &reqwest::Error) -> Silent {
    Silent(transport::root_cause(error))
}

/// Does the same for every address, for some of them at a time, and gives the results in their order.
pub async fn each<T, R, F>(items: Vec<T>, ask: impl Fn(T) -> F) -> Vec<R>
where
    F: Future<Output = R> + Send + 'static,
    R: Send + 'static,
{
    let mut results = Vec::with_capacity(items.len());
    let mut items = items.into_iter().enumerate().peekable();
    while items.peek().is_some() {
        let mut asked = JoinSet::new();
        for (index, item) in items.by_ref().take(AT_ONCE) {
            let answer = ask(item);
            asked.spawn(async move { (index, answer.await) });
        }
        results.extend(asked.join_all().await);
    }
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
