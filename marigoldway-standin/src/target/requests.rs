//! Requests that occupy a slot of the target while they run.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::Notify;

use crate::http::Body;
use crate::http::HandlerResult;
use crate::http::query_number;
use crate::http::text;
use crate::target::state::Fault;
use crate::target::state::State;

/// Default duration of an upload whose query has no `ms`, in milliseconds.
const UPLOAD_MILLIS: u64 = 200;

/// `RequestKind` is what a request does in its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// Counts a run of the id in the body; not cancellable once it runs.
    Write,
    /// Takes long and returns the checksum of the body; cancellable while it waits for a slot and
    /// while it runs.
    Upload,
    /// Returns a price; cancellable like an upload.
    Read,
}

/// Runs a request once a slot is free.
///
/// A request keeps running when its connection is lost, as in a target that has
/// begun to write.
pub(crate) async fn run(
    state: Arc<State>,
    kind: RequestKind,
    request: Request<Incoming>,
) -> HandlerResult {
    if state.fault() == Fault::Shed {
        return Ok(not_started());
    }
    let task = tokio::spawn(run_detached(state.clone(), kind, request));
    let response = task.await.map_err(io::Error::other)??;
    match state.fault() {
        Fault::Close => Err(io::Error::other("closed on purpose")),
        Fault::Broken => Ok(text(StatusCode::INTERNAL_SERVER_ERROR, "broken\n")),
        _ => Ok(response),
    }
}

/// The response to a request that was rejected before it started.
pub(crate) fn not_started() -> Response<Body> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "not started\n");
    let value = HeaderValue::from_static("1");
    response
        .headers_mut()
        .insert("marigoldway-not-started", value);
    response
}

async fn run_detached(
    state: Arc<State>,
    kind: RequestKind,
    request: Request<Incoming>,
) -> HandlerResult {
    let id = request.headers().get("marigoldway-request-id");
    let id = id
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let cancelled = state.begin_cancellable(&id);
    let response = run_cancellable(&state, kind, request, &id, &cancelled).await;
    state.end_cancellable(&id);
    response
}

async fn run_cancellable(
    state: &State,
    kind: RequestKind,
    request: Request<Incoming>,
    id: &str,
    cancelled: &Notify,
) -> HandlerResult {
    let duration = duration(state, kind, &request);
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?
        .to_bytes();
    let slot = tokio::select! {
        slot = state.slots().acquire() => slot.map_err(io::Error::other)?,
        () = cancelled.notified() => return Ok(not_started()),
    };

    // A write can't be undone, so it isn't cancellable from here on.
    if kind == RequestKind::Write && !state.end_cancellable(id) {
        return Ok(not_started());
    }
    state.count_start();
    let response = match kind {
        RequestKind::Write => count_run(state, &body),
        RequestKind::Upload => checksum(&body),
        RequestKind::Read => text(StatusCode::OK, "price=42\n"),
    };
    tokio::select! {
        () = tokio::time::sleep(duration) => {}
        () = cancelled.notified() => {}
    }
    if kind != RequestKind::Write && !state.end_cancellable(id) {
        return Ok(text(StatusCode::GONE, "stopped\n"));
    }
    state.count_finish();
    drop(slot);
    Ok(response)
}

fn duration(state: &State, kind: RequestKind, request: &Request<Incoming>) -> Duration {
    let millis = query_number(request, "ms").unwrap_or(match kind {
        RequestKind::Write | RequestKind::Read => 0,
        RequestKind::Upload => UPLOAD_MILLIS,
    });
    let extra = match state.fault() {
        Fault::Slow(extra) => extra,
        _ => Duration::ZERO,
    };
    Duration::from_millis(millis) + extra
}

fn count_run(state: &State, body: &Bytes) -> Response<Body> {
    match std::str::from_utf8(body) {
        Ok(id) if !id.trim().is_empty() => {
            let id = id.trim();
            let runs = state.count_run(id);
            // The printed line survives a kill of the target, unlike the counter.
            let _ = writeln!(io::stdout(), "run={id}");
            text(StatusCode::OK, format!("id={id} runs={runs}\n"))
        }
        _ => text(StatusCode::BAD_REQUEST, "expected an id as body\n"),
    }
}

fn checksum(body: &Bytes) -> Response<Body> {
    let sum: String = Sha256::digest(body)
        .iter()
        .map(|octet| format!("{octet:02x}"))
        .collect();
    text(
        StatusCode::OK,
        format!("length={} sha256={sum}\n", body.len()),
    )
}
