//! Starts a small deployment of the project's own programs on loopback addresses, with stand-ins
//! for the store, the routers, clients and endpoints, and plays one case of the review.
//!
//! Usage: `standin CASE RECORD`, in the root of the repository. With TROUBLE=0 the same is played
//! without the disruption. Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.

mod client;
mod endpoint;
mod fleet;
mod http;
mod json;
mod packet;
mod record;
mod store;

use std::env;
use std::fs;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::process;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::client::Client;
use crate::client::Router;
use crate::endpoint::Endpoint;
use crate::endpoint::FlowKey;
use crate::endpoint::Options;
use crate::fleet::Machine;
use crate::fleet::Ports;
use crate::fleet::Site;
use crate::record::Record;
use crate::store::Store;

/// Zones with their numbers of entries and of agents of each service, as on a small site.
const ZONES: [(&str, usize, usize, usize); 3] = [
    ("np-central-a", 3, 3, 1),
    ("np-central-b", 2, 2, 1),
    ("np-central-c", 1, 2, 1),
];

/// Server address of the routes.
const SERVER: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);

/// Port of the first route. Further routes have the next ports.
const FIRST_PORT: u16 = 8_000;

/// Number of routes of the first configuration.
const BASE_ROUTES: u16 = 4;

/// Maximum time until all entries are in rotation.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Time between two flows that a client opens to a new route.
const OPEN_GAP: Duration = Duration::from_millis(40);

/// Length of a quick succession of configurations (`config_storm`), and the gap between two.
const STORM_LENGTH: Duration = Duration::from_millis(1_600);
const STORM_GAP: Duration = Duration::from_millis(200);

/// Time for which a flow to a new route is kept.
const FLOW_TIME: Duration = Duration::from_secs(6);

/// Time from the SIGTERM to the start of the storm.
const STORM_DELAY: Duration = Duration::from_millis(1_500);

/// Time from one SIGTERM to the next, and the number of rolls.
const ROLL_PERIOD: Duration = Duration::from_millis(4_300);
const ROLLS: usize = 15;

/// A random number, good enough for sequence numbers and addresses.
pub fn random() -> u32 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let time = SystemTime::now().duration_since(UNIX_EPOCH);
    let time = time.unwrap_or_default().as_nanos() as u64;
    let step = time ^ u64::from(process::id()) << 40;
    let mut value = STATE.fetch_add(step | 1, Ordering::Relaxed) ^ step;
    value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    (value ^ value >> 31) as u32
}

struct Deployment {
    record: Arc<Record>,
    store: Arc<Store>,
    entries: Vec<Machine>,
    agents: Vec<Machine>,
    routers: Vec<Arc<Router>>,
    clients: Vec<Arc<Client>>,
    version: u64,
    routes: u16,
}

impl Deployment {
    /// Starts everything and waits until all entries are in rotation.
    fn start(record: Arc<Record>) -> io::Result<Deployment> {
        // A free second octet, and free ports on it.
        let (net, ports, listener) = loop {
            let net = 20 + (random() % 200) as u8;
            let ports = Ports::new(20_000 + (random() % 8_000) as u16);
            let store = (Ipv4Addr::new(127, net, 4, 1), ports.store());
            if let Ok(listener) = TcpListener::bind(store) {
                break (net, ports, listener);
            }
        };
        let ip = |class: u8, n: usize| Ipv4Addr::new(127, net, class, n as u8);
        let dir = env::temp_dir().join(format!("marigoldway-review-{}", process::id()));
        fs::create_dir_all(&dir)?;
        let site = Site {
            ports,
            store: SocketAddrV4::new(ip(4, 1), ports.store()),
            seeds: (1..=3).map(|n| ip(1, n)).collect(),
            dir,
        };
        let mut deployment = Deployment {
            store: Store::start(listener),
            record: record.clone(),
            entries: Vec::new(),
            agents: Vec::new(),
            routers: Vec::new(),
            clients: Vec::new(),
            version: 1,
            routes: BASE_ROUTES,
        };
        deployment.configure();
        let mut endpoints = Vec::new();
        for (zone, entries, orders, papers) in ZONES {
            for _ in 0..entries {
                let n = deployment.entries.len() + 1;
                let name = format!("edge-{n}");
                let machine = Machine::create(&site, "entry", &name, ip(1, n), zone, None)?;
                deployment.entries.push(machine);
            }
            for k in 0..orders + papers {
                let n = deployment.agents.len() + 1;
                let service = if k < orders { "order-desk" } else { "paper-bin" };
                let name = format!("side-{n}");
                let address = ip(2, n);
                let machine =
                    Machine::create(&site, "agent", &name, address, zone, Some(service))?;
                deployment.agents.push(machine);
                let options = Options {
                    id: format!("i-{n}"),
                    service: service.to_owned(),
                    zone: zone.to_owned(),
                    app: SocketAddrV4::new(address, ports.app()),
                    outbound: SocketAddrV4::new(address, ports.outbound()),
                    control: SocketAddrV4::new(address, ports.control()),
                    slots: 4,
                };
                endpoints.push(Endpoint::start(options, record.clone())?);
            }
        }
        let machines = deployment.entries.iter_mut().chain(&mut deployment.agents);
        for machine in machines {
            machine.start()?;
        }
        let endpoints = Arc::new(endpoints);
        for (index, (zone, ..)) in ZONES.into_iter().enumerate() {
            let entries = deployment.entries.iter().filter(|it| it.zone == zone);
            let addresses = entries.map(|it| {
                let address = |port| SocketAddrV4::new(it.ip, port);
                (address(ports.listen()), address(ports.ready()))
            });
            let router = Router::start(addresses.collect(), record.clone());
            deployment.routers.push(router.clone());
            for n in 1..=2 {
                let address = SocketAddrV4::new(ip(3, index * 2 + n), ports.listen());
                let (endpoints, record) = (endpoints.clone(), record.clone());
                let on_reset = Box::new(move |key: &FlowKey, isn: u32| {
                    check_reset(&endpoints, &record, key, isn);
                });
                let client =
                    Client::start(address, router.clone(), deployment.record.clone(), on_reset)?;
                deployment.clients.push(client);
            }
        }
        let end = Instant::now() + START_LIMIT;
        while !deployment.routers.iter().all(|it| it.is_complete()) {
            if Instant::now() > end {
                return Err(io::Error::other("not all entries became ready"));
            }
            thread::sleep(Duration::from_millis(100));
        }
        // Traffic starts some seconds after the machines.
        thread::sleep(Duration::from_secs(5));
        Ok(deployment)
    }

    /// Writes the next configuration. The write is the acknowledgement.
    fn configure(&mut self) {
        self.version += 2;
        let routes: Vec<String> = (0..self.routes)
            .map(|n| {
                format!(
                    "{{\"name\":\"r{n}\",\"host\":\"{SERVER}\",\"prefix\":\"/{}/\",\
                     \"service\":\"order-desk\",\"type\":\"safe\",\"timeout_ms\":2500,\
                     \"target_latency_ms\":150,\"priority\":2}}",
                    FIRST_PORT + n
                )
            })
            .collect();
        let document = format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[{{\"name\":\"order-desk\"}},\
             {{\"name\":\"paper-bin\"}}],\"limits\":{{\"idle_timeout_ms\":15000}}}}",
            self.version,
            routes.join(",")
        );
        self.store.put("op/config", document.as_bytes());
        self.record.line(&format!(
            "acknowledged version={} routes={}",
            self.version, self.routes
        ));
    }

    /// Adds a route, and lets every client open a flow to it each `OPEN_GAP` for `STORM_GAP`.
    fn add_route(&mut self) {
        let start = Instant::now();
        self.routes += 1;
        self.configure();
        let server = SocketAddrV4::new(SERVER, FIRST_PORT + self.routes - 1);
        while start.elapsed() < STORM_GAP {
            for client in &self.clients {
                client.open(server, FLOW_TIME, 0);
            }
            thread::sleep(OPEN_GAP);
        }
    }

    fn check_processes(&mut self) {
        for machine in self.entries.iter_mut().chain(&mut self.agents) {
            if machine.has_ended() {
                self.record
                    .line(&format!("ended by itself: {}", machine.name));
            }
        }
    }
}

/// Rule FLOW (a): the client got a reset that the flow's endpoint, which lives, didn't send. No
/// configuration of these cases drops a route.
fn check_reset(endpoints: &[Arc<Endpoint>], record: &Record, key: &FlowKey, isn: u32) {
    if let Some(endpoint) = endpoints.iter().find(|it| it.holds(key, isn)) {
        let detail = format!(
            "reset of {}>{}, which is open at {}",
            key.0, key.1, endpoint.options.id
        );
        record.violation("FLOW", &detail);
    }
}

/// Case `stale-entry`: the entries of one zone are stopped and started in turn. While one returns,
/// configurations that add routes come in quick succession. Clients use each new route once it is
/// acknowledged.
fn stale_entry(deployment: &mut Deployment, trouble: bool) -> io::Result<()> {
    let is_rolled = |it: &&Machine| it.zone == ZONES[0].0;
    let count = deployment.entries.iter().filter(is_rolled).count();
    for n in 0..ROLLS {
        let start = Instant::now();
        let mut machine = deployment.entries.remove(n % count);
        let record = deployment.record.clone();
        let roll = thread::spawn(move || {
            let mut result = Ok(());
            if trouble {
                record.line(&format!("SIGTERM {}", machine.name));
                result = machine.roll();
                record.line(&format!("started {}", machine.name));
            }
            (machine, result)
        });
        thread::sleep(STORM_DELAY);
        let storm = Instant::now();
        while storm.elapsed() < STORM_LENGTH {
            deployment.add_route();
        }
        let (machine, result) = roll.join().map_err(|_| io::Error::other("roll failed"))?;
        deployment.entries.insert(n % count, machine);
        result?;
        thread::sleep(ROLL_PERIOD.saturating_sub(start.elapsed()));
    }
    Ok(())
}

fn run(case: &str, record: Arc<Record>) -> io::Result<()> {
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let mut deployment = Deployment::start(record)?;
    for client in &deployment.clients {
        for n in 0..BASE_ROUTES {
            let server = SocketAddrV4::new(SERVER, FIRST_PORT + n);
            client.open(server, Duration::from_secs(55), 2);
        }
    }
    match case {
        "stale-entry" => stale_entry(&mut deployment, trouble)?,
        _ => return Err(io::Error::other("unknown case")),
    }
    deployment.check_processes();
    Ok(())
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        process::exit(2);
    };
    let record = match Record::create(path) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            process::exit(2);
        }
    };
    let result = run(case, record.clone());
    let (served, violations) = record.result();
    let dir = env::temp_dir().join(format!("marigoldway-review-{}", process::id()));
    if env::var_os("KEEP").is_none() {
        let _ = fs::remove_dir_all(dir);
    } else {
        println!("settings and logs: {}", dir.display());
    }
    for violation in &violations {
        println!("{violation}");
    }
    println!("served={served} broken={}", violations.len());
    let code = match result {
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            2
        }
        Ok(()) if served < 100 => 2,
        Ok(()) => i32::from(!violations.is_empty()),
    };
    process::exit(code);
}
