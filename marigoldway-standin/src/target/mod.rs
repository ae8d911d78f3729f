//! Stand-in for a target: one HTTP/1.1 server of a service.
//!
//! - `GET /feed` sends events for as long as it is open (module `feed`).
//! - `POST /order` and `POST /transfer` take an id as their body and count how
//!   often it ran; `GET /runs?id=X` tells.
//! - `POST /upload?ms=N` takes long and answers with length and checksum.
//! - `GET /price` is a short read.
//! - `GET /health`, `GET /load` and `GET /counts` tell of the target.
//! - `POST /fault?kind=slow|shed|close|broken|none&ms=N` breaks it.
//! - `POST /.marigoldway/cancel?id=REQ` stops a request that can be stopped.

mod feed;
mod state;
mod work;

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
use crate::http::Answer;
use crate::http::Body;
use crate::http::query;
use crate::http::query_number;
use crate::http::text;
use crate::target::state::Fault;
use crate::target::state::State;
use crate::target::work::Work;

/// `TargetOptions` says which target to be.
#[derive(Clone, Debug)]
pub struct TargetOptions {
    /// Address to listen at.
    pub listen: SocketAddrV4,
    /// Name of the service.
    pub service: String,
    /// Requests that run at a time.
    pub slots: usize,
}

/// Serves requests until the process is ended.
pub async fn run(options: TargetOptions) -> io::Result<()> {
    let listener = TcpListener::bind(options.listen).await?;
    announce(listener.local_addr()?)?;
    let state = Arc::new(State::new(options.service, options.slots));
    server::serve(listener, state, handle).await;
    Ok(())
}

async fn handle(state: Arc<State>, request: Request<Incoming>) -> Answer {
    let service = state.service().to_owned();
    let mut response = answer(state, request).await?;
    if let Ok(value) = HeaderValue::from_str(&service) {
        response.headers_mut().insert("standin-service", value);
    }
    Ok(response)
}

async fn answer(state: Arc<State>, request: Request<Incoming>) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/feed") => match state.fault() {
            Fault::Shed => Ok(work::not_started()),
            Fault::Broken => Ok(text(StatusCode::INTERNAL_SERVER_ERROR, "broken\n")),
            _ => Ok(feed::open(&state, &request)),
        },
        (&Method::POST, "/order" | "/transfer") => work::run(state, Work::Once, request).await,
        (&Method::POST, "/upload") => work::run(state, Work::Upload, request).await,
        (&Method::GET, "/price") => work::run(state, Work::Read, request).await,
        (&Method::POST, "/.marigoldway/cancel") => Ok(cancel(&state, &request)),
        (&Method::POST, "/fault") => Ok(set_fault(&state, &request)),
        (&Method::GET, path) => Ok(tell(&state, path, &request)),
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

fn tell(state: &State, path: &str, request: &Request<Incoming>) -> Response<Body> {
    match path {
        // The target misleads: it calls itself healthy whatever its fault.
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
