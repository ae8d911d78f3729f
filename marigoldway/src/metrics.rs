//! Counters, kept in the process and sent to StatsD as increments since the last report.

use std::io;
use std::net::SocketAddrV4;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cadence::BufferedUdpMetricSink;
use cadence::Counted;
use cadence::StatsdClient;
use indexmap::IndexMap;

use marigoldway_core::forward::DropReason;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;
use marigoldway_net::control::Control;
use marigoldway_net::control::ControlCounts;
use marigoldway_net::counters::PacketCounters;
use marigoldway_net::counters::PacketOutcome;
use marigoldway_net::overflow::overflows;

use crate::shutdown::Shutdown;

/// Prefix of the counter names in StatsD.
const PREFIX: &str = "marigoldway";

/// Interval between reports to StatsD.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Reason why a process retried an operation or redirected work to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Retry {
    /// An agent forwarded a datagram of a new flow to the second candidate agent, or returned it to
    /// the first.
    FlowPassed,
    /// A request was relayed to a peer because the local target is saturated.
    RelaySaturated,
    /// A request was relayed to the agent that issued its idempotency key.
    RelayKey,
    /// A request was sent again because the target refused it before processing began.
    TargetRefused,
    /// A repeatable request was sent again because the response was aborted.
    AnswerBroken,
    /// A request was sent again because the target was down and had received no octet of it.
    TargetConnect,
    /// A control connection to a peer could not be opened; the next message retries it.
    ControlConnect,
    /// A call to the platform was retried.
    PlatformCall,
}

impl Retry {
    /// All reasons, in the order of the counters.
    pub const ALL: [Retry; 8] = [
        Retry::FlowPassed,
        Retry::RelaySaturated,
        Retry::RelayKey,
        Retry::TargetRefused,
        Retry::AnswerBroken,
        Retry::TargetConnect,
        Retry::ControlConnect,
        Retry::PlatformCall,
    ];

    /// Returns the reason as used in counter names.
    pub fn as_str(self) -> &'static str {
        match self {
            Retry::FlowPassed => "flow-passed",
            Retry::RelaySaturated => "relay-saturated",
            Retry::RelayKey => "relay-key",
            Retry::TargetRefused => "target-refused",
            Retry::AnswerBroken => "answer-broken",
            Retry::TargetConnect => "target-connect",
            Retry::ControlConnect => "control-connect",
            Retry::PlatformCall => "platform-call",
        }
    }
}

/// Identifies a counter of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Counter {
    /// Refused requests.
    Refusal(Refusal),
    /// Requests whose outcome is unknown.
    UnknownReason(UnknownReason),
    /// Retried or redirected operations.
    Retry(Retry),
    /// Dropped datagrams.
    Drop(DropReason),
    /// Datagrams that were forwarded, accepted or answered.
    Packet(PacketOutcome),
    /// Traffic and drops of the control channel, the TCP connections between processes.
    Control(&'static str),
    /// Kernel events at the UDP sockets of the process.
    Socket(&'static str),
    /// Any other event.
    Event(&'static str),
}

impl Counter {
    /// Returns the name of the counter, such as `refusal.leaving`.
    pub fn name(self) -> String {
        match self {
            Counter::Refusal(reason) => format!("refusal.{}", reason.as_str()),
            Counter::UnknownReason(reason) => format!("doubt.{}", reason.as_str()),
            Counter::Retry(reason) => format!("retry.{}", reason.as_str()),
            Counter::Drop(reason) => format!("drop.{}", reason.as_str()),
            Counter::Packet(outcome) => format!("packet.{}", outcome.as_str()),
            Counter::Control(name) => format!("control.{name}"),
            Counter::Socket(name) => format!("socket.{name}"),
            Counter::Event(name) => format!("event.{name}"),
        }
    }
}

/// Component with counters of its own. [`Metrics::refresh`] copies their values.
enum Source {
    Packets(Arc<PacketCounters>),
    Control(Control),
    Sockets(Vec<SocketAddrV4>),
}

impl Source {
    /// Returns the current values of the counters.
    fn counts(&self) -> Vec<(Counter, u64)> {
        match self {
            Source::Packets(packets) => packet_counts(packets),
            Source::Control(control) => control_counts(&control.counts()),
            Source::Sockets(addrs) => {
                vec![(Counter::Socket("receive-overflows"), overflows(addrs))]
            }
        }
    }
}

fn packet_counts(packets: &PacketCounters) -> Vec<(Counter, u64)> {
    let outcomes = packets
        .outcomes()
        .map(|(outcome, count)| (Counter::Packet(outcome), count));
    let drops = packets
        .drops()
        .map(|(reason, count)| (Counter::Drop(reason), count));
    let passed = packets
        .outcomes()
        .filter(|(outcome, _)| *outcome == PacketOutcome::Passed);
    let retries = passed.map(|(_, count)| (Counter::Retry(Retry::FlowPassed), count));
    outcomes.chain(drops).chain(retries).collect()
}

fn control_counts(counts: &ControlCounts) -> Vec<(Counter, u64)> {
    vec![
        (Counter::Control("octets-in"), counts.octets_in),
        (Counter::Control("octets-out"), counts.octets_out),
        (Counter::Control("frames-in"), counts.frames_in),
        (Counter::Control("frames-out"), counts.frames_out),
        (Counter::Control("dropped"), counts.dropped),
        (Counter::Control("stale"), counts.stale),
        (Counter::Control("rejected"), counts.rejected),
        (Counter::Retry(Retry::ControlConnect), counts.unreachable),
    ]
}

/// Counters of a process and the StatsD client that reports them.
pub struct Metrics {
    client: Option<StatsdClient>,
    counters: RwLock<IndexMap<Counter, Arc<AtomicU64>>>,
    sources: RwLock<Vec<Source>>,
}

impl Metrics {
    /// Creates counters that are sent to `statsd`, or only kept in the process if it is `None`.
    /// The counters of all refusals, unknown outcomes, retries and drop reasons start at zero;
    /// others appear at their first use.
    ///
    /// Fails if the system provides no socket.
    pub fn new(statsd: Option<SocketAddrV4>) -> io::Result<Metrics> {
        let client = match statsd {
            Some(addr) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = BufferedUdpMetricSink::from(addr, socket).map_err(io::Error::other)?;
                Some(StatsdClient::from_sink(PREFIX, sink))
            }
            None => None,
        };

        let refusals = Refusal::ALL.into_iter().map(Counter::Refusal);
        let unknown = UnknownReason::ALL.into_iter().map(Counter::UnknownReason);
        let retries = Retry::ALL.into_iter().map(Counter::Retry);
        let drops = DropReason::ALL.into_iter().map(Counter::Drop);
        let initial = refusals.chain(unknown).chain(retries).chain(drops);
        Ok(Metrics {
            client,
            counters: RwLock::new(initial.map(|counter| (counter, Arc::default())).collect()),
            sources: RwLock::default(),
        })
    }

    /// Increments a counter by one.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Increments a counter by `count`.
    pub fn add(&self, counter: Counter, count: u64) {
        self.counter(counter).fetch_add(count, Ordering::Relaxed);
    }

    /// Returns the value of a counter as a shared atomic, for callers that count too often to look
    /// it up each time.
    pub fn counter(&self, counter: Counter) -> Arc<AtomicU64> {
        let counters = self.counters.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(cell) = counters.get(&counter) {
            return cell.clone();
        }
        drop(counters);

        let mut counters = self
            .counters
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        counters.entry(counter).or_default().clone()
    }

    /// Includes the counters of the packet path.
    pub fn add_packet_counters(&self, packets: Arc<PacketCounters>) {
        self.add_source(Source::Packets(packets));
    }

    /// Includes the counters of the control channel.
    pub fn add_control_counters(&self, control: Control) {
        self.add_source(Source::Control(control));
    }

    /// Includes the number of datagrams that the kernel drops at the UDP sockets bound to `addrs`.
    pub fn add_socket_counters(&self, addrs: Vec<SocketAddrV4>) {
        self.add_source(Source::Sockets(addrs));
    }

    fn add_source(&self, source: Source) {
        let mut sources = self.sources.write().unwrap_or_else(PoisonError::into_inner);
        sources.push(source);
    }

    /// Copies the current values of the counters of all sources to `counters`.
    fn refresh(&self) {
        let sources = self.sources.read().unwrap_or_else(PoisonError::into_inner);
        for (counter, count) in sources.iter().flat_map(Source::counts) {
            self.counter(counter).store(count, Ordering::Relaxed);
        }
    }

    /// Returns all counters by name, with current values of all sources.
    pub fn snapshot(&self) -> IndexMap<String, u64> {
        self.refresh();
        let counters = self.counters.read().unwrap_or_else(PoisonError::into_inner);
        counters
            .iter()
            .map(|(counter, cell)| (counter.name(), cell.load(Ordering::Relaxed)))
            .collect()
    }

    /// Sends each counter's increment since its value in `sent` to StatsD, and updates `sent`. Does
    /// nothing without a StatsD server.
    fn report(&self, sent: &mut IndexMap<String, u64>) {
        let Some(client) = &self.client else {
            return;
        };
        for (name, count) in self.snapshot() {
            let previous = sent.insert(name.clone(), count).unwrap_or_default();
            let added = i64::try_from(count.saturating_sub(previous)).unwrap_or(i64::MAX);
            if added > 0 {
                // Errors are ignored: StatsD is lossy by design, and the counters stay
                // readable here.
                let _ = client.count(&name, added);
            }
        }
        let _ = client.flush();
    }
}

/// Reports counters to StatsD every second, and once more when the process ends.
pub async fn run(metrics: Arc<Metrics>, shutdown: Shutdown) {
    let mut sent = IndexMap::new();
    let mut tick = tokio::time::interval(REPORT_INTERVAL);
    loop {
        tokio::select! {
            _ = tick.tick() => metrics.report(&mut sent),
            () = shutdown.ending() => break,
        }
    }
    metrics.report(&mut sent);
}
