//! A stand-in for the platform's object API: versions, conditional updates, watches, history and a list that lags.
//!
//! It keeps everything in memory and judges no value.

mod behaviour;
mod routes;
mod store;

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use ::platform::api::Condition;
use ::platform::api::Key;
use ::platform::api::Object;
use ::platform::api::PutRequest;
use serde_json::Value;
use tokio::sync::watch;
use units::Nonce;
use units::Revision;

use crate::control;
use crate::control::Controlled;
use crate::platform::store::Store;
use crate::server::Server;

pub use crate::platform::behaviour::Behaviour;
pub use crate::platform::behaviour::Counts;

/// Who the first document and those of [`Handle::put_document`] are from.
const WRITER: &str = "stand-in";

/// How a stand-in starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Where it serves the object API. Port zero asks the operating system for a port.
    pub address: SocketAddr,
    /// Where it takes orders.
    pub control: SocketAddr,
    /// The text of the first configuration document, if there is one.
    pub document: Option<String>,
    /// How it behaves at first.
    pub behaviour: Behaviour,
}

impl Default for Options {
    fn default() -> Self {
        let any = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
        Self {
            address: any,
            control: any,
            document: None,
            behaviour: Behaviour::default(),
        }
    }
}

/// A running stand-in, stopped when this is dropped.
#[derive(Debug)]
pub struct Handle {
    shared: Shared,
    server: Arc<Server>,
    control: Server,
}

/// What the handlers of a stand-in share.
#[derive(Debug, Clone)]
struct Shared {
    store: Arc<Store>,
    behaviour: Arc<watch::Sender<Behaviour>>,
}

/// What the control address works on.
#[derive(Debug, Clone)]
struct Control {
    shared: Shared,
    server: Arc<Server>,
}

impl Controlled for Control {
    type Behaviour = Behaviour;
    type Counts = Counts;

    fn behaviour(&self) -> Behaviour {
        self.shared.behaviour.borrow().clone()
    }

    async fn behave(&self, behaviour: Behaviour) {
        self.server.set_up(!behaviour.down).await;
        self.shared.behaviour.send_replace(behaviour);
    }

    fn counts(&self) -> Counts {
        self.shared.store.counts()
    }
}

/// Starts a stand-in.
pub async fn start(options: Options) -> io::Result<Handle> {
    let shared = Shared {
        store: Arc::new(Store::default()),
        behaviour: Arc::new(watch::Sender::new(Behaviour::default())),
    };
    let server = Arc::new(Server::start(options.address, routes::routes(&shared))?);
    let control = Control {
        shared: shared.clone(),
        server: Arc::clone(&server),
    };
    let routes = control::routes(&control);
    let handle = Handle {
        shared,
        server,
        control: Server::start(options.control, routes)?,
    };
    if let Some(text) = options.document {
        handle.put_document(text);
    }
    control.behave(options.behaviour).await;
    Ok(handle)
}

impl Handle {
    /// Where the object API is served.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Where orders are taken.
    pub fn control(&self) -> SocketAddr {
        self.control.address()
    }

    /// Behaves like this, from the return of this call on.
    pub async fn behave(&self, behaviour: Behaviour) {
        self.as_control().behave(behaviour).await;
    }

    /// How it behaves now.
    pub fn behaviour(&self) -> Behaviour {
        self.as_control().behaviour()
    }

    /// What it was asked so far.
    pub fn counts(&self) -> Counts {
        self.shared.store.counts()
    }

    /// The newest version of an object, whatever the replicas serve.
    pub fn object(&self, key: &Key) -> Option<Object> {
        self.shared.store.find(key, None, 0)
    }

    /// Writes the configuration document, as an operator beside the system would.
    pub fn put_document(&self, text: String) -> Revision {
        let put = PutRequest {
            nonce: Nonce(0),
            writer: WRITER.to_owned(),
            value: Value::String(text),
            ttl_ms: None,
        };
        let written = self.shared.store.put(&Key::document(), Condition::Any, put);
        written.expect("a write without a condition takes effect")
    }

    /// Stops.
    pub fn stop(self) {}

    fn as_control(&self) -> Control {
        Control {
            shared: self.shared.clone(),
            server: Arc::clone(&self.server),
        }
    }
}
