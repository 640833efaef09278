//! Keys, and sealing and opening of tokens.
//!
//! Sealing appends a MAC; the claims are authenticated but not encrypted.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde_bytes::ByteBuf;
use units::Time;
use wire::SealedToken;

use crate::Claims;

/// The minimum length of a secret, in bytes.
const MIN_SECRET_LEN: usize = 32;
/// The length of a token's MAC, in bytes.
const MAC_LEN: usize = 16;
/// Domain separation from other keys derived from the same secret.
const TOKEN_KEY_CONTEXT: &str = "jayquay 2026-12-02 flow token";
/// How far a token's issue time may be ahead of the local clock.
const MAX_CLOCK_SKEW: Duration = Duration::from_mins(1);

/// A secret from the settings. Its `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

/// Error for a secret that is too short.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SecretError;

impl fmt::Display for SecretError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a secret has at least {MIN_SECRET_LEN} characters")
    }
}

impl std::error::Error for SecretError {}

impl FromStr for Secret {
    type Err = SecretError;

    fn from_str(text: &str) -> Result<Self, SecretError> {
        if text.len() < MIN_SECRET_LEN {
            return Err(SecretError);
        }
        Ok(Self(text.to_owned()))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Derives a key for one purpose. Each purpose must use its own `context`.
    pub fn derive(&self, context: &str) -> [u8; 32] {
        blake3::derive_key(context, self.0.as_bytes())
    }
}

/// Why a token was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TokenError {
    /// It is too short to be a token, or its claims cannot be decoded.
    Malformed,
    /// Its key is not in the keyring.
    UnknownKey,
    /// Its MAC does not match.
    Forged,
    /// It is older than the token lifetime, or issued too far in the future.
    Expired,
}

impl fmt::Display for TokenError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::Malformed => "the token is malformed",
            Self::UnknownKey => "the token's key is not held",
            Self::Forged => "the token is forged",
            Self::Expired => "the token has expired",
        };
        f.write_str(text)
    }
}

impl std::error::Error for TokenError {}

#[derive(Clone)]
struct Key {
    id: u8,
    bytes: [u8; 32],
}

impl Key {
    fn new(secret: &Secret) -> Self {
        let bytes = secret.derive(TOKEN_KEY_CONTEXT);
        let id = blake3::hash(&bytes).as_bytes()[0];
        Self { id, bytes }
    }
}

/// The token keys of an instance. Tokens are sealed with the current key and opened with any of them.
#[derive(Clone)]
pub struct Keyring {
    keys: Vec<Key>,
    lifetime: Duration,
}

impl fmt::Debug for Keyring {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keyring({} keys)", self.keys.len())
    }
}

impl Keyring {
    /// Creates a keyring that seals with `current`, opens with `current` and `previous`, and accepts tokens for `lifetime`.
    pub fn new(current: &Secret, previous: &[Secret], lifetime: Duration) -> Self {
        let mut keys = vec![Key::new(current)];
        keys.extend(previous.iter().map(Key::new));
        Self { keys, lifetime }
    }

    /// How long a token is valid after it was issued.
    pub fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// Whether a token names the current key. The MAC is not checked.
    pub fn is_current(&self, sealed: &SealedToken) -> bool {
        sealed.0.first() == Some(&self.keys[0].id)
    }

    /// Seals `claims` with the current key.
    pub fn seal(&self, claims: &Claims) -> SealedToken {
        let key = &self.keys[0];
        let mut bytes = Vec::with_capacity(160);
        bytes.push(key.id);
        let mut bytes = postcard::to_extend(claims, bytes).expect("claims can always be serialised");
        let mac = blake3::keyed_hash(&key.bytes, &bytes);
        bytes.extend_from_slice(&mac.as_bytes()[..MAC_LEN]);
        SealedToken(ByteBuf::from(bytes))
    }

    /// Verifies a token and decodes its claims. The MAC is checked before anything is decoded.
    pub fn open(&self, sealed: &SealedToken, now: Time) -> Result<Claims, TokenError> {
        let Some(mac_start) = sealed.0.len().checked_sub(MAC_LEN) else {
            return Err(TokenError::Malformed);
        };
        let (signed, mac) = sealed.0.split_at(mac_start);
        let Some(id) = signed.first() else {
            return Err(TokenError::Malformed);
        };
        let mut error = TokenError::UnknownKey;
        for key in &self.keys {
            if key.id != *id {
                continue;
            }
            if !mac_matches(&key.bytes, signed, mac) {
                error = TokenError::Forged;
                continue;
            }
            let claims: Claims = postcard::from_bytes(&signed[1..]).map_err(|_| TokenError::Malformed)?;
            return self.check_age(claims, now);
        }
        Err(error)
    }

    fn check_age(&self, claims: Claims, now: Time) -> Result<Claims, TokenError> {
        let is_expired = now.since(claims.issued) > self.lifetime;
        let is_from_future = now.until(claims.issued) > MAX_CLOCK_SKEW;
        if is_expired || is_from_future {
            return Err(TokenError::Expired);
        }
        Ok(claims)
    }
}

/// Checks a MAC in constant time.
fn mac_matches(key: &[u8; 32], signed: &[u8], mac: &[u8]) -> bool {
    let expected = blake3::keyed_hash(key, signed);
    let mut difference = 0;
    for (a, b) in expected.as_bytes()[..MAC_LEN].iter().zip(mac) {
        difference |= a ^ b;
    }
    difference == 0
}
