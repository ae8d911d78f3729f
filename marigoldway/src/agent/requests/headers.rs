//! Defines the names of headers and selects the headers that are forwarded end to end.

use http::HeaderMap;
use http::HeaderName;
use http::header;

/// Response header with the outcome of a request.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("marigoldway-outcome");

/// Response header with the reason why a request was refused or why its outcome is
/// unknown.
pub(crate) const REASON: HeaderName = HeaderName::from_static("marigoldway-reason");

/// Response header with the ID of the agent that sent the response.
pub(crate) const TARGET: HeaderName = HeaderName::from_static("marigoldway-target");

/// Request header with the time for which the caller waits, in milliseconds.
pub(crate) const DEADLINE: HeaderName = HeaderName::from_static("marigoldway-deadline-ms");

/// Request header with the idempotency key.
pub(crate) const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Request header to the target with the name of the customer.
pub(crate) const CUSTOMER: HeaderName = HeaderName::from_static("marigoldway-customer");

/// Request header to the target with the ID by which the request can be canceled.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("marigoldway-request-id");

/// Response header by which a target reports that it did not start a request.
pub(crate) const NOT_STARTED: HeaderName = HeaderName::from_static("marigoldway-not-started");

/// Headers that aren't forwarded: they apply to a single connection, only this
/// system may set them, or they carry the caller's token.
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

/// Returns a copy of `headers` without those in [`NOT_FORWARDED`].
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in &NOT_FORWARDED {
        forwarded.remove(name);
    }
    forwarded
}
