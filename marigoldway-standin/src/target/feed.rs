//! A feed of server-sent events.
//!
//! Events are numbered by ticks of the wall clock, so every target of a service
//! sends the same sequence and a feed can resume at any of them.

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

/// Time between two events, in milliseconds.
const TICK_MILLIS: u64 = 50;

/// Events that a resumed feed may be behind; an older feed starts anew.
const BACKLOG_MAX: u64 = 12_000;

/// Opens a feed after the event named by `last-event-id`, or at the present.
pub(crate) fn open<B>(state: &State, request: &Request<B>) -> Response<Body> {
    let now = millis() / TICK_MILLIS;
    let last = request.headers().get("last-event-id");
    let last = last.and_then(|last| last.to_str().ok()?.parse::<u64>().ok());
    let last = last.filter(|last| now.saturating_sub(*last) <= BACKLOG_MAX);
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
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Waits until the tick `id` has come.
async fn wait_for(id: u64) {
    let wait = (id * TICK_MILLIS).saturating_sub(millis());
    tokio::time::sleep(Duration::from_millis(wait)).await;
}

/// Milliseconds of the wall clock.
fn millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}
