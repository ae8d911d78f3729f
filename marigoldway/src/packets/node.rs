//! What an entry and an agent for packets share: sockets, the configuration in
//! force, signals, and counters.

use std::cell::Cell;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use error_stack::ResultExt;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tokio::net::UdpSocket;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task;
use tokio::time;

use marigoldway_core::flow::routes::Routes;
use marigoldway_net::clock::Clock;
use marigoldway_net::platform::calls::CallCounts;
use marigoldway_net::platform::calls::CallKind;
use marigoldway_platform::config;
use marigoldway_platform::store::KvStore;
use marigoldway_platform::store::StoreOptions;

use crate::errors::Error;
use crate::errors::Result;
use crate::logging;
use crate::metrics::Counter;
use crate::metrics::Metrics;
use crate::packets::budget::Budget;
use crate::packets::peers;
use crate::packets::server;
use crate::packets::server::Answer;
use crate::packets::times::Times;
use crate::settings::FlowSettings;

/// Time between two rounds of what is due.
pub(crate) const TICK: Duration = Duration::from_millis(100);

/// Longest wait between two tries to reach the store: leases that lapsed in its
/// absence have to be back within 2 s of its return.
pub(crate) const RETRY_MAX: Duration = Duration::from_millis(700);

/// Time that the store may hold a watch: nearly the longest it allows, since
/// each answer is a call. Probes of the connection notice a dead one sooner.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Time between two lines that say what was spent.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Datagrams that are read in one turn.
const BATCH_LEN: usize = 32;

/// Octets of the largest datagram that is read.
const DATAGRAM_MAX: usize = 2_048;

/// Receive buffer asked of the kernel in octets: what arrives in a tenth of a
/// second at the crest, while another process has the core.
const BUFFER_LEN: usize = 1 << 20;

/// `Document` is a configuration as the operators wrote it.
#[derive(Clone, Debug)]
pub(crate) struct Document {
    /// The octets, to be handed on.
    pub(crate) raw: Bytes,
    /// What they say.
    pub(crate) routes: Arc<Routes>,
}

/// `Node` is what both roles share.
pub(crate) struct Node {
    pub(crate) settings: FlowSettings,
    pub(crate) clock: Clock,
    pub(crate) budget: Budget,
    pub(crate) metrics: Metrics,
    pub(crate) times: Times,
    /// The socket for other processes of the system.
    pub(crate) data: UdpSocket,
    /// Whether the process is to end.
    pub(crate) leaving: Cell<bool>,
    document: RefCell<Option<Document>>,
    /// The calls of each client of the store.
    calls: RefCell<Vec<Arc<CallCounts>>>,
}

impl Node {
    /// Binds the sockets that both roles have.
    pub(crate) fn start(settings: &FlowSettings) -> Result<Node> {
        Ok(Node {
            settings: settings.clone(),
            clock: Clock::start(),
            budget: Budget::default(),
            metrics: Metrics::new(None).change_context(Error::Start("metrics"))?,
            times: Times::new()?,
            data: bind(settings.data.0)?,
            leaving: Cell::new(false),
            document: RefCell::new(None),
            calls: RefCell::default(),
        })
    }

    /// A client of the store. Changes that come within `pause` are one call of
    /// a watch, which the store may hold for `wait`.
    pub(crate) fn store(&self, pause: Duration, wait: Duration) -> Rc<KvStore> {
        let store = KvStore::new(StoreOptions {
            address: SocketAddr::V4(self.settings.platform.address),
            timeout: self.settings.platform.timeout,
            wait,
            pause,
        });
        self.calls.borrow_mut().push(store.calls().clone());
        Rc::new(store)
    }

    /// Calls to the store of one kind since the start.
    fn calls(&self, kind: CallKind) -> u64 {
        self.calls.borrow().iter().map(|it| it.get(kind)).sum()
    }

    /// Says now and then what the process spends and holds.
    pub(crate) async fn report(self: Rc<Self>) {
        loop {
            time::sleep(REPORT_INTERVAL).await;
            let version = self.version();
            let mut line = format!("event=calls version={version}");
            for kind in CallKind::ALL {
                line.push_str(&format!(" {}={}", kind.as_str(), self.calls(kind)));
            }
            log::info!("{line}");
        }
    }

    /// The configuration in use.
    pub(crate) fn document(&self) -> Option<Document> {
        self.document.borrow().clone()
    }

    /// Version of the configuration in use, 0 for none.
    pub(crate) fn version(&self) -> u64 {
        let document = self.document.borrow();
        document.as_ref().map_or(0, |it| it.routes.version)
    }

    /// Takes a configuration that is newer than the one in use and valid as a
    /// whole, and gives its routes.
    pub(crate) fn offer(&self, raw: Bytes, source: &str) -> Option<Arc<Routes>> {
        let held = self.version();
        let routes = match config::parse(&raw) {
            Ok(routes) => routes,
            Err(error) => {
                self.count("config-unreadable");
                log::warn!("event=config-unreadable source={source} held={held} error=\"{error}\"");
                return None;
            }
        };
        if self.document.borrow().is_some() && routes.version <= held {
            return None;
        }
        let (version, count) = (routes.version, routes.by_addr.len());
        log::info!("event=config version={version} held={held} routes={count} source={source}");
        let routes = Arc::new(routes);
        let document = Document {
            raw,
            routes: routes.clone(),
        };
        *self.document.borrow_mut() = Some(document);
        Some(routes)
    }

    /// Adds one to a counter.
    pub(crate) fn count(&self, name: &'static str) {
        self.metrics.count(Counter::Event(name));
    }

    /// Sends a datagram to a process of the system. One that doesn't fit the
    /// send buffer is lost, as on the network.
    pub(crate) fn send(&self, to: SocketAddrV4, datagram: &[u8]) {
        self.send_by(&self.data, to, datagram);
    }

    /// Sends a datagram by `socket`.
    pub(crate) fn send_by(&self, socket: &UdpSocket, to: SocketAddrV4, datagram: &[u8]) {
        if let Err(error) = socket.try_send_to(datagram, SocketAddr::V4(to)) {
            self.count("send-failed");
            if self.budget.allows(self.clock.now(), "send-failed") {
                log::warn!("event=send-failed to={to} error=\"{error}\"");
            }
        }
    }

    /// Sends a packet to its client.
    pub(crate) fn send_client(&self, socket: &UdpSocket, client: SocketAddrV4, packet: &[u8]) {
        let to = SocketAddrV4::new(*client.ip(), self.settings.listen.port());
        self.send_by(socket, to, packet);
    }

    /// Contacts at the port of the data address, without the own one.
    pub(crate) fn contacts(&self) -> Vec<SocketAddrV4> {
        let own = self.settings.data.0;
        let contacts = self.settings.contacts.iter();
        contacts
            .map(|contact| SocketAddrV4::new(*contact.ip(), own.port()))
            .filter(|contact| *contact != own)
            .collect()
    }
}

/// Serves what peers ask for, and the metrics.
pub(crate) fn serve_peers(node: &Rc<Node>, agents: impl Fn() -> Bytes + 'static) -> Result<()> {
    let shared = node.clone();
    server::serve(node.settings.data.0, move |_, path, _| match path {
        peers::CONFIG_PATH => Answer::found(shared.document().map(|it| it.raw)),
        peers::AGENTS_PATH => Answer::found(Some(agents())),
        _ => Answer::found(None),
    })?;
    task::spawn_local(node.clone().report());
    let Some(addr) = node.settings.metrics else {
        return Ok(());
    };
    let shared = node.clone();
    server::serve(addr, move |_, _, _| {
        let lines = shared.metrics.snapshot().into_iter();
        let counters: String = lines
            .map(|(name, count)| format!("marigoldway_{} {count}\n", name.replace(['.', '-'], "_")))
            .collect();
        let left_out = logging::dropped_lines();
        let text = format!(
            "{counters}marigoldway_config_version {}\nmarigoldway_lines_left_out {left_out}\n{}",
            shared.version(),
            shared.times.text(),
        );
        Answer::found(Some(Bytes::from(text)))
    })
}

/// Takes the lateness of a tick.
pub(crate) fn note_tick(node: &Node, due: time::Instant) {
    node.times.turns.observe(due.elapsed().as_secs_f64());
}

/// Binds a UDP socket.
pub(crate) fn bind(addr: SocketAddrV4) -> Result<UdpSocket> {
    let failed = || Error::Bind(addr.into());
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP));
    let socket = socket.change_context_lazy(failed)?;
    if let Err(error) = socket.set_recv_buffer_size(BUFFER_LEN) {
        log::warn!("event=small-buffer addr={addr} error=\"{error}\"");
    }
    socket.set_nonblocking(true).change_context_lazy(failed)?;
    let to: SocketAddr = addr.into();
    socket.bind(&to.into()).change_context_lazy(failed)?;
    UdpSocket::from_std(socket.into()).change_context_lazy(failed)
}

/// Hands each datagram of a socket to `on_datagram`.
pub(crate) async fn receive(
    socket: &UdpSocket,
    mut on_datagram: impl FnMut(&mut [u8], SocketAddrV4),
) {
    let mut buffer = [0; DATAGRAM_MAX];
    loop {
        if let Err(error) = socket.readable().await {
            log::error!("event=socket-failed error=\"{error}\"");
            return;
        }
        for _ in 0..BATCH_LEN {
            match socket.try_recv_from(&mut buffer) {
                Ok((len, SocketAddr::V4(from))) => on_datagram(&mut buffer[..len], from),
                Ok((_, SocketAddr::V6(_))) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // An earlier datagram met a closed port.
                Err(error) if error.kind() == ErrorKind::ConnectionRefused => {}
                Err(error) => {
                    log::warn!("event=receive-failed error=\"{error}\"");
                    break;
                }
            }
        }
        task::yield_now().await;
    }
}

/// `Signals` are what a process is told from outside. They are caught from their
/// making on: a signal that comes before would end the process.
pub(crate) struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Catches the signals.
    pub(crate) fn catch() -> Result<Signals> {
        let listen = |kind| signal(kind).change_context(Error::Start("signal handlers"));
        Ok(Signals {
            term: listen(SignalKind::terminate())?,
            int: listen(SignalKind::interrupt())?,
            hup: listen(SignalKind::hangup())?,
        })
    }
}

/// Waits for the signal to leave. Meanwhile each hang-up, and each change of
/// the settings file, calls `on_settings`.
pub(crate) async fn leave_signal(
    mut signals: Signals,
    file: PathBuf,
    mut on_settings: impl FnMut(),
) -> Result<()> {
    /// Time between two looks at the settings file.
    const LOOK: Duration = Duration::from_secs(1);

    let mut text = std::fs::read(&file).unwrap_or_default();
    loop {
        let cause = tokio::select! {
            _ = signals.term.recv() => break,
            _ = signals.int.recv() => break,
            _ = signals.hup.recv() => "signal",
            () = time::sleep(LOOK) => "look",
        };
        let now = std::fs::read(&file).unwrap_or_default();
        let changed = now != text;
        text = now;
        if cause == "signal" || changed {
            log::info!("event=reload cause={cause} changed={changed}");
            on_settings();
        }
    }
    log::info!("event=leave cause=signal");
    Ok(())
}
