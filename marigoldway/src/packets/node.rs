//! State and functions that packet entries and packet agents share: sockets, the
//! configuration in force and counters.

use std::cell::Cell;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use error_stack::ResultExt;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tokio::net::UdpSocket;
use tokio::task;
use tokio::time;

use marigoldway_core::flow::routes::Routes;
use marigoldway_core::replica::timing::Timing;
use marigoldway_net::clock::Clock;
use marigoldway_net::platform::calls::CallCounts;
use marigoldway_net::platform::calls::CallKind;
use marigoldway_net::platform::epochs::Epochs;
use marigoldway_net::wire::packing;
use marigoldway_platform::config;
use marigoldway_platform::config::Fault;
use marigoldway_platform::store::KvStore;
use marigoldway_platform::store::StoreOptions;

use crate::errors::Error;
use crate::errors::Result;
use crate::logging;
use crate::metrics::Counter;
use crate::metrics::Metrics;
use crate::packets::histograms::Histograms;
use crate::packets::in_flight::InFlight;
use crate::packets::log_limit::LogLimiter;
use crate::packets::peers;
use crate::packets::replicas::Replicas;
use crate::packets::server;
use crate::packets::server::Answer;
use crate::packets::unreadable::UnreadableKeys;
use crate::settings::FlowSettings;

/// Interval between two runs of the periodic work.
pub(crate) const TICK: Duration = Duration::from_millis(100);

/// Maximum wait between two attempts to reach the store. Leases that expired during an
/// outage of the store have to be granted again within 2 s after the outage ends.
pub(crate) const MAX_RETRY_WAIT: Duration = Duration::from_millis(700);

/// Interval between two log lines with the number of calls to the store.
const REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum number of datagrams that are read from a socket before other tasks run.
const MAX_BATCH: usize = 32;

/// Maximum length of a datagram that is read, in octets. The rest of a longer one is lost.
const MAX_DATAGRAM_LEN: usize = 2_048;

/// Octets of changes that each of the two replicas keeps, per megabyte of memory: a 32nd each.
const HISTORY_PER_MB: usize = (1 << 20) / 32;

/// Octets of response bodies that peers haven't read yet, per megabyte of memory: an eighth.
const IN_FLIGHT_PER_MB: usize = (1 << 20) / 8;

/// Size of the receive buffer that is requested from the kernel, in octets. It holds
/// what arrives in a tenth of a second under overload, while another process has the
/// core.
const RECV_BUFFER_LEN: usize = 1 << 20;

/// `ConfigDocument` is a configuration as the operators wrote it, with its routes.
#[derive(Clone, Debug)]
pub(crate) struct ConfigDocument {
    /// The packed document, which peers receive.
    pub(crate) packed: Bytes,
    /// The routes that the document defines.
    pub(crate) routes: Arc<Routes>,
}

/// `Node` is the part of a process's state that entries and agents have in common.
pub(crate) struct Node {
    pub(crate) settings: FlowSettings,
    pub(crate) clock: Clock,
    pub(crate) log_limiter: LogLimiter,
    pub(crate) metrics: Metrics,
    pub(crate) histograms: Histograms,
    /// Socket for messages of other processes of the system.
    pub(crate) data: UdpSocket,
    /// Whether the process is leaving.
    pub(crate) leaving: Cell<bool>,
    /// Bodies of responses that peers haven't read yet.
    pub(crate) in_flight: Rc<InFlight>,
    /// Copies of the store's keys that other processes read here.
    pub(crate) replicas: Rc<Replicas>,
    /// Values of the store that couldn't be read and were logged.
    pub(crate) unreadable: RefCell<UnreadableKeys>,
    /// The configuration in force, or `None` before the first one.
    document: RefCell<Option<ConfigDocument>>,
    /// The latest epoch of the store, which all clients of it share.
    epochs: Arc<Epochs>,
    /// Call counts of each client of the store.
    calls: RefCell<Vec<Arc<CallCounts>>>,
}

impl Node {
    /// Binds the data socket and registers the metrics. Returns [`Error::Bind`] or
    /// [`Error::Start`] if that fails.
    pub(crate) fn start(settings: &FlowSettings) -> Result<Node> {
        Ok(Node {
            settings: settings.clone(),
            clock: Clock::start(),
            log_limiter: LogLimiter::default(),
            metrics: Metrics::new(None).change_context(Error::Start("metrics"))?,
            histograms: Histograms::new()?,
            data: bind(settings.data.0)?,
            leaving: Cell::new(false),
            replicas: Rc::new(Replicas::new(
                Timing::new(settings.apply_limit).reader,
                settings.memory as usize * HISTORY_PER_MB,
                settings.lifetime + settings.apply_limit,
            )),
            in_flight: Rc::new(InFlight::new(settings.memory as usize * IN_FLIGHT_PER_MB)),
            unreadable: RefCell::default(),
            document: RefCell::new(None),
            epochs: Arc::default(),
            calls: RefCell::default(),
        })
    }

    /// Creates a client of the store for reads whose answers are only of use for a short time.
    pub(crate) fn feed_client(&self) -> Rc<KvStore> {
        let timing = Timing::new(self.settings.apply_limit);
        self.client(timing.call_timeout().min(self.settings.platform.timeout))
    }

    /// Creates a client of the store for all other calls.
    pub(crate) fn store_client(&self) -> Rc<KvStore> {
        self.client(self.settings.platform.timeout)
    }

    fn client(&self, timeout: Duration) -> Rc<KvStore> {
        let options = StoreOptions {
            address: SocketAddr::V4(self.settings.platform.address),
            timeout,
            wait: Duration::ZERO,
            pause: Duration::ZERO,
        };
        let store = KvStore::new(options, self.epochs.clone());
        self.calls.borrow_mut().push(store.calls().clone());
        Rc::new(store)
    }

    /// Number of calls to the store of one kind since the start, by all clients.
    fn calls(&self, kind: CallKind) -> u64 {
        self.total(|it| it.get(kind))
    }

    /// Sum of a counter of all clients of the store.
    fn total(&self, count: impl Fn(&CallCounts) -> u64) -> u64 {
        self.calls.borrow().iter().map(|it| count(it)).sum()
    }

    /// Logs the number of calls to the store by kind every [`REPORT_INTERVAL`]. Never returns.
    pub(crate) async fn log_calls(self: Rc<Self>) {
        loop {
            time::sleep(REPORT_INTERVAL).await;
            let version = self.version();
            let mut line = format!("event=calls version={version}");
            for kind in CallKind::ALL {
                line.push_str(&format!(" {}={}", kind.as_str(), self.calls(kind)));
            }
            let unreadable = self.total(CallCounts::unreadable);
            let without_epoch = self.total(CallCounts::without_epoch);
            let epoch = self.epochs.latest();
            line.push_str(&format!(
                " unreadable-items={unreadable} epoch={epoch} without-epoch={without_epoch}"
            ));
            log::info!("{line}");
        }
    }

    /// The configuration in force, or `None` before the first one.
    pub(crate) fn document(&self) -> Option<ConfigDocument> {
        self.document.borrow().clone()
    }

    /// Version of the configuration in force, or 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        let document = self.document.borrow();
        document.as_ref().map_or(0, |it| it.routes.version)
    }

    /// Puts a configuration in force if it is the first one or newer than the current one. Returns
    /// its routes, or `None` if it wasn't put in force. Counts and logs an invalid one, and routes
    /// or fields of a valid one that can't be decoded. `source` is its origin in log lines.
    pub(crate) fn apply_config(&self, raw: Bytes, source: &str) -> Option<Arc<Routes>> {
        let previous = self.document().map(|it| it.routes);
        let current = self.version();
        let parsed = match config::parse(&raw, previous.as_deref()) {
            Ok(parsed) => parsed,
            Err(error) => {
                self.count("config-unreadable");
                log::warn!(
                    "event=config-unreadable source={source} held={current} error=\"{error}\""
                );
                return None;
            }
        };
        let routes = parsed.routes;
        if self.document.borrow().is_some() && routes.version <= current {
            return None;
        }
        let (version, count) = (routes.version, routes.by_addr.len());
        log::info!("event=config version={version} held={current} routes={count} source={source}");
        self.log_faults(version, &parsed.faults);
        let routes = Arc::new(routes);
        let packed = match packing::pack(raw.into()) {
            Ok(packed) => Bytes::from(packed),
            Err(error) => {
                log::error!("event=config-unpacked version={version} error=\"{error}\"");
                return None;
            }
        };
        let document = ConfigDocument {
            packed,
            routes: routes.clone(),
        };
        *self.document.borrow_mut() = Some(document);
        Some(routes)
    }

    /// Counts the parts of a configuration that couldn't be decoded, and logs the first ones.
    fn log_faults(&self, version: u64, faults: &[Fault]) {
        for fault in faults {
            let event = fault.kind.as_str();
            self.count(event);
            if self.log_limiter.allows(self.clock.now(), event) {
                let (item, kind) = (&fault.item, &fault.kind);
                let field = fault.kind.log_field();
                log::warn!("event={event} version={version} {field}={item:?} error=\"{kind}\"");
            }
        }
    }

    /// Adds one to the event counter `name`.
    pub(crate) fn count(&self, name: &'static str) {
        self.metrics.count(Counter::Event(name));
    }

    /// Sends a datagram to another process of the system. A datagram that doesn't fit the
    /// send buffer is lost, as a datagram may be lost on the network.
    pub(crate) fn send(&self, to: SocketAddrV4, datagram: &[u8]) {
        self.send_on(&self.data, to, datagram);
    }

    /// Sends a datagram from `socket`. Counts and logs a failure.
    pub(crate) fn send_on(&self, socket: &UdpSocket, to: SocketAddrV4, datagram: &[u8]) {
        if let Err(error) = socket.try_send_to(datagram, SocketAddr::V4(to)) {
            self.count("send-failed");
            if self.log_limiter.allows(self.clock.now(), "send-failed") {
                log::warn!("event=send-failed to={to} error=\"{error}\"");
            }
        }
    }

    /// Sends a packet to its client: to the IP address of `client`, at the port of the `listen`
    /// setting.
    pub(crate) fn send_client(&self, socket: &UdpSocket, client: SocketAddrV4, packet: &[u8]) {
        let to = SocketAddrV4::new(*client.ip(), self.settings.listen.port());
        self.send_on(socket, to, packet);
    }

    /// Data addresses of the contacts, the instances that a starting process asks for its first
    /// data. Their port is that of the own data address. Leaves out the own address.
    pub(crate) fn contacts(&self) -> Vec<SocketAddrV4> {
        let own = self.settings.data.0;
        let contacts = self.settings.contacts.iter();
        contacts
            .map(|contact| SocketAddrV4::new(*contact.ip(), own.port()))
            .filter(|contact| *contact != own)
            .collect()
    }
}

/// Serves the configuration and what else `known` returns by path to peers, and the metrics if an address
/// is configured for them. Starts the periodic log line on calls to the store. Returns
/// [`Error::Bind`] if an address can't be bound.
pub(crate) fn serve_peers(
    node: &Rc<Node>,
    known: impl Fn(&str) -> Option<Bytes> + 'static,
) -> Result<()> {
    let shared = node.clone();
    server::serve(
        node.settings.data.0,
        &node.in_flight,
        move |_, path, _| match path {
            peers::CONFIG_PATH => Answer::found(shared.document().map(|it| it.packed)),
            _ => match known(path) {
                Some(body) => Answer::found(Some(body)),
                None => shared.replicas.respond(shared.clock, path),
            },
        },
    )?;
    task::spawn_local(node.clone().log_calls());
    let Some(addr) = node.settings.metrics else {
        return Ok(());
    };
    let shared = node.clone();
    server::serve(addr, &node.in_flight, move |_, _, _| {
        let lines = shared.metrics.snapshot().into_iter();
        let counters: String = lines
            .map(|(name, count)| format!("marigoldway_{} {count}\n", name.replace(['.', '-'], "_")))
            .collect();
        let left_out = logging::dropped_lines();
        let text = format!(
            "{counters}marigoldway_config_version {}\nmarigoldway_lines_left_out {left_out}\n{}",
            shared.version(),
            shared.histograms.render(),
        );
        Answer::found(Some(Bytes::from(text)))
    })
}

/// Records the delay of a tick that was due at `due`.
pub(crate) fn record_tick_delay(node: &Node, due: time::Instant) {
    node.histograms
        .tick_delay
        .observe(due.elapsed().as_secs_f64());
}

/// Binds a non-blocking UDP socket. Returns [`Error::Bind`] if that fails. Only logs a failure to
/// set the size of the receive buffer.
pub(crate) fn bind(addr: SocketAddrV4) -> Result<UdpSocket> {
    let bind_error = || Error::Bind(addr.into());
    let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP));
    let socket = socket.change_context_lazy(bind_error)?;
    if let Err(error) = socket.set_recv_buffer_size(RECV_BUFFER_LEN) {
        log::warn!("event=small-buffer addr={addr} error=\"{error}\"");
    }
    socket
        .set_nonblocking(true)
        .change_context_lazy(bind_error)?;
    let bind_addr: SocketAddr = addr.into();
    socket
        .bind(&bind_addr.into())
        .change_context_lazy(bind_error)?;
    UdpSocket::from_std(socket.into()).change_context_lazy(bind_error)
}

/// Passes each datagram that arrives from an IPv4 address to `on_datagram`, until the socket
/// can't be waited for. Logs other errors and continues.
pub(crate) async fn receive(
    socket: &UdpSocket,
    mut on_datagram: impl FnMut(&mut [u8], SocketAddrV4),
) {
    let mut buffer = [0; MAX_DATAGRAM_LEN];
    loop {
        if let Err(error) = socket.readable().await {
            log::error!("event=socket-failed error=\"{error}\"");
            return;
        }
        for _ in 0..MAX_BATCH {
            match socket.try_recv_from(&mut buffer) {
                Ok((len, SocketAddr::V4(from))) => on_datagram(&mut buffer[..len], from),
                Ok((_, SocketAddr::V6(_))) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                // An earlier datagram was sent to a closed port.
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

/// Time of the instance's clock, in Unix milliseconds. 0 for a time before 1970.
pub(crate) fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since_epoch.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
