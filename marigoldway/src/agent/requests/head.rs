//! Parses and validates the head of a request.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::header;
use http::request::Parts;

use marigoldway_core::request::Refusal;
use marigoldway_core::time::Timestamp;

use crate::agent::requests::headers;

/// Maximum time that a caller may set as its deadline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1_000;

/// `RequestHead` is the validated method, path and headers of a request.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    /// Method of the request.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    /// Headers that are forwarded to the target.
    pub(crate) headers: HeaderMap,
    /// Time at which the caller stops waiting; `None` if it set no deadline.
    pub(crate) deadline: Option<Timestamp>,
    /// Idempotency key, not yet validated; `None` if the caller sent none.
    pub(crate) key: Option<String>,
    /// Bearer token of the customer; `None` if the caller sent none.
    pub(crate) token: Option<String>,
    /// Length of the body in octets, if the caller declared it.
    pub(crate) length: Option<u64>,
}

impl RequestHead {
    /// Parses the head of a request received at `now`. Fails with
    /// [`Refusal::Malformed`] if the deadline, the key, the authorization or the content
    /// length is invalid, or if the deadline is above [`MAX_DEADLINE_MS`].
    pub(crate) fn new(parts: &Parts, now: Timestamp) -> Result<RequestHead, Refusal> {
        let headers = &parts.headers;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let deadline = header_number(headers, &headers::DEADLINE)?;
        if deadline.is_some_and(|millis| millis > MAX_DEADLINE_MS) {
            return Err(Refusal::Malformed);
        }
        Ok(RequestHead {
            method: parts.method.clone(),
            path: path.to_owned(),
            headers: headers::end_to_end(headers),
            deadline: deadline.map(|millis| now + Duration::from_millis(millis)),
            key: header_text(headers, &headers::KEY)?.map(str::to_owned),
            token: bearer_token(headers)?,
            length: header_number(headers, &header::CONTENT_LENGTH)?,
        })
    }

    /// Returns the path without the query.
    pub(crate) fn path_without_query(&self) -> &str {
        let (path, _) = self.path.split_once('?').unwrap_or((&self.path, ""));
        path
    }

    /// Returns the value of the first query parameter `name`, not decoded.
    pub(crate) fn query_value(&self, name: &str) -> Option<&str> {
        let (_, query) = self.path.split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Refusal> {
    let value = headers.get(name).map(|value| value.to_str());
    value.transpose().map_err(|_| Refusal::Malformed)
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Refusal> {
    let value = header_text(headers, name)?.map(str::parse);
    value.transpose().map_err(|_| Refusal::Malformed)
}

fn bearer_token(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let value = header_text(headers, &header::AUTHORIZATION)?;
    let token = value.and_then(|value| value.strip_prefix("Bearer "));
    Ok(token.map(str::to_owned))
}
