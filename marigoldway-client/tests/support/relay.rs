//! UDP relay to a server, which can silently drop all datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::net::UdpSocket;

/// Maximum size of a datagram in octets.
const MAX_DATAGRAM_SIZE: usize = 2_048;

/// Relay that forwards datagrams between one client and a server.
pub struct Relay {
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay to `server`. Must run in a tokio runtime.
    pub async fn start(server: SocketAddr) -> Relay {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let front = UdpSocket::bind(any_port).await.expect("socket");
        let back = UdpSocket::bind(any_port).await.expect("socket");
        back.connect(server).await.expect("address");
        let addr = front.local_addr().expect("address");
        let cut = Arc::new(AtomicBool::new(false));
        tokio::spawn(forward(front, back, cut.clone()));
        Relay { addr, cut }
    }

    /// Drops all further datagrams in both directions.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::Relaxed);
    }
}

async fn forward(front: UdpSocket, back: UdpSocket, cut: Arc<AtomicBool>) {
    let mut client = None;
    let (mut to_server, mut to_client) = ([0; MAX_DATAGRAM_SIZE], [0; MAX_DATAGRAM_SIZE]);
    loop {
        tokio::select! {
            Ok((len, from)) = front.recv_from(&mut to_server) => {
                client = Some(from);
                if !cut.load(Ordering::Relaxed) {
                    let _ = back.send(&to_server[..len]).await;
                }
            }
            Ok(len) = back.recv(&mut to_client) => {
                if let Some(client) = client.filter(|_| !cut.load(Ordering::Relaxed)) {
                    let _ = front.send_to(&to_client[..len], client).await;
                }
            }
        }
    }
}
