//! Options of a client.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use rustls::pki_types::CertificateDer;

/// `ClientOptions` says which service a client speaks to, and how.
#[derive(Clone)]
pub struct ClientOptions {
    /// Addresses of the service, any of which will do.
    pub servers: Vec<SocketAddr>,
    /// Name that the server's certificate must carry.
    pub name: String,
    /// Certificates that the server's certificate may rest on.
    pub roots: Vec<CertificateDer<'static>>,
    /// Token of the customer, sent with each request.
    pub token: String,
    /// Time limit of a request that names none.
    pub deadline: Duration,
    /// Time limit of the handshake with one server.
    pub connect_timeout: Duration,
    /// Longest silence before the client sends a packet of its own.
    pub keep_alive: Duration,
    /// Longest silence before feeds are opened elsewhere and new requests go to
    /// another connection. Must be longer than `keep_alive`.
    pub silence_limit: Duration,
    /// Longest silence before a connection is given up.
    pub idle_timeout: Duration,
    /// Wanted size of each UDP socket buffer in octets.
    pub socket_buffer: usize,
    /// Longest body of an answer in octets.
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
        // The token is a secret and stays out.
        f.debug_struct("ClientOptions")
            .field("servers", &self.servers)
            .field("name", &self.name)
            .field("deadline", &self.deadline)
            .finish_non_exhaustive()
    }
}
