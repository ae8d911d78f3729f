//! Feed of server-sent events.
//!
//! Event ids are ticks of the wall clock: all targets of a service send the same
//! sequence, so that a feed can resume at any of them.

use std::convert::Infallible;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use futures_util::stream;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;

use crate::http::Body;
use crate::target::state::State;

/// Interval between two events, in milliseconds.
const TICK_MILLIS: u64 = 50;

/// Maximum number of events that a resumed feed catches up on. A feed that is
/// further behind starts at the present.
const MAX_BACKLOG: u64 = 12_000;

/// Opens a feed that resumes after the event in the header `last-event-id`, or
/// starts at the present without a valid one.
pub(crate) fn open<B>(state: &State, request: &Request<B>) -> Response<Body> {
    let now = unix_millis() / TICK_MILLIS;
    let last = request.headers().get("last-event-id");
    let last = last.and_then(|last| last.to_str().ok()?.parse::<u64>().ok());
    let last = last.filter(|last| now.saturating_sub(*last) <= MAX_BACKLOG);
    let first = last.map_or(now, |last| last + 1);

    let service = state.service().to_owned();
    let events = stream::unfold(first, move |id| {
        let event = format!("id: {id}\ndata: {service} {id}\n\n");
        async move {
            wait_for(id).await;
            let frame = Frame::data(Bytes::from(event));
            Some((Ok::<_, Infallible>(frame), id + 1))
        }
    });

    let mut response = Response::new(BodyExt::boxed(StreamBody::new(events)));
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Waits until the time of tick `id`.
async fn wait_for(id: u64) {
    let wait = (id * TICK_MILLIS).saturating_sub(unix_millis());
    tokio::time::sleep(Duration::from_millis(wait)).await;
}

/// Current Unix time, in milliseconds.
fn unix_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
