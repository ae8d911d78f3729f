//! A deployment on loopback addresses: the store, the endpoints, the clients' routers and the
//! system's own processes.

use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Router;
use crate::endpoint::Endpoint;
use crate::endpoint::HEARTBEAT;
use crate::endpoint::Options;
use crate::record::Record;
use crate::store::Store;

// Ports, the same on all machines.
const LISTEN: u16 = 8_172;
const READY: u16 = 8_167;
const CONTROL: u16 = 8_166;
const DATA: u16 = 7_720;
const OUTBOUND: u16 = 8_170;
const APP: u16 = 8_080;
const STORE: u16 = 8_169;

/// Time from the end of a process to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(400);

pub const SERVICE: &str = "desk";
pub const HEALTH_PATH: &str = "/healthz";
const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Bounds of the deployment.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub config_apply_ms: u64,
    pub memory_mb: u32,
}

/// A machine with one process of the system, and an endpoint beside an agent.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    pub endpoint: Mutex<Option<Arc<Endpoint>>>,
    pub started: Mutex<Instant>,
}

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub machines: Vec<Arc<Machine>>,
    pub dir: PathBuf,
    bounds: Bounds,
    net: u8,
    version: Mutex<u64>,
    /// Whether all processes have been killed at once.
    killed_all: AtomicBool,
    /// Machines whose processes are to be started, with the time.
    due: Mutex<Vec<(Instant, Arc<Machine>)>>,
}

impl World {
    /// Starts the store. `edges` and `sides` are the zones of the machines.
    pub fn new(
        record: Arc<Record>,
        bounds: Bounds,
        edges: &[&str],
        sides: &[&str],
    ) -> std::io::Result<World> {
        let first = (std::process::id() % 200) as u8;
        let free = (0..200).map(|it| 20 + (first + it) % 200).find_map(|net| {
            let addr = SocketAddrV4::new(Ipv4Addr::new(127, net, 250, 1), STORE);
            Store::start(addr).ok().map(|store| (net, store))
        });
        let Some((net, store)) = free else {
            return Err(std::io::Error::other("no free address"));
        };
        let dir = std::env::temp_dir().join(format!("review-3-{}-{net}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let mut world = World {
            record,
            store,
            machines: Vec::new(),
            dir,
            bounds,
            net,
            version: Mutex::new(0),
            killed_all: AtomicBool::new(false),
            due: Mutex::default(),
        };
        for (index, zone) in edges.iter().enumerate() {
            world.add("entry", 1, index, zone, edges.len())?;
        }
        for (index, zone) in sides.iter().enumerate() {
            world.add("agent", 2, index, zone, edges.len())?;
        }
        Ok(world)
    }

    fn add(
        &mut self,
        role: &'static str,
        class: u8,
        index: usize,
        zone: &str,
        edges: usize,
    ) -> std::io::Result<()> {
        let ip = Ipv4Addr::new(127, self.net, class, index as u8 + 1);
        let class_name = if role == "entry" { "edge" } else { "side" };
        let name = format!("{class_name}-{zone}-{}", index + 1);
        let settings = self.dir.join(format!("{name}.ini"));
        let seeds: Vec<String> = (1..=edges.min(3))
            .map(|it| format!("127.{}.1.{it}:{CONTROL}", self.net))
            .collect();
        let values = [
            ("node_name", name.clone()),
            ("zone", zone.to_owned()),
            ("ip", ip.to_string()),
            ("internal_ports.0", DATA.to_string()),
            ("bind_addrs.datagram_addr", format!("{ip}:{LISTEN}")),
            ("bind_addrs.ready", format!("{ip}:{READY}")),
            ("bind_addrs.control", format!("{ip}:{CONTROL}")),
            ("bind_addrs.outbound", format!("{ip}:{OUTBOUND}")),
            ("seeds", seeds.join(",")),
            ("heartbeat_ms", HEARTBEAT.as_millis().to_string()),
            ("bounds.flow_lifetime_s", "60".to_owned()),
            ("bounds.grace_s", "6".to_owned()),
            ("limits.memory_mb", self.bounds.memory_mb.to_string()),
            ("app", format!("{ip}:{APP}")),
            ("service", SERVICE.to_owned()),
            (
                "platform.address",
                format!("127.{}.250.1:{STORE}", self.net),
            ),
        ];
        let template = fs::read_to_string(format!("platform/{role}.ini"))?;
        fs::write(&settings, render(&template, &values))?;
        self.machines.push(Arc::new(Machine {
            log: self.dir.join(format!("{name}.log")),
            name,
            zone: zone.to_owned(),
            ip,
            role,
            settings,
            child: Mutex::new(None),
            endpoint: Mutex::new(None),
            started: Mutex::new(Instant::now()),
        }));
        Ok(())
    }

    pub fn entries(&self) -> impl Iterator<Item = &Arc<Machine>> {
        self.machines.iter().filter(|it| it.role == "entry")
    }

    pub fn sides(&self) -> impl Iterator<Item = &Arc<Machine>> {
        self.machines.iter().filter(|it| it.role == "agent")
    }

    /// Address that the clients' flows go to.
    pub fn server(&self) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 9, 1), 443)
    }

    pub fn client_addr(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.net, 3, number), LISTEN)
    }

    /// The routers of a zone.
    pub fn router(&self, zone: &str) -> Arc<Router> {
        let nodes = self.entries().filter(|it| it.zone == zone);
        let addr = |it: &Arc<Machine>, port| SocketAddrV4::new(it.ip, port);
        let nodes: Vec<_> = nodes
            .map(|it| (addr(it, LISTEN), addr(it, READY)))
            .collect();
        Router::start(&nodes)
    }

    /// Writes the next configuration, with some further routes that see no traffic.
    pub fn configure(&self, idle_routes: usize) {
        let mut version = self.version.lock().unwrap();
        *version += 3;
        let server = self.server();
        let route = |index: usize, host: String, port: u16| {
            format!(
                "{{\"name\":\"r{index}\",\"host\":\"{host}\",\"prefix\":\"/{port}/\",\
                 \"service\":\"{SERVICE}\",\"type\":\"safe\",\"timeout_ms\":2500,\
                 \"target_latency_ms\":150,\"priority\":2,\"max_attempts\":1}}"
            )
        };
        let mut routes = vec![route(0, server.ip().to_string(), server.port())];
        for index in 0..idle_routes {
            let host = format!("127.{}.{}.{}", self.net, 10 + index / 200, 1 + index % 200);
            routes.push(route(index + 1, host, 8_443));
        }
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"health_path\":\"{HEALTH_PATH}\"}}],\"limits\":{{\"idle_timeout_ms\":30000}}}}",
            routes.join(",")
        );
        self.store.put("op/config", text.as_bytes());
        let len = text.len();
        self.record.line(&format!(
            "operator has version {version} of {len} bytes acknowledged"
        ));
    }

    /// Starts an endpoint beside an agent.
    pub fn start_endpoint(&self, machine: &Machine, id: &str) -> std::io::Result<()> {
        let addr = |port| SocketAddrV4::new(machine.ip, port);
        let options = Options {
            id: id.to_owned(),
            service: SERVICE.to_owned(),
            zone: machine.zone.clone(),
            app: addr(APP),
            outbound: addr(OUTBOUND),
            control: addr(CONTROL),
            slots: 4,
            health_path: HEALTH_PATH.to_owned(),
        };
        let endpoint = Endpoint::start(options, self.record.clone())?;
        self.record
            .line(&format!("endpoint {id} starts at {}", endpoint.options.app));
        *machine.endpoint.lock().unwrap() = Some(endpoint);
        Ok(())
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&self, machine: &Machine) -> std::io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&machine.log)?;
        let child = Command::new("target/release/marigoldway")
            .arg(machine.role)
            .arg(format!("--apply-limit={}ms", self.bounds.config_apply_ms))
            .arg(&machine.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *machine.started.lock().unwrap() = Instant::now();
        *machine.child.lock().unwrap() = Some(child);
        self.record
            .line(&format!("process of {} starts", machine.name));
        Ok(())
    }

    pub fn kill(&self, machine: &Machine) {
        if let Some(mut child) = machine.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .line(&format!("process of {} is killed", machine.name));
        }
    }

    /// Memory of a machine's process that no file backs, in megabytes.
    pub fn memory_mb(&self, machine: &Machine) -> Option<f64> {
        let id = machine.child.lock().unwrap().as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|it| it.strip_prefix("RssAnon:"))?;
        let kb: f64 = line.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kb / 1_024.0)
    }

    /// Starts a process that has ended after a delay.
    pub fn start_later(&self, machine: &Arc<Machine>, delay: Duration) {
        let due = Instant::now() + delay;
        self.due.lock().unwrap().push((due, machine.clone()));
    }

    /// Starts the processes whose delay is over.
    pub fn start_due(&self) -> std::io::Result<()> {
        let now = Instant::now();
        let mut due = self.due.lock().unwrap();
        let ready: Vec<Arc<Machine>> = due
            .iter()
            .filter(|it| it.0 <= now)
            .map(|it| it.1.clone())
            .collect();
        due.retain(|it| it.0 > now);
        ready.iter().try_for_each(|it| self.start(it))
    }

    /// Sends SIGTERM, waits for the end and starts the process again. If all are killed meanwhile,
    /// it starts with them.
    pub fn restart(&self, machine: &Machine) -> std::io::Result<()> {
        let child = machine.child.lock().unwrap().take();
        if let Some(mut child) = child {
            self.record
                .line(&format!("process of {} gets SIGTERM", machine.name));
            // SAFETY: the child was started here and hasn't been waited for.
            unsafe { kill(child.id() as i32, SIGTERM) };
            let limit = Instant::now() + Duration::from_secs(6);
            while child.try_wait()?.is_none() {
                if Instant::now() >= limit || self.killed_all.load(Ordering::SeqCst) {
                    let _ = child.kill();
                }
                thread::sleep(Duration::from_millis(10));
            }
        }
        thread::sleep(RESTART_DELAY);
        if self.killed_all.load(Ordering::SeqCst) {
            return Ok(());
        }
        self.start(machine)
    }

    /// Kills all processes of the system at once and starts them again.
    pub fn kill_all(&self) -> std::io::Result<()> {
        self.killed_all.store(true, Ordering::SeqCst);
        for machine in &self.machines {
            if let Some(child) = machine.child.lock().unwrap().as_mut() {
                let _ = child.kill();
            }
        }
        for machine in &self.machines {
            self.kill(machine);
        }
        thread::sleep(RESTART_DELAY);
        self.machines.iter().try_for_each(|it| self.start(it))
    }

    /// Waits until the store lists `count` agents with a serving target.
    pub fn wait_for_agents(&self, count: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let listed = self.store.values("agents/");
            let serving = listed.iter().filter(|(key, value)| {
                !key.ends_with("/mark") && value.get("state").text() == "serving"
            });
            if serving.count() >= count {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// The endpoint that holds an open flow with its own first number.
    pub fn holder(&self, key: &crate::endpoint::FlowKey, isn: u32) -> Option<(String, Instant)> {
        self.sides().find_map(|it| {
            let endpoint = it.endpoint.lock().unwrap().clone()?;
            endpoint
                .holds(key, isn)
                .then(|| (endpoint.options.id.clone(), endpoint.started))
        })
    }

    /// Ends all processes and removes the folder, unless REVIEW_KEEP is set.
    pub fn end(&self) {
        for machine in &self.machines {
            self.kill(machine);
            if let Some(endpoint) = machine.endpoint.lock().unwrap().take() {
                endpoint.crash();
            }
        }
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            println!("logs in {}", self.dir.display());
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for machine in &self.machines {
            self.kill(machine);
        }
    }
}

/// Fills in a template as the platform does, as far as the templates here need it.
fn render(template: &str, values: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let end = start + text[start..].find("}}").unwrap_or(0) + 2;
        let name = text[start + 3..end - 2].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let stop = end + text[end..].find(&close).unwrap_or(0);
        let is_set = values.iter().any(|it| it.0 == name);
        let body = if is_set {
            text[end..stop].to_owned()
        } else {
            String::new()
        };
        text.replace_range(start..stop + close.len(), &body);
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// Whether the part of the case's disruption with this name happens: all of them unless TROUBLE
/// is 0 or names one.
pub fn has_trouble(part: &str) -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it == "1" || it == part)
}

pub fn record_path(folder: &str) -> PathBuf {
    Path::new(folder).join("record.txt")
}
