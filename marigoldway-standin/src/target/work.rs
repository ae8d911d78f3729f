//! Requests that hold a slot of the target.

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

use crate::http::Answer;
use crate::http::Body;
use crate::http::query_number;
use crate::http::text;
use crate::target::state::Fault;
use crate::target::state::State;

/// Time that an upload takes where its query has no `ms`, in milliseconds.
const UPLOAD_MILLIS: u64 = 200;

/// `Work` sorts requests by what running them means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Work {
    /// Counts a run of the id in the body; can't be stopped once it runs.
    Once,
    /// Takes long; can be stopped.
    Upload,
    /// Reads a price.
    Read,
}

/// Runs a request once a slot is free.
///
/// The work goes on when the connection is lost, as in a target that has begun
/// to write.
pub(crate) async fn run(state: Arc<State>, work: Work, request: Request<Incoming>) -> Answer {
    if state.fault() == Fault::Shed {
        return Ok(not_started());
    }
    let task = tokio::spawn(run_detached(state.clone(), work, request));
    let response = task.await.map_err(io::Error::other)??;
    match state.fault() {
        Fault::Close => Err(io::Error::other("closed on purpose")),
        Fault::Broken => Ok(text(StatusCode::INTERNAL_SERVER_ERROR, "broken\n")),
        _ => Ok(response),
    }
}

/// The answer that says that the request was not begun.
pub(crate) fn not_started() -> Response<Body> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "not started\n");
    let yes = HeaderValue::from_static("1");
    response
        .headers_mut()
        .insert("marigoldway-not-started", yes);
    response
}

async fn run_detached(state: Arc<State>, work: Work, request: Request<Incoming>) -> Answer {
    let id = request.headers().get("marigoldway-request-id");
    let id = id
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let stop = state.open(&id);
    let answer = run_stoppable(&state, work, request, &id, &stop).await;
    state.close(&id);
    answer
}

async fn run_stoppable(
    state: &State,
    work: Work,
    request: Request<Incoming>,
    id: &str,
    stop: &Notify,
) -> Answer {
    let span = span(state, work, &request);
    let body = request
        .into_body()
        .collect()
        .await
        .map_err(io::Error::other)?
        .to_bytes();
    let slot = tokio::select! {
        slot = state.slots().acquire() => slot.map_err(io::Error::other)?,
        () = stop.notified() => return Ok(not_started()),
    };

    // A run of an id can't be taken back, so it can't be stopped either.
    if work == Work::Once && !state.close(id) {
        return Ok(not_started());
    }
    state.count_start();
    let answer = match work {
        Work::Once => count(state, &body),
        Work::Upload => checksum(&body),
        Work::Read => text(StatusCode::OK, "price=42\n"),
    };
    tokio::select! {
        () = tokio::time::sleep(span) => {}
        () = stop.notified() => {}
    }
    if work != Work::Once && !state.close(id) {
        return Ok(text(StatusCode::GONE, "stopped\n"));
    }
    state.count_finish();
    drop(slot);
    Ok(answer)
}

fn span(state: &State, work: Work, request: &Request<Incoming>) -> Duration {
    let millis = query_number(request, "ms").unwrap_or(match work {
        Work::Once | Work::Read => 0,
        Work::Upload => UPLOAD_MILLIS,
    });
    let extra = match state.fault() {
        Fault::Slow(extra) => extra,
        _ => Duration::ZERO,
    };
    Duration::from_millis(millis) + extra
}

fn count(state: &State, body: &Bytes) -> Response<Body> {
    match std::str::from_utf8(body) {
        Ok(id) if !id.trim().is_empty() => {
            let id = id.trim();
            let runs = state.count_run(id);
            // What was printed outlives a target that is killed.
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
