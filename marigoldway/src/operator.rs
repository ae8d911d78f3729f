//! Operator endpoints over HTTP/1.1, on a loopback address by default.
//!
//! - `/health`: 200 while the process runs.
//! - `/ready`: 200 while the process accepts new work, else 503.
//! - `/status`: state and counters of the process as JSON.

use std::io;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use indexmap::IndexMap;
use serde_json::Value;
use serde_json::json;
use xitca_web::App;
use xitca_web::body::ResponseBody;
use xitca_web::handler::handler_service;
use xitca_web::handler::state::StateRef;
use xitca_web::http::StatusCode;
use xitca_web::http::WebResponse;
use xitca_web::http::header::CONTENT_TYPE;
use xitca_web::http::header::HeaderValue;
use xitca_web::route::get;

use crate::metrics::Metrics;
use crate::shutdown::Phase;
use crate::shutdown::Shutdown;

/// Number of server threads and of worker threads for the operator endpoints.
const THREADS: usize = 1;

/// State of a process that the operator endpoints expose.
pub struct Status {
    role: &'static str,
    instance: String,
    started: Instant,
    ready: AtomicBool,
    facts: Mutex<IndexMap<&'static str, Value>>,
    metrics: Arc<Metrics>,
    shutdown: Shutdown,
}

impl Status {
    /// Creates the status of a process that isn't ready yet.
    pub fn new(
        role: &'static str,
        instance: String,
        metrics: Arc<Metrics>,
        shutdown: Shutdown,
    ) -> Status {
        Status {
            role,
            instance,
            started: Instant::now(),
            ready: AtomicBool::new(false),
            facts: Mutex::new(IndexMap::new()),
            metrics,
            shutdown,
        }
    }

    /// Sets whether the process can accept new work.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, Ordering::Relaxed);
    }

    /// Returns whether the process accepts new work: it is ready and not leaving.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && self.shutdown.phase() == Phase::Running
    }

    /// Sets a value under `facts` in `/status`, such as the number of records in the roster.
    pub fn set_fact(&self, name: &'static str, value: impl Into<Value>) {
        let mut facts = self.facts.lock().unwrap_or_else(PoisonError::into_inner);
        facts.insert(name, value.into());
    }

    /// Returns the response body of `/status`.
    pub fn to_json(&self) -> Value {
        let facts = self
            .facts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        json!({
            "role": self.role,
            "instance": self.instance,
            "version": env!("CARGO_PKG_VERSION"),
            "phase": self.shutdown.phase().as_str(),
            "ready": self.is_ready(),
            "uptime-s": self.started.elapsed().as_secs(),
            "facts": facts,
            "counters": self.metrics.snapshot(),
        })
    }
}

/// HTTP server of the operator endpoints, bound to its address.
pub struct Operator {
    listener: TcpListener,
    status: Arc<Status>,
}

impl Operator {
    /// Binds the address, so that a conflict is detected before the process accepts work. Fails if
    /// the address can't be bound.
    pub fn bind(addr: SocketAddrV4, status: Arc<Status>) -> io::Result<Operator> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        Ok(Operator { listener, status })
    }

    /// Serves the endpoints until the process ends.
    ///
    /// The HTTP library runs two threads, each with its own runtime. Both end with the server.
    pub async fn run(self, shutdown: Shutdown) -> io::Result<()> {
        let server = App::new()
            .with_state(self.status)
            .at("/health", get(handler_service(health)))
            .at("/ready", get(handler_service(ready)))
            .at("/status", get(handler_service(status)))
            .serve()
            .server_threads(THREADS)
            .worker_threads(THREADS)
            .disable_signal()
            .listen(self.listener)?
            .run();
        let mut server = pin!(server);
        let handle = server.handle()?;
        tokio::select! {
            result = &mut server => return result,
            () = shutdown.ending() => handle.stop(false),
        }
        server.await
    }
}

async fn health() -> WebResponse {
    text(StatusCode::OK, "ok\n")
}

async fn ready(StateRef(status): StateRef<'_, Arc<Status>>) -> WebResponse {
    if status.is_ready() {
        text(StatusCode::OK, "ready\n")
    } else {
        text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn status(StateRef(status): StateRef<'_, Arc<Status>>) -> WebResponse {
    let mut response = text(StatusCode::OK, format!("{:#}\n", status.to_json()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

fn text(status: StatusCode, text: impl Into<String>) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::from(text.into()));
    *response.status_mut() = status;
    response
}
