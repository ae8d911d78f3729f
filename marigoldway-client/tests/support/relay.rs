//! UDP relay to a server. The relay can silently drop all datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::net::UdpSocket;

/// Maximum size in octets of a datagram that the relay forwards whole.
const MAX_DATAGRAM_SIZE: usize = 2_048;

/// Relay that forwards datagrams between one client and a server.
pub struct Relay {
    pub addr: SocketAddr,
    dropping: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay to `server`. Must run in a tokio runtime.
    pub async fn start(server: SocketAddr) -> Relay {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let front = UdpSocket::bind(any_port).await.expect("socket");
        let back = UdpSocket::bind(any_port).await.expect("socket");
        back.connect(server).await.expect("address");
        let addr = front.local_addr().expect("address");
        let dropping = Arc::new(AtomicBool::new(false));
        tokio::spawn(forward(front, back, dropping.clone()));
        Relay { addr, dropping }
    }

    /// Drops all further datagrams in both directions.
    pub fn drop_datagrams(&self) {
        self.dropping.store(true, Ordering::Relaxed);
    }
}

async fn forward(front: UdpSocket, back: UdpSocket, dropping: Arc<AtomicBool>) {
    let mut client = None;
    let (mut to_server, mut to_client) = ([0; MAX_DATAGRAM_SIZE], [0; MAX_DATAGRAM_SIZE]);
    loop {
        tokio::select! {
            Ok((len, from)) = front.recv_from(&mut to_server) => {
                client = Some(from);
                if !dropping.load(Ordering::Relaxed) {
                    let _ = back.send(&to_server[..len]).await;
                }
            }
            Ok(len) = back.recv(&mut to_client) => {
                if let Some(client) = client.filter(|_| !dropping.load(Ordering::Relaxed)) {
                    let _ = front.send_to(&to_client[..len], client).await;
                }
            }
        }
    }
}
