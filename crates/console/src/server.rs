//! The HTTP server on loopback.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use platform::Client;
use tokio::net::TcpListener;

use crate::guard::Guard;
use crate::routes;
use crate::routes::Console;
use crate::session;
use crate::session::LoadError;
use crate::session::Session;

/// The options of a console.
#[derive(Debug, Clone)]
pub struct Options {
    /// The loopback address to listen on. With port 0, the operating system assigns one.
    pub address: SocketAddr,
    /// The client for the platform.
    pub platform: Client,
}

/// The reasons why a console cannot start.
#[derive(Debug)]
pub enum Error {
    /// The address is not a loopback address.
    NotLoopback(SocketAddr),
    /// Listening on the address failed.
    Listen(io::Error),
    /// The document could not be loaded.
    Load(LoadError),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLoopback(address) => write!(f, "the console listens on loopback only, and {address} is not"),
            Self::Listen(error) => write!(f, "the console cannot listen: {error}"),
            Self::Load(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

/// A console with a bound listener, ready to run.
pub struct Server {
    listener: TcpListener,
    url: String,
    console: Arc<Console>,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The URL is left out: with the key in it, anyone who reads the log could use the console.
        f.debug_struct("Server")
            .field("listener", &self.listener)
            .finish_non_exhaustive()
    }
}

impl Server {
    /// Loads the document and binds the listener.
    pub async fn bind(options: Options) -> Result<Self, Error> {
        if !options.address.ip().is_loopback() {
            return Err(Error::NotLoopback(options.address));
        }
        let base = session::load(&options.platform).await.map_err(Error::Load)?;
        let listener = TcpListener::bind(options.address).await.map_err(Error::Listen)?;
        let address = listener.local_addr().map_err(Error::Listen)?;
        let guard = Guard::new(address.port());
        let url = guard.entry_url(address);
        let console = Console::new(options.platform, guard, Session::new(base));
        Ok(Self {
            listener,
            url,
            console: Arc::new(console),
        })
    }

    /// Returns the URL with the access key. Anyone who knows it can use the console.
    pub fn url(&self) -> &str {
        &self.url
    }

    /// Serves requests until `stop` completes.
    pub async fn run<F>(self, stop: F) -> io::Result<()>
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let routes = routes::routes(self.console);
        axum::serve(self.listener, routes).with_graceful_shutdown(stop).await
    }
}
