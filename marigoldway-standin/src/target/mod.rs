//! Stand-in for a target: an HTTP/1.1 server of one service.
//!
//! - `GET /feed` sends events until the client closes it (module `feed`).
//! - `POST /order` and `POST /transfer` take an id as their body and count its
//!   runs; `GET /runs?id=X` returns the count.
//! - `POST /upload?ms=N` runs for N ms and returns the length and checksum of its
//!   body.
//! - `GET /price` is a short read.
//! - `GET /load` and `GET /counts` report the state of the target; `GET /health` always reports a
//!   healthy target.
//! - `POST /fault?kind=slow|shed|close|broken|none&ms=N` sets the target's fault
//!   (`Fault` in module `state`).
//! - `POST /.marigoldway/cancel?id=REQ` cancels a request unless it is no longer
//!   cancellable.

mod feed;
mod requests;
mod state;

use std::io;
use std::net::SocketAddrV4;
use std::sync::Arc;

use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use tokio::net::TcpListener;

use crate::announce;
use crate::http as server;
use crate::http::Body;
use crate::http::HandlerResult;
use crate::http::query;
use crate::http::query_number;
use crate::http::text;
use crate::target::requests::RequestKind;
use crate::target::state::Fault;
use crate::target::state::State;

/// `TargetOptions` are the address, service and capacity of a target.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Listening address.
    pub listen: SocketAddrV4,
    /// Name of the service.
    pub service: String,
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
}

/// Serves requests until the process is terminated.
///
/// # Errors
///
/// The error of the socket if the address can't be bound.
pub async fn run(options: TargetOptions) -> io::Result<()> {
    let listener = TcpListener::bind(options.listen).await?;
    announce(listener.local_addr()?)?;
    let state = Arc::new(State::new(options.service, options.slots));
    server::serve(listener, state, handle).await;
    Ok(())
}

async fn handle(state: Arc<State>, request: Request<Incoming>) -> HandlerResult {
    let service = state.service().to_owned();
    let mut response = route(state, request).await?;
    if let Ok(value) = HeaderValue::from_str(&service) {
        response.headers_mut().insert("standin-service", value);
    }
    Ok(response)
}

async fn route(state: Arc<State>, request: Request<Incoming>) -> HandlerResult {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/feed") => match state.fault() {
            Fault::Shed => Ok(requests::not_started()),
            Fault::Broken => Ok(text(StatusCode::INTERNAL_SERVER_ERROR, "broken\n")),
            _ => Ok(feed::open(&state, &request)),
        },
        (&Method::POST, "/order" | "/transfer") => {
            requests::run(state, RequestKind::Write, request).await
        }
        (&Method::POST, "/upload") => requests::run(state, RequestKind::Upload, request).await,
        (&Method::GET, "/price") => requests::run(state, RequestKind::Read, request).await,
        (&Method::POST, "/.marigoldway/cancel") => Ok(cancel(&state, &request)),
        (&Method::POST, "/fault") => Ok(set_fault(&state, &request)),
        (&Method::GET, path) => Ok(report(&state, path, &request)),
        _ => Ok(text(StatusCode::NOT_FOUND, "no such path\n")),
    }
}

fn cancel(state: &State, request: &Request<Incoming>) -> Response<Body> {
    match query(request, "id") {
        Some(id) if state.cancel(id) => text(StatusCode::ACCEPTED, "stopped\n"),
        _ => text(StatusCode::CONFLICT, "not stopped\n"),
    }
}

fn set_fault(state: &State, request: &Request<Incoming>) -> Response<Body> {
    let millis = query_number(request, "ms").unwrap_or_default();
    match query(request, "kind").and_then(|kind| Fault::parse(kind, millis)) {
        Some(fault) => {
            state.set_fault(fault);
            text(StatusCode::OK, "ok\n")
        }
        None => text(
            StatusCode::BAD_REQUEST,
            "expected kind=slow|shed|close|broken|none\n",
        ),
    }
}

fn report(state: &State, path: &str, request: &Request<Incoming>) -> Response<Body> {
    match path {
        // Reports a healthy target whatever the fault, so that health checks alone
        // don't detect faults.
        "/health" => text(StatusCode::OK, "ok\n"),
        "/load" => text(StatusCode::OK, state.load().to_string()),
        "/counts" => text(StatusCode::OK, state.counts().to_string()),
        "/runs" => match query(request, "id") {
            Some(id) => text(StatusCode::OK, state.runs(id).to_string()),
            None => text(StatusCode::BAD_REQUEST, "expected id=X\n"),
        },
        _ => text(StatusCode::NOT_FOUND, "no such path\n"),
    }
}
