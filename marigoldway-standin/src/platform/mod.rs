//! Stand-in for the platform's key-value service.
//!
//! It serves the part of etcd's v3 JSON gateway that the system uses, keeps all
//! data in memory, and is controlled over HTTP:
//!
//! - `POST /fault?kind=down&ms=N`: ends every watch, and for N ms closes the connection of every
//!   request without a response.
//! - `POST /fault?kind=slow&ms=N`: delays the handling of every request by N ms; 0 ends the fault.
//! - `POST /fault?kind=lose-answer&count=N`: the next N transactions are executed, but their
//!   connections are closed before the response.
//! - `POST /fault?kind=cut-watches&ms=N`: ends every watch and rejects new ones for
//!   N ms.
//! - `POST /fault?kind=none`: ends all faults.
//! - `POST /restore?revision=N`: restores the state of an older revision and ends
//!   every watch.
//! - `GET /calls`: returns the number of requests by path, as JSON.
//! - `GET /revision`: returns the current revision.

mod faults;
mod gateway;
mod store;

use std::convert::Infallible;
use std::io;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::announce;
use crate::platform::faults::Faults;
use crate::platform::store::Store;

type Body = BoxBody<Bytes, Infallible>;

/// `PlatformOptions` is the listening address of the stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformOptions {
    /// TCP address; with port 0 the operating system chooses the port.
    pub listen: SocketAddrV4,
}

/// Listens on the address, prints it, and serves connections until the task is
/// dropped.
///
/// # Errors
///
/// The error of the socket if the address can't be bound.
pub async fn run(options: PlatformOptions) -> io::Result<()> {
    let listener = TcpListener::bind(options.listen).await?;
    announce(listener.local_addr()?)?;
    serve(listener).await
}

/// Serves connections of `listener` until the task is dropped.
///
/// # Errors
///
/// The error of the socket if a connection can't be accepted.
pub async fn serve(listener: TcpListener) -> io::Result<()> {
    let server = Arc::new(Server::default());
    tokio::spawn(gateway::expire_leases(server.clone()));
    loop {
        let (stream, _) = listener.accept().await?;
        let server = server.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| handle(server.clone(), request));
            // Errors are expected: some faults close connections.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// `Server` is the state that all connections share.
#[derive(Default)]
struct Server {
    state: Mutex<State>,
    /// Wakes watches; the value counts how often all watches were ended.
    wake: watch::Sender<u64>,
}

#[derive(Default)]
struct State {
    store: Store,
    faults: Faults,
    calls: IndexMap<String, u64>,
}

impl Server {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes every watch so that it checks for changes.
    fn wake(&self) {
        self.wake.send_modify(|_| ());
    }

    /// Ends every watch.
    fn cut_watches(&self) {
        self.wake.send_modify(|cuts| *cuts += 1);
    }
}

/// Error of a handler that makes the server close the connection.
fn abort_connection() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionAborted)
}

async fn handle(server: Arc<Server>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    if !path.starts_with("/v3/") {
        return Ok(handle_control(&server, request.method(), &path, &query));
    }

    let delay = {
        let mut state = server.lock();
        *state.calls.entry(path.clone()).or_default() += 1;
        if state.faults.is_down() {
            return Err(abort_connection());
        }
        state.faults.delay()
    };
    tokio::time::sleep(delay).await;

    let body = request
        .into_body()
        .collect()
        .await
        .map_err(|_| abort_connection())?;
    let Ok(body) = serde_json::from_slice(&body.to_bytes()) else {
        return Ok(text(StatusCode::BAD_REQUEST, "not JSON"));
    };
    if path == "/v3/watch" {
        return gateway::watch(&server, &body);
    }
    let (reply, lost) = call(&server, &path, &body);
    match reply {
        _ if lost => Err(abort_connection()),
        Some(reply) => Ok(text(StatusCode::OK, &reply.to_string())),
        None => Ok(text(StatusCode::NOT_FOUND, "unknown path")),
    }
}

/// Executes one method of the gateway, and returns whether its response is to be
/// lost. The response is `None` for an unknown path.
fn call(server: &Server, path: &str, body: &Value) -> (Option<Value>, bool) {
    let mut state = server.lock();
    let State { store, faults, .. } = &mut *state;
    let reply = match path {
        "/v3/kv/range" => gateway::range(store, body),
        "/v3/kv/txn" => gateway::txn(store, body),
        "/v3/lease/grant" => gateway::grant(store, body),
        "/v3/lease/keepalive" => gateway::keep_alive(store, body),
        _ => return (None, false),
    };
    let lost = path == "/v3/kv/txn" && faults.loses_response();
    drop(state);
    server.wake();
    (Some(reply), lost)
}

/// Handles the requests that control the stand-in.
fn handle_control(server: &Server, method: &Method, path: &str, query: &str) -> Response<Body> {
    let number = |name: &str| query_param(query, name).and_then(|n| n.parse().ok());
    match (method.as_str(), path) {
        ("GET", "/calls") => {
            let calls = serde_json::json!(server.lock().calls);
            return text(StatusCode::OK, &calls.to_string());
        }
        ("GET", "/revision") => {
            let revision = server.lock().store.revision();
            return text(StatusCode::OK, &revision.to_string());
        }
        ("POST", "/restore") => {
            let Some(revision) = number("revision") else {
                return text(StatusCode::BAD_REQUEST, "revision=N is missing");
            };
            server.lock().store.restore(revision);
            server.cut_watches();
        }
        ("POST", "/fault") => {
            let kind = query_param(query, "kind").unwrap_or_default();
            let amount = number("ms").or(number("count")).unwrap_or_default();
            if !server.lock().faults.set(kind, amount) {
                return text(StatusCode::BAD_REQUEST, "unknown kind");
            }
            if matches!(kind, "down" | "cut-watches") {
                server.cut_watches();
            }
        }
        _ => return text(StatusCode::NOT_FOUND, "unknown path"),
    }
    text(StatusCode::OK, "done")
}

fn query_param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn text(status: StatusCode, body: &str) -> Response<Body> {
    let body = Full::new(Bytes::from(format!("{body}\n"))).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
