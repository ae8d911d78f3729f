//! Options of a client and their defaults.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use rustls::pki_types::CertificateDer;

/// Addresses, credentials, timeouts and limits of a client.
#[derive(Clone)]
pub struct ClientOptions {
    /// Addresses of the service, at least one. The client tries them in order from a
    /// random start.
    pub servers: Vec<SocketAddr>,
    /// Name that the server's certificate must contain, also the authority of each
    /// request. Default `localhost`.
    pub name: String,
    /// Trusted root certificates for the server's certificate.
    pub roots: Vec<CertificateDer<'static>>,
    /// Token of the customer, sent with each request.
    pub token: String,
    /// Time limit of a request whose `Request::deadline` is `None`, of each attempt to open
    /// a stream of a feed, and of the retries of `Client::feed`. Default 10 s.
    pub deadline: Duration,
    /// Time limit of the handshake with one server. Default 4 s.
    pub connect_timeout: Duration,
    /// Idle time after which the client sends a keep-alive packet. Default 5 s.
    pub keep_alive: Duration,
    /// Time without a received datagram after which feeds and new requests move to
    /// another connection. Must be longer than `keep_alive`. Default 12 s.
    pub silence_limit: Duration,
    /// Idle time after which a connection is closed. Default 20 s.
    pub idle_timeout: Duration,
    /// Requested size of each UDP socket buffer in octets. Default 4 MiB.
    pub socket_buffer: usize,
    /// Maximum length of an answer's body in octets. Default 64 MiB.
    pub body_limit: usize,
}

impl Default for ClientOptions {
    fn default() -> ClientOptions {
        ClientOptions {
            servers: Vec::new(),
            name: "localhost".to_owned(),
            roots: Vec::new(),
            token: String::new(),
            deadline: Duration::from_secs(10),
            connect_timeout: Duration::from_secs(4),
            keep_alive: Duration::from_secs(5),
            silence_limit: Duration::from_secs(12),
            idle_timeout: Duration::from_secs(20),
            socket_buffer: 4 << 20,
            body_limit: 64 << 20,
        }
    }
}

impl fmt::Debug for ClientOptions {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Omits the token, which is a secret.
        f.debug_struct("ClientOptions")
            .field("servers", &self.servers)
            .field("name", &self.name)
            .field("deadline", &self.deadline)
            .finish_non_exhaustive()
    }
}
