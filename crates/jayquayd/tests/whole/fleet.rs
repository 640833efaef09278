//! A small fleet in one process, with real sockets and stand-ins for the platform, the upstreams and the fabric.

use std::net::SocketAddr;
use std::time::Duration;

use caller::Client;
use config::Settings;
use jayquayd::Handle;

/// Longer than any step of a test takes unless it hangs.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Deadline for each request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The stand-ins and the instances connected to them.
#[derive(Debug)]
pub struct Fleet {
    pub platform: standin::platform::Handle,
    pub upstreams: Vec<standin::upstream::Handle>,
    pub fabric: standin::fabric::Handle,
    pub instances: Vec<Handle>,
}

impl Fleet {
    /// Starts the stand-ins, with two upstreams of one service and without a document.
    pub async fn new() -> Self {
        Self::with(|_| {}).await
    }

    /// Like [`Self::new`], with the options of the upstreams modified by `change`.
    pub async fn with(change: impl Fn(&mut standin::upstream::Options)) -> Self {
        let platform = standin::platform::start(standin::platform::Options::default())
            .await
            .unwrap();
        let fabric = standin::fabric::start(standin::fabric::Options::new(1)).await.unwrap();
        let mut upstreams = Vec::new();
        for name in ["north-1", "north-2"] {
            let service = "availability".parse().unwrap();
            let mut options = standin::upstream::Options::new(name.parse().unwrap(), service);
            change(&mut options);
            upstreams.push(standin::upstream::start(options).await.unwrap());
        }
        Self {
            platform,
            upstreams,
            fabric,
            instances: Vec::new(),
        }
    }

    /// Writes a document with the two upstreams.
    pub fn put_document(&self, revision: u64) {
        let service = self.fabric.services()[0];
        let upstreams = [self.upstreams[0].address(), self.upstreams[1].address()];
        let text = format!(
            r#"
revision: {revision}
change: {{author: an, approver: joost, reason: "A test"}}
zones: [{{name: zone-a, region: north}}]
services:
  - name: availability
    addresses: ["{service}"]
    kinds:
      - {{name: feed, weight: 1, idempotent: true}}
      - {{name: hold, weight: 5, idempotent: false}}
    upstreams:
      - {{name: north-1, zone: zone-a, address: "{}", slots: 2}}
      - {{name: north-2, zone: zone-a, address: "{}", slots: 2}}
"#,
            upstreams[0], upstreams[1]
        );
        self.platform.put_document(text);
    }

    /// The settings of an instance. Each secret is given by one letter; the first is the current one.
    pub fn settings(&self, name: &str, secrets: &str) -> Settings {
        let mut secrets = secrets
            .chars()
            .map(|letter| format!("\"{}\"", letter.to_string().repeat(32)));
        let current = secrets.next().unwrap();
        let previous = secrets.collect::<Vec<_>>().join(", ");
        let any = "\"127.0.0.1:0\"";
        let text = format!(
            r#"
name: {name}
zone: zone-a
listen: {{callers: {any}, instances: {any}, admin: {any}}}
platform: ["{}"]
secrets: {{current: {current}, previous: [{previous}]}}
stop-within-ms: 10000
"#,
            self.platform.address()
        );
        config::parse_settings(&text).unwrap()
    }

    /// Starts an instance that receives no packets from the fabric.
    pub async fn start(&self, name: &str, secrets: &str) -> Handle {
        jayquayd::start(&self.settings(name, secrets), None).await.unwrap()
    }

    /// Starts an instance, waits until it is ready, and adds it to the fabric.
    pub async fn join(&mut self, name: &str, secrets: &str) {
        self.join_with(&self.settings(name, secrets)).await;
    }

    /// Starts an instance with the given settings, waits until it is ready, and adds it to the fabric.
    pub async fn join_with(&mut self, settings: &Settings) {
        let handle = jayquayd::start(settings, None).await.unwrap();
        wait_until(async || readiness(&handle).await == "ready").await;
        self.instances.push(handle);
        self.update_fabric();
    }

    /// Starts a planned stop of an instance, removes it from the fabric, and waits for its end.
    pub async fn leave(&mut self, index: usize) -> jayquayd::ExitReason {
        let mut handle = self.instances.remove(index);
        handle.stop().await;
        self.update_fabric();
        tokio::time::timeout(TEST_TIMEOUT, handle.ended())
            .await
            .expect("the instance stops in time")
    }

    /// The index of the service's home, which owns the most recently opened flows.
    pub async fn home(&self) -> usize {
        for (index, handle) in self.instances.iter().enumerate() {
            let status = handle.status().await.unwrap();
            let home = status.homes.first().and_then(|line| line.home.clone());
            if home == Some(status.name) {
                return index;
            }
        }
        panic!("no instance is the home of the service");
    }

    /// Ends an instance immediately, and removes it from the fabric.
    pub fn crash(&mut self, index: usize) {
        drop(self.instances.remove(index));
        self.update_fabric();
    }

    fn update_fabric(&self) {
        let callers = self.instances.iter().map(|handle| handle.addresses().callers);
        self.fabric.set_instances(callers.collect());
    }

    /// Opens a flow through the fabric.
    pub async fn open(&self) -> Client {
        let address: SocketAddr = self.fabric.services()[0];
        Client::open("availability".parse().unwrap(), address, address)
            .await
            .unwrap()
    }

    /// The highest number of times that any request ran.
    pub fn max_runs(&self) -> u32 {
        let runs = self.upstreams.iter().flat_map(standin::upstream::Handle::runs);
        runs.map(|run| run.runs).max().unwrap_or(0)
    }
}

/// Sends `count` requests of kind `hold`, and expects an answer to each.
pub async fn send_holds(client: &Client, count: usize) {
    for number in 0..count {
        let body = format!("room {number}").into_bytes();
        let answer = client.request("hold".parse().unwrap(), body, REQUEST_TIMEOUT).await;
        assert!(answer.is_ok(), "hold {number}: {answer:?}");
    }
}

/// The state returned by `/ready`. Checks that the status code agrees with it.
pub async fn readiness(handle: &Handle) -> String {
    let url = format!("http://{}/ready", handle.addresses().admin);
    let response = reqwest::get(url).await.unwrap();
    let is_ok = response.status().is_success();
    let answer: serde_json::Value = response.json().await.unwrap();
    assert_eq!(answer["ready"], is_ok);
    answer["state"].as_str().unwrap().to_owned()
}

/// Waits until a condition holds.
pub async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, waiting)
        .await
        .expect("the condition holds in time");
}
