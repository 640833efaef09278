//! Who may use a console: the operator who started it, from a browser on the same machine.
//!
//! Loopback alone is not enough. Any page in the operator's browser can post to it (so forms carry a token, and the
//! origin is checked), can point a name of its own at it (so the host is checked), and so can any other user of the
//! machine (so a key is needed, which only whoever started the console is told).

use std::fmt;
use std::net::SocketAddr;

use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::header::COOKIE;
use axum::http::header::HOST;
use axum::http::header::HeaderName;
use axum::http::header::ORIGIN;
use wire::Digest;

use crate::input;

/// The name of the form field that carries the token.
pub const TOKEN_FIELD: &str = "token";

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccessError {
    /// The host is not the console's own.
    Host,
    /// The cookie is missing or wrong.
    Cookie,
    /// The form comes from another site.
    Origin,
    /// The form's token is missing or wrong.
    Token,
    /// The key is wrong.
    Key,
}

impl fmt::Display for AccessError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Host => "This console is not known under this host name.",
            Self::Cookie => "Open the address that `jayquay console` printed.",
            Self::Origin => "This form was sent from another site.",
            Self::Token => "This form is from an earlier run of the console.",
            Self::Key => "This is the address of an earlier run of the console.",
        };
        f.write_str(text)
    }
}

/// What a request must bring.
#[derive(Clone)]
pub struct Guard {
    port: u16,
    key: String,
    cookie: String,
    token: String,
}

impl fmt::Debug for Guard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Guard({})", self.port)
    }
}

impl Guard {
    /// A guard with new secrets, for a console at this port.
    pub fn new(port: u16) -> Self {
        Self {
            port,
            key: random_secret(),
            cookie: random_secret(),
            token: random_secret(),
        }
    }

    /// The address that lets the operator in.
    pub fn entry_url(&self, address: SocketAddr) -> String {
        format!("http://{address}/enter?key={}", self.key)
    }

    /// The token that forms carry.
    pub fn token(&self) -> &str {
        &self.token
    }

    /// Gives the cookie to who knows the key.
    pub fn enter(&self, key: &str) -> Result<String, AccessError> {
        if !digests_match(key, &self.key) {
            return Err(AccessError::Key);
        }
        let name = self.cookie_name();
        Ok(format!("{name}={}; Path=/; HttpOnly; SameSite=Strict", self.cookie))
    }

    /// Checks a request's host, and its origin if it changes anything.
    pub fn check_host_and_origin(&self, method: &Method, headers: &HeaderMap) -> Result<(), AccessError> {
        let host = header_text(headers, &HOST);
        if !self.allowed_hosts().iter().any(|allowed| allowed == host) {
            return Err(AccessError::Host);
        }
        if method != Method::GET && header_text(headers, &ORIGIN) != format!("http://{host}") {
            return Err(AccessError::Origin);
        }
        Ok(())
    }

    /// Checks a request's cookie.
    pub fn check_cookie(&self, headers: &HeaderMap) -> Result<(), AccessError> {
        let name = self.cookie_name();
        for pair in header_text(headers, &COOKIE).split(';') {
            let Some((key, value)) = pair.trim().split_once('=') else {
                continue;
            };
            if key == name && digests_match(value, &self.cookie) {
                return Ok(());
            }
        }
        Err(AccessError::Cookie)
    }

    /// Checks a posted form's token.
    pub fn check_form(&self, pairs: &[(String, String)]) -> Result<(), AccessError> {
        let token = input::value(pairs, TOKEN_FIELD).unwrap_or_default();
        if digests_match(token, &self.token) {
            return Ok(());
        }
        Err(AccessError::Token)
    }

    fn allowed_hosts(&self) -> [String; 3] {
        let port = self.port;
        [
            format!("127.0.0.1:{port}"),
            format!("[::1]:{port}"),
            format!("localhost:{port}"),
        ]
    }

    /// Cookies do not tell ports apart, so the name does.
    fn cookie_name(&self) -> String {
        format!("jayquay-console-{}", self.port)
    }
}

fn random_secret() -> String {
    let bytes: [u8; 16] = rand::random();
    Digest(bytes).to_string()
}

/// Compares digests, so that the time taken tells nothing of the secret.
fn digests_match(given: &str, secret: &str) -> bool {
    Digest::of(given.as_bytes()) == Digest::of(secret.as_bytes())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}
