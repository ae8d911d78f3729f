//! One HTTP/3 connection to a service, and the state of its server.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h3::ConnectionState;
use h3::client::Connection;
use h3::client::SendRequest;
use h3_quinn::OpenStreams;
use quinn::ClientConfig;
use quinn::Endpoint;
use quinn::EndpointConfig;
use quinn::IdleTimeout;
use quinn::MtuDiscoveryConfig;
use quinn::TokioRuntime;
use quinn::TransportConfig;
use quinn::crypto::rustls::QuicClientConfig;
use rustls::RootCertStore;
use rustls::crypto::ring;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::errors::Error;
use crate::errors::Result;
use crate::options::ClientOptions;

/// Initial estimate of the round trip time. A lost handshake packet delays the
/// handshake by three times this estimate.
const INITIAL_RTT: Duration = Duration::from_millis(100);

/// Maximum size in octets of the datagrams that entries accept. Entries are the load
/// balancer processes that receive the packets of clients.
const MAX_DATAGRAM_SIZE: u16 = 1_440;

/// Number of checks for received datagrams within `ClientOptions::silence_limit`.
const SILENCE_CHECKS: u32 = 7;

/// Usability of a connection. The state only advances, in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LinkState {
    /// New requests are accepted.
    Open,
    /// The server announced that it is leaving. Open requests continue.
    Leaving,
    /// No datagram arrived within `silence_limit`, so the server or the path to it
    /// is considered dead. Open requests continue, because it may still be alive.
    Silent,
    /// The connection is closed. No data passes.
    Closed,
}

/// One connection. It closes when the last clone of the `Link` is dropped, so a task
/// that waits for an answer holds a clone.
#[derive(Clone)]
pub(crate) struct Link {
    pub(crate) sender: SendRequest<OpenStreams, Bytes>,
    state: watch::Receiver<LinkState>,
    quic: quinn::Connection,
}

impl Link {
    /// Opens a connection to `server` within `options.connect_timeout`.
    pub(crate) async fn open(
        endpoint: &Endpoint,
        server: SocketAddr,
        options: &ClientOptions,
    ) -> Result<Link> {
        let opening = async {
            let quic = endpoint
                .connect(server, &options.name)
                .map_err(|error| Error::malformed(error.to_string()))?
                .await
                .map_err(|error| Error::no_connection(format!("{server}: {error}")))?;
            Link::start(quic, options.silence_limit).await
        };
        match timeout(options.connect_timeout, opening).await {
            Ok(link) => link,
            Err(_) => Err(Error::no_connection(format!(
                "{server}: handshake timed out"
            ))),
        }
    }

    /// Starts HTTP/3 on a QUIC connection, and the tasks that track its state.
    async fn start(quic: quinn::Connection, silence_limit: Duration) -> Result<Link> {
        let (driver, sender) = h3::client::new(h3_quinn::Connection::new(quic.clone()))
            .await
            .map_err(|error| Error::no_connection(error.to_string()))?;
        let (state_sender, state) = watch::channel(LinkState::Open);
        let state_sender = Arc::new(state_sender);
        tokio::spawn(drive(driver, state_sender.clone()));
        tokio::spawn(detect_silence(quic.clone(), state_sender, silence_limit));
        Ok(Link {
            sender,
            state,
            quic,
        })
    }

    /// Returns the current state.
    pub(crate) fn state(&self) -> LinkState {
        if self.quic.close_reason().is_some() {
            return LinkState::Closed;
        }
        *self.state.borrow()
    }

    /// Returns a receiver of state changes, which does not keep the connection open.
    pub(crate) fn watch(&self) -> watch::Receiver<LinkState> {
        self.state.clone()
    }
}

/// Waits until the connection is no longer `Open`.
pub(crate) async fn wait_not_open(mut state: watch::Receiver<LinkState>) {
    // The wait fails only if every sender is dropped. The driver reports `Closed` before
    // it drops its sender.
    let _ = state.wait_for(|state| *state > LinkState::Open).await;
}

/// Drives a connection until it closes, and reports when the server leaves and when it closes.
async fn drive(
    mut driver: Connection<h3_quinn::Connection, Bytes>,
    state_sender: Arc<watch::Sender<LinkState>>,
) {
    poll_fn(|cx| {
        let end = driver.poll_close(cx);
        if driver.is_closing() {
            advance(&state_sender, LinkState::Leaving);
        }
        end
    })
    .await;
    advance(&state_sender, LinkState::Closed);
}

/// Reports a connection as silent when no datagram arrives for `silence_limit`.
///
/// Counts checks rather than elapsed time, so that a pause of this process is not
/// mistaken for a silence of the server.
async fn detect_silence(
    quic: quinn::Connection,
    state_sender: Arc<watch::Sender<LinkState>>,
    silence_limit: Duration,
) {
    let mut received = 0;
    let mut idle_checks = 0;
    while quic.close_reason().is_none() && idle_checks < SILENCE_CHECKS {
        sleep(silence_limit / SILENCE_CHECKS).await;
        let datagrams = quic.stats().udp_rx.datagrams;
        idle_checks = if datagrams == received {
            idle_checks + 1
        } else {
            0
        };
        received = datagrams;
    }
    advance(&state_sender, LinkState::Silent);
}

/// Raises the state to `state`, and notifies receivers if it changed.
fn advance(state_sender: &watch::Sender<LinkState>, state: LinkState) {
    state_sender.send_if_modified(|old| {
        let advanced = state > *old;
        *old = state.max(*old);
        advanced
    });
}

/// Opens the UDP socket of a client and configures its connections.
///
/// Fails if an option is malformed or the socket can't be opened.
pub(crate) fn endpoint(options: &ClientOptions) -> Result<Endpoint> {
    let first = options
        .servers
        .first()
        .ok_or_else(|| Error::malformed("no server address, expected at least one"))?;
    let socket = socket(first, options.socket_buffer)
        .map_err(|error| Error::no_connection(format!("UDP socket: {error}")))?;
    let runtime = Arc::new(TokioRuntime);
    let mut endpoint = Endpoint::new(EndpointConfig::default(), None, socket, runtime)
        .map_err(|error| Error::no_connection(format!("UDP socket: {error}")))?;
    endpoint.set_default_client_config(client_config(options)?);
    Ok(endpoint)
}

fn socket(server: &SocketAddr, buffer: usize) -> std::io::Result<UdpSocket> {
    let domain = Domain::for_address(*server);
    let socket = Socket::new(domain, Type::DGRAM, Some(Protocol::UDP))?;
    let local: SocketAddr = match server {
        SocketAddr::V4(_) => ([0; 4], 0).into(),
        SocketAddr::V6(_) => ([0; 16], 0).into(),
    };
    socket.bind(&local.into())?;

    // A smaller buffer works, but overflows in a burst of packets. A system that
    // grants less than requested is not an error.
    let _ = socket.set_recv_buffer_size(buffer);
    let _ = socket.set_send_buffer_size(buffer);
    Ok(socket.into())
}

fn client_config(options: &ClientOptions) -> Result<ClientConfig> {
    let mut roots = RootCertStore::empty();
    for root in &options.roots {
        roots
            .add(root.clone())
            .map_err(|error| Error::malformed(format!("root certificate: {error}")))?;
    }
    let provider = Arc::new(ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| Error::malformed(error.to_string()))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];

    let quic =
        QuicClientConfig::try_from(tls).map_err(|error| Error::malformed(error.to_string()))?;
    let mut config = ClientConfig::new(Arc::new(quic));
    config.transport_config(Arc::new(transport(
        options.keep_alive,
        options.idle_timeout,
    )?));
    Ok(config)
}

fn transport(keep_alive: Duration, idle: Duration) -> Result<TransportConfig> {
    let idle = IdleTimeout::try_from(idle)
        .map_err(|error| Error::malformed(format!("idle timeout: {error}")))?;
    let mut discovery = MtuDiscoveryConfig::default();
    discovery.upper_bound(MAX_DATAGRAM_SIZE);
    let mut transport = TransportConfig::default();
    transport
        .max_idle_timeout(Some(idle))
        .keep_alive_interval(Some(keep_alive))
        .initial_rtt(INITIAL_RTT)
        .mtu_discovery_config(Some(discovery));
    Ok(transport)
}
