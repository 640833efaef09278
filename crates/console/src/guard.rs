//! Access control: only the operator who started the console may use it, from a browser on the same machine.
//!
//! Listening on loopback is not sufficient. Any page in the operator's browser can post to the console (therefore forms
//! carry a token and the origin is checked) or reach it by DNS rebinding (therefore the host is checked). Other users
//! of the machine can connect too (therefore a key is required, which is shown only to whoever started it).

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

/// The reason why a request was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AccessError {
    /// The `Host` header does not name the console.
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

/// The secrets that requests are checked against.
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
    /// Creates a guard with random secrets for a console on this port.
    pub fn new(port: u16) -> Self {
        Self {
            port,
            key: random_secret(),
            cookie: random_secret(),
            token: random_secret(),
        }
    }

    /// Returns the URL that signs the operator in.
    pub fn entry_url(&self, address: SocketAddr) -> String {
        format!("http://{address}/enter?key={}", self.key)
    }

    /// Returns the token that forms carry.
    pub fn token(&self) -> &str {
        &self.token
    }

    /// Returns the `Set-Cookie` value if the key is correct.
    pub fn enter(&self, key: &str) -> Result<String, AccessError> {
        if !digests_match(key, &self.key) {
            return Err(AccessError::Key);
        }
        let name = self.cookie_name();
        Ok(format!("{name}={}; Path=/; HttpOnly; SameSite=Strict", self.cookie))
    }

    /// Checks the host of a request, and its origin unless the method is `GET`.
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

    /// Checks the cookie of a request.
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

    /// Checks the token of a posted form.
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

    /// Returns the cookie name. It contains the port, because browsers share cookies between all ports of a host.
    fn cookie_name(&self) -> String {
        format!("jayquay-console-{}", self.port)
    }
}

fn random_secret() -> String {
    let bytes: [u8; 16] = rand::random();
    Digest(bytes).to_string()
}

/// Compares digests instead of the values, so that the timing reveals nothing about the secret.
fn digests_match(given: &str, secret: &str) -> bool {
    Digest::of(given.as_bytes()) == Digest::of(secret.as_bytes())
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}
