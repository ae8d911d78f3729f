//! Plays the scripted cases of the second review: stand-ins for the platform's store, routers,
//! endpoints and clients around the project's own processes.

mod client;
mod endpoint;
mod fleet;
mod http;
mod json;
mod moved;
mod packet;
mod restarted;
mod reused;
mod store;
mod stream;
mod volume;
mod world;

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::client::Judge;
use crate::client::ResetSeen;
use crate::client::Router;
use crate::endpoint::Endpoint;
use crate::endpoint::EndpointOptions;
use crate::fleet::Fleet;
use crate::fleet::Machine;
use crate::fleet::Net;
use crate::store::Store;
use crate::world::World;

/// `stable_window_ms` of the small deployments.
pub const STABLE_WINDOW: Duration = Duration::from_millis(4_000);

/// `idle_timeout_ms` of the configuration.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(15_000);

/// `flow_lifetime_s` of the small deployments.
pub const FLOW_LIFETIME: Duration = Duration::from_secs(60);

/// A route of the configuration.
#[derive(Clone)]
pub struct Route {
    pub host: std::net::Ipv4Addr,
    pub port: u16,
    pub kind: &'static str,
    pub service: String,
}

/// Everything that a case plays with.
pub struct Stage {
    pub world: Arc<World>,
    pub fleet: Fleet,
    pub store: Arc<Store>,
    pub router: Arc<Router>,
    pub machines: Mutex<HashMap<String, Arc<Machine>>>,
    pub endpoints: Mutex<HashMap<String, Arc<Endpoint>>>,
    /// Whether the disruption of the case is played.
    pub trouble: bool,
}

impl Stage {
    pub fn machine(&self, name: &str) -> Arc<Machine> {
        self.machines.lock().unwrap()[name].clone()
    }

    /// Starts an entry on a machine of its own, and has the routers ask for it.
    pub fn add_entry(&self, number: u8) {
        let name = format!("edge-{number}");
        let ip = self.fleet.net.ip(1, number);
        let machine = self.fleet.entry(&name, "zone-a", ip, self.store.address);
        machine.start();
        self.router.add(self.fleet.target(&machine));
        self.machines.lock().unwrap().insert(name, machine);
    }

    /// Starts the agent of an endpoint's machine. `store` is the address at which it reaches the
    /// platform's store.
    pub fn add_agent(&self, name: &str, number: u8, service: &str, store: SocketAddrV4) {
        let zone = ["zone-a", "zone-b", "zone-c"][usize::from(number) % 3];
        let ip = self.fleet.net.ip(2, number);
        let machine = self.fleet.agent(name, zone, ip, store, service);
        machine.start();
        self.machines
            .lock()
            .unwrap()
            .insert(name.to_owned(), machine);
    }

    /// Starts an endpoint, or a further incarnation of it, beside its agent.
    pub fn start_endpoint(&self, name: &str, service: &str, slots: usize, work: Duration) {
        let (net, machine) = (&self.fleet.net, self.machine(name));
        let options = EndpointOptions {
            id: format!("i-{name}"),
            service: service.to_owned(),
            zone: machine.zone.clone(),
            app: SocketAddrV4::new(machine.ip, net.app),
            outbound: SocketAddrV4::new(machine.ip, net.outbound),
            control: SocketAddrV4::new(machine.ip, net.control),
            slots,
            heartbeat: Duration::from_millis(1_200),
            work,
        };
        let endpoint = Endpoint::start(options, &self.world);
        self.endpoints
            .lock()
            .unwrap()
            .insert(name.to_owned(), endpoint);
    }

    /// Writes a version of the configuration as the operator does. The store's answer is its
    /// acknowledgement.
    pub fn configure(&self, version: u64, routes: &[Route], services: &[&str]) {
        let routes: Vec<String> = routes
            .iter()
            .enumerate()
            .map(|(number, it)| {
                format!(
                    "{{\"name\":\"r-{number}\",\"host\":\"{}\",\"prefix\":\"/{}/\",\"type\":\"{}\",\"timeout_ms\":2500,\
                     \"target_latency_ms\":150,\"priority\":1,\"service\":\"{}\",\"max_attempts\":2}}",
                    it.host, it.port, it.kind, it.service
                )
            })
            .collect();
        let services: Vec<String> = services
            .iter()
            .map(|it| format!("{{\"name\":\"{it}\",\"health_path\":\"/health\",\"max_connections\":2000,\"protocol\":\"h1\",\"tls\":false}}"))
            .collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":{}}}}}",
            routes.join(","),
            services.join(","),
            IDLE_TIMEOUT.as_millis()
        );
        self.store.put("op/config", &text);
        self.world
            .say(&format!("configuration {version} is acknowledged"));
    }

    /// The check of FLOW (a): the flow is open at a living endpoint, is younger than the lifetime of
    /// a flow and isn't idle, and `counts` holds of its endpoint.
    pub fn judge(
        &self,
        counts: impl Fn(&str, &ResetSeen) -> bool + Send + Sync + 'static,
    ) -> Judge {
        let world = self.world.clone();
        Arc::new(move |seen: &ResetSeen| {
            let found = world.open.lock().unwrap().get(&seen.key).cloned();
            let name = world::name(&seen.key);
            let Some(flow) = found else {
                return world.note(&format!(
                    "the reset of {name} is allowed: no endpoint holds the flow"
                ));
            };
            let age = flow.opened.elapsed();
            let excused = !flow.alive.load(Ordering::Relaxed)
                || age > FLOW_LIFETIME
                || seen.last_heard.elapsed() > IDLE_TIMEOUT
                || !counts(&flow.endpoint, seen);
            let text = format!(
                "reset of {name}, which is open at {} for {} ms; the endpoint runs for {} ms; through {}",
                flow.endpoint,
                age.as_millis(),
                flow.started.elapsed().as_millis(),
                seen.entry
            );
            if excused {
                return world.note(&format!("not counted: {text}"));
            }
            world.broken.fetch_add(1, Ordering::Relaxed);
            world.say(&format!("FLOW is broken: {text}"));
        })
    }

    /// The check of FLOW (a) for machines in touch: nothing was done, within the stable window, to the
    /// entry that took the packet, to the flow's endpoint and to its machine.
    pub fn judge_in_touch(&self) -> Judge {
        let (machines, world) = (self.machines.lock().unwrap().clone(), self.world.clone());
        self.judge(move |endpoint, seen| {
            let flow = world.open.lock().unwrap().get(&seen.key).cloned();
            let has_run = flow.is_some_and(|it| it.started.elapsed() >= STABLE_WINDOW);
            let is_calm = |name: &str| {
                machines
                    .get(name)
                    .is_some_and(|it| it.is_calm(STABLE_WINDOW))
            };
            // Entries that were added later aren't among these machines.
            has_run && is_calm(&seen.entry) && is_calm(endpoint.trim_start_matches("i-"))
        })
    }

    /// Changes the service in the settings file of an agent's machine.
    pub fn change_service(&self, name: &str, from: &str, to: &str) {
        let file = self.fleet.folder.join(format!("{name}.conf"));
        let text = std::fs::read_to_string(&file).expect("the settings can be read");
        let text = text.replace(&format!("service = {from}\n"), &format!("service = {to}\n"));
        std::fs::write(&file, text).expect("the settings can be written");
    }

    /// Waits until the routers use this many entries, and the store lists this many agents.
    pub fn wait_until_ready(&self, entries: usize, agents: usize) -> bool {
        for _ in 0..150 {
            let keys = self.store.keys();
            let listed = keys
                .iter()
                .filter(|it| it.starts_with("agents/") && it.ends_with("/mark"));
            if self.router.ready_count() >= entries && listed.count() >= agents {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, binary, record] = &args[..] else {
        eprintln!("usage: standin-2 CASE BINARY RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let Ok(world) = World::new(record) else {
        eprintln!("the record can't be written");
        return ExitCode::from(2);
    };
    let world = Arc::new(world);
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        eprintln!("no temporary folder");
        return ExitCode::from(2);
    }
    let net = Net::pick(world.random());
    let store = Store::start(SocketAddrV4::new(net.ip(200, 7), net.internal));
    let contacts = (1..4).map(|it| SocketAddrV4::new(net.ip(1, it), net.control));
    let stage = Stage {
        fleet: Fleet {
            net,
            folder: folder.clone(),
            binary: PathBuf::from(binary),
            contacts: contacts.collect(),
            world: world.clone(),
        },
        store,
        router: Router::start(&world),
        machines: Mutex::default(),
        endpoints: Mutex::default(),
        trouble,
        world: world.clone(),
    };
    world.note(&format!("case {case}, trouble {trouble}"));
    let could_run = match case.as_str() {
        "restarted" => restarted::play(&stage),
        "reused" => reused::play(&stage),
        "moved" => moved::play(&stage),
        "volume" => volume::play(&stage),
        _ => false,
    };
    world.stop.store(true, Ordering::Relaxed);
    stage.machines.lock().unwrap().clear();
    thread::sleep(Duration::from_millis(50));
    let count = |it: &std::sync::atomic::AtomicU64| it.load(Ordering::Relaxed);
    world.say(&format!(
        "{} requests sent, {} answered, {} run; the rule was broken {} times",
        count(&world.sent),
        count(&world.answered),
        count(&world.run),
        count(&world.broken)
    ));
    world.flush();
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("logs are in {}", folder.display());
    }
    if !could_run || count(&world.answered) == 0 {
        eprintln!("the case couldn't run");
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(count(&world.broken) > 0))
}
