//! One service address of the fabric.

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

/// Longest datagram, in octets.
const DATAGRAM_MAX: usize = 65_535;

/// Socket buffers in octets: a burst of handshakes overflows the system's own.
const BUFFER_LEN: usize = 4 << 20;

/// Time after which the socket of a silent caller is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(120);

/// Time between two sweeps for silent callers.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// `Service` is one address that callers send to.
pub(crate) struct Service {
    addr: SocketAddrV4,
    socket: UdpSocket,
    state: Mutex<State>,
    /// Datagrams from callers.
    pub(crate) received: AtomicU64,
    /// Datagrams from entries.
    pub(crate) answered: AtomicU64,
    /// Datagrams that were dropped on purpose or had no entry to go to.
    pub(crate) dropped: AtomicU64,
}

struct State {
    entries: Vec<SocketAddrV4>,
    callers: IndexMap<SocketAddr, Caller>,
    loss: f64,
    rng: StdRng,
}

/// The socket that stands for one caller towards the entries.
struct Caller {
    socket: Arc<UdpSocket>,
    replies: JoinHandle<()>,
    heard: Instant,
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

    /// The address that callers send to.
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

    /// Replaces the share of datagrams that is dropped.
    pub(crate) fn set_loss(&self, loss: f64) {
        self.state().loss = loss;
    }

    /// Hands callers' datagrams to entries until the process is ended.
    pub(crate) async fn forward(self: Arc<Service>) {
        let mut buf = vec![0; DATAGRAM_MAX];
        loop {
            let Ok((len, caller)) = self.socket.recv_from(&mut buf).await else {
                continue;
            };
            self.received.fetch_add(1, Ordering::Relaxed);
            match self.route(caller) {
                // An entry that is gone loses the datagram, as in a real fabric.
                Some((socket, entry)) => {
                    let _ = socket.send_to(&buf[..len], entry).await;
                }
                None => {
                    self.dropped.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    /// Closes the sockets of silent callers until the process is ended.
    pub(crate) async fn expire(self: Arc<Service>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            let now = Instant::now();
            self.state().callers.retain(|_, caller| {
                let keep = now.duration_since(caller.heard) < IDLE_LIMIT;
                if !keep {
                    caller.replies.abort();
                }
                keep
            });
        }
    }

    /// Draws the entry of one datagram, `None` where it is to be dropped.
    fn route(self: &Arc<Service>, addr: SocketAddr) -> Option<(Arc<UdpSocket>, SocketAddrV4)> {
        let mut state = self.state();
        if state.entries.is_empty() || state.lose() {
            return None;
        }
        let count = state.entries.len();
        let index = state.rng.random_range(0..count);
        let entry = state.entries[index];

        if let Some(caller) = state.callers.get_mut(&addr) {
            caller.heard = Instant::now();
            return Some((caller.socket.clone(), entry));
        }
        let socket = bind_udp(SocketAddrV4::new(*self.addr.ip(), 0)).ok()?;
        let socket = Arc::new(socket);
        let replies = tokio::spawn(self.clone().reply(socket.clone(), addr));
        let caller = Caller {
            socket: socket.clone(),
            replies,
            heard: Instant::now(),
        };
        state.callers.insert(addr, caller);
        Some((socket, entry))
    }

    /// Hands entries' datagrams to one caller.
    async fn reply(self: Arc<Service>, socket: Arc<UdpSocket>, caller: SocketAddr) {
        let mut buf = vec![0; DATAGRAM_MAX];
        loop {
            let Ok((len, _)) = socket.recv_from(&mut buf).await else {
                continue;
            };
            self.answered.fetch_add(1, Ordering::Relaxed);
            if self.hear(caller) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let _ = self.socket.send_to(&buf[..len], caller).await;
        }
    }

    /// Notes that a caller is being answered, and draws whether to drop the
    /// answer.
    fn hear(&self, addr: SocketAddr) -> bool {
        let mut state = self.state();
        if let Some(caller) = state.callers.get_mut(&addr) {
            caller.heard = Instant::now();
        }
        state.lose()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn lose(&mut self) -> bool {
        self.loss > 0.0 && self.rng.random_bool(self.loss)
    }
}

fn bind_udp(addr: SocketAddrV4) -> io::Result<UdpSocket> {
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, None)?;
    socket.set_recv_buffer_size(BUFFER_LEN)?;
    socket.set_send_buffer_size(BUFFER_LEN)?;
    socket.set_nonblocking(true)?;
    let any = addr.ip().is_unspecified();
    let ip = if any { Ipv4Addr::LOCALHOST } else { *addr.ip() };
    socket.bind(&SocketAddr::from((ip, addr.port())).into())?;
    UdpSocket::from_std(socket.into())
}
