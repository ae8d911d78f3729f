//! Requests and their idempotency keys.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;

use crate::errors::Error;

/// Maximum length of an idempotency key in octets.
const MAX_KEY_LENGTH: usize = 256;

/// Idempotency key issued by the service: 1 to 256 printable ASCII octets.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Key(String);

impl Key {
    /// Returns the key as sent in the `idempotency-key` header.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for Key {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Key, Error> {
        let length = raw.len();
        if raw.is_empty() || length > MAX_KEY_LENGTH {
            return Err(Error::malformed(format!(
                "idempotency key of {length} octets, expected 1 to {MAX_KEY_LENGTH}"
            )));
        }
        if !raw.bytes().all(|octet| octet.is_ascii_graphic()) {
            return Err(Error::malformed(
                "idempotency key with octets other than printable ASCII",
            ));
        }
        Ok(Key(raw.to_owned()))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Omits the key, because it gives access to the stored answer.
        write!(f, "Key({} octets)", self.0.len())
    }
}

/// One request to the service.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method, `GET` by default.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: String,
    /// Headers in addition to those that the library sets. A header that the library sets
    /// replaces one of the same name.
    pub headers: HeaderMap,
    /// Body, empty by default.
    pub body: Bytes,
    /// Time limit of the request, or `None` for `ClientOptions::deadline`.
    pub deadline: Option<Duration>,
    /// Whether the target may run the request more than once, `false` by default.
    pub repeatable: bool,
    /// Idempotency key, under which the service runs the request at most once.
    /// A key belongs to one request, and its first outcome is final.
    pub key: Option<Key>,
}

impl Request {
    /// Builds a repeatable `GET`.
    pub fn get(path: impl Into<String>) -> Request {
        Request {
            path: path.into(),
            repeatable: true,
            ..Request::default()
        }
    }

    /// Builds a `POST` that is not repeatable and has no idempotency key.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Request {
        Request {
            method: Method::POST,
            path: path.into(),
            body: body.into(),
            ..Request::default()
        }
    }
}
