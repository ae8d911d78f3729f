//! Forwarding between the callers and the entries of one service address.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

use crate::fabric::ServiceRoute;

/// Maximum length of a datagram, in octets.
const MAX_DATAGRAM_LEN: usize = 65_535;

/// Size of socket buffers, in octets. A burst of handshakes overflows the default
/// size of the operating system.
const SOCKET_BUFFER_LEN: usize = 4 << 20;

/// Idle time after which the socket of a caller is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval at which idle callers are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// `Service` is one address that callers send to, with its entries.
pub(crate) struct Service {
    addr: SocketAddrV4,
    socket: UdpSocket,
    state: Mutex<State>,
    /// Number of datagrams from callers.
    pub(crate) received: AtomicU64,
    /// Number of datagrams from entries.
    pub(crate) answered: AtomicU64,
    /// Number of datagrams that were dropped: by the configured loss, because the service had no
    /// entry, or because no socket could be opened for the caller.
    pub(crate) dropped: AtomicU64,
}

struct State {
    entries: Vec<SocketAddrV4>,
    callers: IndexMap<SocketAddr, Caller>,
    loss: f64,
    rng: StdRng,
}

/// The socket through which the datagrams of one caller reach the entries.
struct Caller {
    socket: Arc<UdpSocket>,
    replies: JoinHandle<()>,
    last_active: Instant,
}

impl Service {
    /// Binds the service's socket.
    pub(crate) fn bind(route: &ServiceRoute, seed: u64, loss: f64) -> io::Result<Service> {
        let socket = bind_udp(route.listen)?;
        let SocketAddr::V4(addr) = socket.local_addr()? else {
            return Err(io::Error::other("the socket is not IPv4"));
        };
        Ok(Service {
            addr,
            socket,
            state: Mutex::new(State {
                entries: route.entries.clone(),
                callers: IndexMap::new(),
                loss,
                rng: StdRng::seed_from_u64(seed),
            }),
            received: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        })
    }

    /// The address that callers send to, with the port that was bound.
    pub(crate) fn addr(&self) -> SocketAddrV4 {
        self.addr
    }

    /// Replaces the entries.
    pub(crate) fn set_entries(&self, entries: Vec<SocketAddrV4>) {
        self.state().entries = entries;
    }

    /// The entries.
    pub(crate) fn entries(&self) -> Vec<SocketAddrV4> {
        self.state().entries.clone()
    }

    /// Replaces the fraction of datagrams that is dropped.
    pub(crate) fn set_loss(&self, loss: f64) {
        self.state().loss = loss;
    }

    /// Forwards datagrams of callers to entries until the process is terminated.
    pub(crate) async fn forward(self: Arc<Service>) {
        let mut buf = vec![0; MAX_DATAGRAM_LEN];
        loop {
            let Ok((len, caller)) = self.socket.recv_from(&mut buf).await else {
                continue;
            };
            self.received.fetch_add(1, Ordering::Relaxed);
            match self.select_entry(caller) {
                // A datagram to an entry that is down is lost, as in a real fabric.
                Some((socket, entry)) => {
                    let _ = socket.send_to(&buf[..len], entry).await;
                }
                None => {
                    self.dropped.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    /// Closes the sockets of idle callers until the process is terminated.
    pub(crate) async fn expire(self: Arc<Service>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let now = Instant::now();
            self.state().callers.retain(|_, caller| {
                let keep = now.duration_since(caller.last_active) < IDLE_TIMEOUT;
                if !keep {
                    caller.replies.abort();
                }
                keep
            });
        }
    }

    /// Selects a random entry for one datagram of a caller, and opens the caller's
    /// socket if it has none. Returns `None` if the datagram is to be dropped.
    fn select_entry(
        self: &Arc<Service>,
        addr: SocketAddr,
    ) -> Option<(Arc<UdpSocket>, SocketAddrV4)> {
        let mut state = self.state();
        if state.entries.is_empty() || state.draw_loss() {
            return None;
        }
        let count = state.entries.len();
        let index = state.rng.random_range(0..count);
        let entry = state.entries[index];

        if let Some(caller) = state.callers.get_mut(&addr) {
            caller.last_active = Instant::now();
            return Some((caller.socket.clone(), entry));
        }
        let socket = bind_udp(SocketAddrV4::new(*self.addr.ip(), 0)).ok()?;
        let socket = Arc::new(socket);
        let replies = tokio::spawn(self.clone().forward_replies(socket.clone(), addr));
        let caller = Caller {
            socket: socket.clone(),
            replies,
            last_active: Instant::now(),
        };
        state.callers.insert(addr, caller);
        Some((socket, entry))
    }

    /// Forwards datagrams of entries to one caller.
    async fn forward_replies(self: Arc<Service>, socket: Arc<UdpSocket>, caller: SocketAddr) {
        let mut buf = vec![0; MAX_DATAGRAM_LEN];
        loop {
            let Ok((len, _)) = socket.recv_from(&mut buf).await else {
                continue;
            };
            self.answered.fetch_add(1, Ordering::Relaxed);
            if self.record_reply(caller) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let _ = self.socket.send_to(&buf[..len], caller).await;
        }
    }

    /// Records a reply to a caller, and returns whether the reply is to be dropped.
    fn record_reply(&self, addr: SocketAddr) -> bool {
        let mut state = self.state();
        if let Some(caller) = state.callers.get_mut(&addr) {
            caller.last_active = Instant::now();
        }
        state.draw_loss()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Returns at random, with the probability `loss`, whether a datagram is lost.
    fn draw_loss(&mut self) -> bool {
        self.loss > 0.0 && self.rng.random_bool(self.loss)
    }
}

/// Binds a UDP socket. The unspecified address becomes the loopback address.
fn bind_udp(addr: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, None)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_LEN)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_LEN)?;
    socket.set_nonblocking(true)?;
    let unspecified = addr.ip().is_unspecified();
    let ip = if unspecified {
        Ipv4Addr::LOCALHOST
    } else {
        *addr.ip()
    };
    socket.bind(&SocketAddr::from((ip, addr.port())).into())?;
    UdpSocket::from_std(socket.into())
}
