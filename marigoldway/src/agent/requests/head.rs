//! The head of a request, checked.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::header;
use http::request::Parts;

use marigoldway_core::request::Refusal;
use marigoldway_core::time::Timestamp;

use crate::agent::requests::headers;

/// Longest time that a caller may ask for, in milliseconds.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1_000;

/// `RequestHead` is what a request says before its body.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    /// Method of the request.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// Headers that pass through to the target.
    pub(crate) headers: HeaderMap,
    /// When the caller stops waiting.
    pub(crate) deadline: Option<Timestamp>,
    /// Idempotency key, not checked yet.
    pub(crate) key: Option<String>,
    /// Token of the customer.
    pub(crate) token: Option<String>,
    /// Length of the body in octets, if the caller said it.
    pub(crate) length: Option<u64>,
}

impl RequestHead {
    /// Checks the head of a request that came at `now`.
    pub(crate) fn new(parts: &Parts, now: Timestamp) -> Result<RequestHead, Refusal> {
        let headers = &parts.headers;
        let path = parts.uri.path_and_query().map_or("/", |it| it.as_str());
        let deadline = number(headers, &headers::DEADLINE)?;
        if deadline.is_some_and(|millis| millis > MAX_DEADLINE_MS) {
            return Err(Refusal::Malformed);
        }
        Ok(RequestHead {
            method: parts.method.clone(),
            path: path.to_owned(),
            headers: headers::end_to_end(headers),
            deadline: deadline.map(|millis| now + Duration::from_millis(millis)),
            key: text(headers, &headers::KEY)?.map(str::to_owned),
            token: token(headers)?,
            length: number(headers, &header::CONTENT_LENGTH)?,
        })
    }

    /// The path without the query.
    pub(crate) fn route(&self) -> &str {
        let (path, _) = self.path.split_once('?').unwrap_or((&self.path, ""));
        path
    }

    /// The value of `name` in the query.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    let value = headers.get(name).map(|value| value.to_str());
    value.transpose().map_err(|_| Refusal::Malformed)
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Refusal> {
    let value = text(headers, name)?.map(str::parse);
    value.transpose().map_err(|_| Refusal::Malformed)
}

fn token(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let value = text(headers, &header::AUTHORIZATION)?;
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    Ok(token.map(str::to_owned))
}
