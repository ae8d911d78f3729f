//! One connection to a service: QUIC below, HTTP/3 above.

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

/// First guess of the round trip time. A lost handshake packet costs three
/// times the guess.
const INITIAL_RTT: Duration = Duration::from_millis(100);

/// Longest datagram that entries take, in octets.
const MAX_DATAGRAM_SIZE: u16 = 1_440;

/// Times that a connection is looked at within the time after which it counts
/// as silent.
const SILENCE_CHECKS: u32 = 7;

/// `LinkState` says what a connection is still good for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LinkState {
    /// New requests are welcome.
    Open,
    /// The server announced that it leaves: open requests go on.
    Leaving,
    /// Nothing was heard for so long that the server or the way to it is taken
    /// for dead. Open requests go on, in case it is not.
    Silent,
    /// Nothing comes through any more.
    Closed,
}

/// `Link` is one connection. It closes with its last clone, so whoever waits
/// for an answer holds one.
#[derive(Clone)]
pub(crate) struct Link {
    pub(crate) sender: SendRequest<OpenStreams, Bytes>,
    state: watch::Receiver<LinkState>,
    quic: quinn::Connection,
}

impl Link {
    /// Opens a connection to `server`, within the time limit of `options`.
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
            Err(_) => Err(Error::no_connection(format!("{server}: no answer in time"))),
        }
    }

    async fn start(quic: quinn::Connection, limit: Duration) -> Result<Link> {
        let (driver, sender) = h3::client::new(h3_quinn::Connection::new(quic.clone()))
            .await
            .map_err(|error| Error::no_connection(error.to_string()))?;
        let (report, state) = watch::channel(LinkState::Open);
        let report = Arc::new(report);
        tokio::spawn(drive(driver, report.clone()));
        tokio::spawn(detect_silence(quic.clone(), report, limit));
        Ok(Link {
            sender,
            state,
            quic,
        })
    }

    /// What the connection is still good for.
    pub(crate) fn state(&self) -> LinkState {
        if self.quic.close_reason().is_some() {
            return LinkState::Closed;
        }
        *self.state.borrow()
    }

    /// Reports the changes of the state, and doesn't keep the connection open.
    pub(crate) fn watch(&self) -> watch::Receiver<LinkState> {
        self.state.clone()
    }
}

/// Waits until the server announces that it leaves, or is gone.
pub(crate) async fn wait_not_open(mut state: watch::Receiver<LinkState>) {
    // A driver that is gone has reported the end of the connection.
    let _ = state.wait_for(|state| *state > LinkState::Open).await;
}

/// Drives a connection to its end and reports each change of its state.
async fn drive(
    mut driver: Connection<h3_quinn::Connection, Bytes>,
    report: Arc<watch::Sender<LinkState>>,
) {
    poll_fn(|cx| {
        let end = driver.poll_close(cx);
        if driver.is_closing() {
            advance(&report, LinkState::Leaving);
        }
        end
    })
    .await;
    advance(&report, LinkState::Closed);
}

/// Reports a connection on which nothing arrives for `limit`.
///
/// It counts looks rather than time, so that a pause of this process is not
/// taken for one of the server.
async fn detect_silence(
    quic: quinn::Connection,
    report: Arc<watch::Sender<LinkState>>,
    limit: Duration,
) {
    let mut received = 0;
    let mut idle_checks = 0;
    while quic.close_reason().is_none() && idle_checks < SILENCE_CHECKS {
        sleep(limit / SILENCE_CHECKS).await;
        let datagrams = quic.stats().udp_rx.datagrams;
        idle_checks = if datagrams == received {
            idle_checks + 1
        } else {
            0
        };
        received = datagrams;
    }
    advance(&report, LinkState::Silent);
}

fn advance(report: &watch::Sender<LinkState>, state: LinkState) {
    report.send_if_modified(|old| {
        let advanced = state > *old;
        *old = state.max(*old);
        advanced
    });
}

/// Opens the UDP socket of a client and sets the defaults of its connections.
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

    // Small buffers overflow in a burst of packets, but work; a system that
    // grants less than what is wanted is no fault.
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
