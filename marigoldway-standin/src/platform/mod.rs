//! Stand-in for the platform's key-value service.
//!
//! It answers the part of etcd's v3 JSON gateway that the system uses, keeps
//! everything in memory, and fails on request:
//!
//! - `POST /fault?kind=down&ms=N`: every connection is cut for N ms.
//! - `POST /fault?kind=slow&ms=N`: every answer takes N ms longer; 0 ends it.
//! - `POST /fault?kind=lose-answer&count=N`: the next N writes take effect and
//!   their connections are cut before the answer.
//! - `POST /fault?kind=cut-watches&ms=N`: every watch ends, and new ones are
//!   refused for N ms.
//! - `POST /fault?kind=none`: ends all faults.
//! - `POST /restore?revision=N`: brings back the state of an older revision.
//! - `GET /calls`: the number of calls by path, as JSON.

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

/// `PlatformOptions` says where the stand-in listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformOptions {
    /// TCP address; port 0 lets the system choose.
    pub listen: SocketAddrV4,
}

/// Runs the stand-in until its task is dropped.
///
/// # Errors
///
/// The error of the socket if the address can't be taken.
pub async fn run(options: PlatformOptions) -> io::Result<()> {
    let listener = TcpListener::bind(options.listen).await?;
    announce(listener.local_addr()?)?;
    serve(listener).await
}

/// Serves connections of `listener`.
///
/// # Errors
///
/// The error of the socket if no more connections can be taken.
pub async fn serve(listener: TcpListener) -> io::Result<()> {
    let server = Arc::new(Server::default());
    tokio::spawn(gateway::expire_leases(server.clone()));
    loop {
        let (stream, _) = listener.accept().await?;
        let server = server.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| answer(server.clone(), request));
            // A cut connection is one of the faults.
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// `Server` is what all connections share.
#[derive(Default)]
struct Server {
    state: Mutex<State>,
    /// Wakes watches: the number of the last cut.
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

    /// Wakes every watch to look for changes.
    fn wake(&self) {
        self.wake.send_modify(|_| ());
    }

    /// Ends every watch.
    fn cut_watches(&self) {
        self.wake.send_modify(|cuts| *cuts += 1);
    }
}

/// Error that makes the server cut a connection.
fn cut() -> io::Error {
    io::Error::from(io::ErrorKind::ConnectionAborted)
}

async fn answer(server: Arc<Server>, request: Request<Incoming>) -> io::Result<Response<Body>> {
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    if !path.starts_with("/v3/") {
        return Ok(operate(&server, request.method(), &path, &query));
    }

    let delay = {
        let mut state = server.lock();
        *state.calls.entry(path.clone()).or_default() += 1;
        if state.faults.is_down() {
            return Err(cut());
        }
        state.faults.delay()
    };
    tokio::time::sleep(delay).await;

    let body = request.into_body().collect().await.map_err(|_| cut())?;
    let Ok(body) = serde_json::from_slice(&body.to_bytes()) else {
        return Ok(text(StatusCode::BAD_REQUEST, "not JSON"));
    };
    if path == "/v3/watch" {
        return gateway::watch(&server, &body);
    }
    let (reply, lost) = call(&server, &path, &body);
    match reply {
        _ if lost => Err(cut()),
        Some(reply) => Ok(text(StatusCode::OK, &reply.to_string())),
        None => Ok(text(StatusCode::NOT_FOUND, "unknown path")),
    }
}

/// Makes one call and tells whether its answer is to be lost.
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
    let lost = path == "/v3/kv/txn" && faults.loses_answer();
    drop(state);
    server.wake();
    (Some(reply), lost)
}

/// Answers the requests that set faults.
fn operate(server: &Server, method: &Method, path: &str, query: &str) -> Response<Body> {
    let number = |name: &str| param(query, name).and_then(|n| n.parse().ok());
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
            let kind = param(query, "kind").unwrap_or_default();
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

fn param<'a>(query: &'a str, name: &str) -> Option<&'a str> {
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
