//! HTTP/3 test server. Several of its paths simulate faults.
#![allow(dead_code, reason = "each test file uses only some of the items")]

pub mod relay;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use h3::error::Code;
use h3::server::Connection;
use h3::server::RequestStream;
use h3_quinn::BidiStream;
use http::Request;
use http::Response;
use quinn::Endpoint;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rcgen::CertifiedKey;
use rustls::crypto::ring;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivatePkcs8KeyDer;
use tokio::sync::watch;

use marigoldway_client::options::ClientOptions;

type Stream = RequestStream<BidiStream<Bytes>, Bytes>;

/// Time between two events of the feed.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);

/// Service whose servers have the same certificate and feed.
pub struct Service {
    certificate: CertificateDer<'static>,
    key: Vec<u8>,
    /// State shared by the servers.
    pub shared: Arc<Shared>,
}

/// State shared by the servers of a service.
pub struct Shared {
    /// Number of the last event of the feed.
    last_event: AtomicU64,
    /// Number of requests whose head a server has read, excluding feeds.
    pub calls: AtomicU64,
    /// End of the body of the last request to `/slow`.
    pub body: watch::Sender<BodyEnd>,
}

/// State of a request body: incomplete, ended, or reset by the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    Open,
    Clean,
    Reset,
}

/// One server of a service. Dropping it closes its connections.
pub struct Server {
    pub addr: SocketAddr,
    endpoint: Endpoint,
    leave: watch::Sender<bool>,
    accepting: Arc<AtomicBool>,
}

impl Service {
    /// Creates a service and starts its feed. Must run in a tokio runtime.
    pub fn start() -> Service {
        let CertifiedKey { cert, signing_key } =
            rcgen::generate_simple_self_signed(["service.test".to_owned()]).expect("certificate");
        let shared = Arc::new(Shared {
            last_event: AtomicU64::new(0),
            calls: AtomicU64::new(0),
            body: watch::Sender::new(BodyEnd::Open),
        });
        let feed = shared.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(EVENT_INTERVAL).await;
                feed.last_event.fetch_add(1, Ordering::Relaxed);
            }
        });
        Service {
            certificate: cert.der().clone(),
            key: signing_key.serialize_der(),
            shared,
        }
    }

    /// Starts a server of the service.
    pub fn server(&self) -> Server {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let endpoint = Endpoint::server(self.config(), any_port).expect("socket");
        let addr = endpoint.local_addr().expect("address");
        let (leave, leaving) = watch::channel(false);
        let accepting = Arc::new(AtomicBool::new(true));
        let accepts = accepting.clone();
        let shared = self.shared.clone();
        let listener = endpoint.clone();
        tokio::spawn(async move {
            while let Some(incoming) = listener.accept().await {
                if !accepts.load(Ordering::Relaxed) {
                    incoming.refuse();
                    continue;
                }
                let (shared, leaving) = (shared.clone(), leaving.clone());
                tokio::spawn(async move {
                    if let Ok(quic) = incoming.await {
                        serve(quic, leaving, shared).await;
                    }
                });
            }
        });
        Server {
            addr,
            endpoint,
            leave,
            accepting,
        }
    }

    /// Returns the options of a client that uses `servers`.
    pub fn options(&self, servers: &[&Server]) -> ClientOptions {
        ClientOptions {
            servers: servers.iter().map(|server| server.addr).collect(),
            name: "service.test".to_owned(),
            roots: vec![self.certificate.clone()],
            ..ClientOptions::default()
        }
    }

    fn config(&self) -> ServerConfig {
        let key = PrivatePkcs8KeyDer::from(self.key.clone()).into();
        let mut tls = rustls::ServerConfig::builder_with_provider(ring::default_provider().into())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .expect("versions")
            .with_no_client_auth()
            .with_single_cert(vec![self.certificate.clone()], key)
            .expect("certificate");
        tls.alpn_protocols = vec![b"h3".to_vec()];
        let quic = QuicServerConfig::try_from(tls).expect("cipher suites");
        let mut config = ServerConfig::with_crypto(Arc::new(quic));
        let mut transport = TransportConfig::default();
        transport.max_idle_timeout(None);
        config.transport_config(Arc::new(transport));
        config
    }
}

impl Server {
    /// Sets whether the server accepts new connections.
    pub fn set_accepting(&self, accepting: bool) {
        self.accepting.store(accepting, Ordering::Relaxed);
    }

    /// Announces that the server is leaving, and refuses new connections.
    pub fn leave(&self) {
        self.set_accepting(false);
        self.leave.send_replace(true);
    }

    /// Waits until no connection is open.
    pub async fn wait_idle(&self) {
        self.endpoint.wait_idle().await;
    }

    /// Closes all connections without an announcement, and refuses new ones.
    pub fn abort(&self) {
        self.set_accepting(false);
        self.endpoint.close(1_u32.into(), b"");
    }
}

async fn serve(quic: quinn::Connection, mut leaving: watch::Receiver<bool>, shared: Arc<Shared>) {
    let mut http = Connection::new(h3_quinn::Connection::new(quic.clone()))
        .await
        .expect("HTTP/3");
    let mut announced = false;
    loop {
        tokio::select! {
            request = http.accept() => {
                let Ok(Some(resolver)) = request else { return };
                let (quic, shared) = (quic.clone(), shared.clone());
                tokio::spawn(async move {
                    if let Ok((request, stream)) = resolver.resolve_request().await {
                        answer(quic, request, stream, shared).await;
                    }
                });
            }
            () = wait_leaving(&mut leaving), if !announced => {
                announced = true;
                let _ = http.shutdown(0).await;
            }
        }
    }
}

async fn wait_leaving(leaving: &mut watch::Receiver<bool>) {
    let _ = leaving.wait_for(|leaving| *leaving).await;
}

async fn answer(
    quic: quinn::Connection,
    request: Request<()>,
    mut stream: Stream,
    shared: Arc<Shared>,
) {
    if request.uri().path() == "/feed" {
        return feed(request, stream, &shared.last_event).await;
    }
    let call = shared.calls.fetch_add(1, Ordering::Relaxed);
    match (request.uri().path(), call) {
        ("/half", _) => {
            let head = Response::builder().header("content-length", 10);
            send_part(&mut stream, head.body(()).expect("head"), "half").await;
            stream.stop_stream(Code::H3_INTERNAL_ERROR);
        }
        ("/short", _) => {
            let head = Response::builder().header("content-length", 10);
            send_part(&mut stream, head.body(()).expect("head"), "half").await;
            let _ = stream.finish().await;
        }
        ("/cut", _) | ("/cut-once" | "/cut-then-refuse", 0) => quic.close(1_u32.into(), b""),
        ("/refuse", _) | ("/refuse-once", 0) | ("/cut-then-refuse", _) => {
            refuse(&mut stream, "queue-full").await;
        }
        ("/missing", _) => {
            let head = Response::builder().status(404);
            send_part(&mut stream, head.body(()).expect("head"), "missing").await;
            let _ = stream.finish().await;
        }
        ("/slow", _) => {
            shared.body.send_replace(read_slowly(&mut stream).await);
        }
        ("/hang", _) => std::future::pending().await,
        ("/.marigoldway/keys", _) => send_whole(&mut stream, "key-a\nkey-b\n").await,
        _ => echo(&mut stream).await,
    }
}

async fn send_part(stream: &mut Stream, head: Response<()>, body: &'static str) {
    let _ = stream.send_response(head).await;
    let _ = stream.send_data(body.into()).await;
}

async fn send_whole(stream: &mut Stream, body: &'static str) {
    send_part(stream, Response::new(()), body).await;
    let _ = stream.finish().await;
}

async fn refuse(stream: &mut Stream, reason: &str) {
    let head = Response::builder()
        .status(503)
        .header("marigoldway-outcome", "not-run")
        .header("marigoldway-reason", reason);
    send_part(stream, head.body(()).expect("head"), "refused").await;
    let _ = stream.finish().await;
}

async fn echo(stream: &mut Stream) {
    let mut body = Vec::new();
    while let Ok(Some(mut chunk)) = stream.recv_data().await {
        body.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    let head = Response::builder()
        .header("marigoldway-outcome", "done")
        .header("marigoldway-target", "127.0.1.1:7000");
    let _ = stream.send_response(head.body(()).expect("head")).await;
    let _ = stream.send_data(body.into()).await;
    let _ = stream.finish().await;
}

/// Reads a body, with a pause of 1 s after its first part.
async fn read_slowly(stream: &mut Stream) -> BodyEnd {
    let _ = stream.recv_data().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    loop {
        match stream.recv_data().await {
            Ok(Some(_)) => {}
            Ok(None) => return BodyEnd::Clean,
            Err(_) => return BodyEnd::Reset,
        }
    }
}

/// Sends every event after `last-event-id`, or every new event without that header.
async fn feed(request: Request<()>, mut stream: Stream, last_event: &AtomicU64) {
    let last = request.headers().get("last-event-id");
    let last = last.map(|last| last.to_str().expect("text").parse::<u64>().expect("number"));
    let mut sent = last.unwrap_or_else(|| last_event.load(Ordering::Relaxed));
    let _ = stream.send_response(Response::new(())).await;
    loop {
        while sent < last_event.load(Ordering::Relaxed) {
            sent += 1;
            let event = format!("id: {sent}\ndata: event {sent}\n\n");
            if stream.send_data(event.into()).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(EVENT_INTERVAL).await;
    }
}
