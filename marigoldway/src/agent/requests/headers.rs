//! Names of the headers, and which of them pass through.

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Response header that says what became of a request.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("marigoldway-outcome");

/// Response header that says why a request was refused or is unknown.
pub(crate) const REASON: HeaderName = HeaderName::from_static("marigoldway-reason");

/// Response header that names the agent that answered.
pub(crate) const TARGET: HeaderName = HeaderName::from_static("marigoldway-target");

/// Request header with the time that the caller waits, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("marigoldway-deadline-ms");

/// Request header with the idempotency key.
pub(crate) const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Header that names the customer to the target.
pub(crate) const CUSTOMER: HeaderName = HeaderName::from_static("marigoldway-customer");

/// Header that names a request to the target, which can be cancelled by it.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("marigoldway-request-id");

/// Header by which a target says that it did not begin to run a request.
pub(crate) const NOT_STARTED: HeaderName = HeaderName::from_static("marigoldway-not-started");

/// Headers that concern one connection only, that only this system may set, or
/// that hold the caller's token.
const NOT_FORWARDED: [HeaderName; 12] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::HOST,
    header::TE,
    header::AUTHORIZATION,
    OUTCOME,
    REASON,
    TARGET,
    DEADLINE,
    CUSTOMER,
    REQUEST_ID,
];

/// The headers that pass through.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in &NOT_FORWARDED {
        forwarded.remove(name);
    }
    forwarded
}
