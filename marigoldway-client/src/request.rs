//! A request as the caller states it.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;

use crate::errors::Error;

/// Longest idempotency key in octets.
const MAX_KEY_LENGTH: usize = 256;

/// `Key` is an idempotency key that the service issued.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Key(String);

impl Key {
    /// The key as it stands in the `idempotency-key` header.
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
                "idempotency key with other than printable ASCII octets",
            ));
        }
        Ok(Key(raw.to_owned()))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // A key lets its holder read the stored answer, so it is not printed.
        write!(f, "Key({} octets)", self.0.len())
    }
}

/// `Request` is one call to the service.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Method, `GET` by default.
    pub method: Method,
    /// Path and query, beginning with `/`.
    pub path: String,
    /// Headers beside those that the library sets.
    pub headers: HeaderMap,
    /// Body, empty by default.
    pub body: Bytes,
    /// Time limit. `None` takes that of the options.
    pub deadline: Option<Duration>,
    /// Whether the target may run the request more than once.
    pub repeatable: bool,
    /// Idempotency key, under which the service runs the request at most once.
    /// A key is for one request and its first outcome stays.
    pub key: Option<Key>,
}

impl Request {
    /// Makes a repeatable `GET`.
    pub fn get(path: impl Into<String>) -> Request {
        Request {
            path: path.into(),
            repeatable: true,
            ..Request::default()
        }
    }

    /// Makes a `POST` that may not be repeated and carries no key.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Request {
        Request {
            method: Method::POST,
            path: path.into(),
            body: body.into(),
            ..Request::default()
        }
    }
}
