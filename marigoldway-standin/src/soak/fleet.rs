//! The deployment under test: its addresses, settings, configuration and processes.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rustix::process::Signal;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::task;
use tokio::time;

use crate::packets::proxy;
use crate::packets::proxy::ProxyMode;
use crate::packets::store::Store;
use crate::packets::target;
use crate::packets::target::Target;
use crate::packets::target::TargetOptions;
use crate::soak::SoakOptions;
use crate::soak::checker::Checker;
use crate::soak::process;
use crate::soak::process::Process;

// Ports, which are the same on every instance.

/// Port at which entries, the processes that face the clients, receive packets, and port of the
/// client's socket.
const LISTEN: u16 = 8_172;
/// Port of the readiness check of an instance.
const READY: u16 = 8_167;
/// Port of the control channel of an instance, and of its target's heartbeats.
const CONTROL: u16 = 8_166;
/// Port at which an instance receives packets of other instances.
const DATA: u16 = 7_720;
/// Port at which an agent, the process beside a target, receives the packets of its target.
const OUTBOUND: u16 = 8_170;
/// Port at which a target receives packets.
const APP: u16 = 8_080;
/// Port of the store and of each proxy in front of it.
const STORE: u16 = 8_169;

// Address classes, part of the third octet of a loopback address. The proxy between an instance and
// the store has the class of the instance plus `STORE_CLASS`.
const ENTRY_CLASS: u8 = 1;
const AGENT_CLASS: u8 = 2;
const CLIENT_CLASS: u8 = 3;
const STORE_CLASS: u8 = 4;

/// Server address of every route.
const SERVER: Ipv4Addr = Ipv4Addr::new(198, 18, 0, 1);

/// Routes of every configuration: port, type and service.
pub(crate) const ROUTES: [(u16, &str, &str); 3] = [
    (8_443, "safe", "orders"),
    (8_080, "unsafe", "orders"),
    (8_444, "upload", "papers"),
];

/// Time between the end of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// `Fleet` holds the store and every instance of the deployment.
pub(crate) struct Fleet {
    pub(crate) checker: Rc<Checker>,
    pub(crate) store: Arc<Store>,
    pub(crate) entries: Vec<Rc<Instance>>,
    pub(crate) agents: Vec<Rc<Instance>>,
    /// Version of the newest configuration.
    version: Cell<u64>,
    addresses: AddressPlan,
}

/// `AddressPlan` assigns the loopback addresses of a run. Runs of one process share no addresses if
/// their seeds differ modulo 30; runs of two processes share none if the process IDs differ modulo
/// 200.
#[derive(Clone, Copy, Debug)]
struct AddressPlan {
    /// Second octet, derived from the process ID.
    process: u8,
    /// Number from 0 to 29, derived from the seed; part of the third octet.
    run: u8,
}

impl AddressPlan {
    fn new(seed: u64) -> AddressPlan {
        AddressPlan {
            process: 20 + (std::process::id() % 200) as u8,
            run: (seed % 30) as u8,
        }
    }

    /// Returns the address of instance `n` of a class.
    fn ip(self, class: u8, n: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.process, 8 * self.run + class, n)
    }

    /// Returns the address of the proxy between that instance and the store.
    fn proxy_ip(self, class: u8, n: u8) -> Ipv4Addr {
        self.ip(STORE_CLASS + class, n)
    }
}

/// `Instance` is a process with its proxy to the store and, for an agent, its target.
pub(crate) struct Instance {
    pub(crate) process: RefCell<Process>,
    /// Mode of the proxy between the process and the store.
    pub(crate) proxy_mode: Rc<Cell<ProxyMode>>,
    pub(crate) target: RefCell<Option<Rc<Target>>>,
    /// Whether a running fault uses the instance exclusively.
    pub(crate) reserved: Cell<bool>,
    ip: Ipv4Addr,
    /// Number of targets that were started beside the process.
    target_starts: Cell<u32>,
}

impl Fleet {
    /// Starts the store with the first configuration, every target and every process.
    pub(crate) async fn start(options: &SoakOptions, checker: Rc<Checker>) -> io::Result<Fleet> {
        let addresses = AddressPlan::new(options.seed);
        let store = Store::start(TcpListener::bind((addresses.ip(STORE_CLASS, 1), STORE)).await?);
        let mut fleet = Fleet {
            checker,
            store,
            entries: Vec::new(),
            agents: Vec::new(),
            version: Cell::new(0),
            addresses,
        };
        fleet.configure(&[]);
        for n in 1..=options.entries {
            let instance = fleet
                .create_instance(options, ENTRY_CLASS, n, "entry")
                .await?;
            fleet.entries.push(instance);
        }
        for n in 1..=options.targets {
            let instance = fleet
                .create_instance(options, AGENT_CLASS, n, "agent")
                .await?;
            fleet.agents.push(instance.clone());
            let service = if n % 4 == 0 { "papers" } else { "orders" };
            fleet.start_target(&instance, service, None).await?;
        }
        for instance in fleet.instances() {
            instance.process.borrow_mut().start()?;
        }
        Ok(fleet)
    }

    async fn create_instance(
        &self,
        options: &SoakOptions,
        class: u8,
        n: u8,
        role: &'static str,
    ) -> io::Result<Rc<Instance>> {
        let ip = self.addresses.ip(class, n);
        let proxy_ip = self.addresses.proxy_ip(class, n);
        let proxy_mode = Rc::new(Cell::new(ProxyMode::Forward));
        let listener = TcpListener::bind((proxy_ip, STORE)).await?;
        let store = SocketAddrV4::new(self.addresses.ip(STORE_CLASS, 1), STORE);
        task::spawn_local(proxy::serve(listener, store, proxy_mode.clone()));
        let settings = self.settings(ip, proxy_ip, class, n, None);
        let process = Process::new(
            options.binary.clone(),
            options.dir.clone(),
            role,
            format!("{role}-{n}"),
            &settings,
        )?;
        Ok(Rc::new(Instance {
            process: RefCell::new(process),
            proxy_mode,
            target: RefCell::default(),
            reserved: Cell::new(false),
            ip,
            target_starts: Cell::new(0),
        }))
    }

    fn settings(
        &self,
        ip: Ipv4Addr,
        store: Ipv4Addr,
        class: u8,
        n: u8,
        service: Option<&str>,
    ) -> String {
        let contacts: Vec<String> = (1..=3)
            .map(|n| format!("{}:{CONTROL}", self.addresses.ip(ENTRY_CLASS, n)))
            .collect();
        let target_settings = service.map_or(String::new(), |service| {
            format!("outbound = {ip}:{OUTBOUND}\ntarget = {ip}:{APP}\nservice = {service}\n")
        });
        format!(
            "[flows]\nname = i-{class}-{n}\ndomain = {}\ndata = {ip}:{DATA}\n\
             listen = {ip}:{LISTEN}\nready = {ip}:{READY}\ncontrol = {ip}:{CONTROL}\n\
             contacts = {}\nheartbeat = {}ms\nlifetime = 60s\ngrace = {}s\nmemory-mb = 64\n\
             {target_settings}[platform]\naddress = {store}:{STORE}\ntimeout = 1s\n",
            ["a", "b", "c"][usize::from(n) % 3],
            contacts.join(","),
            target::HEARTBEAT_INTERVAL.as_millis(),
            process::GRACE_PERIOD.as_secs(),
        )
    }

    /// Iterates over the entries, then the agents.
    pub(crate) fn instances(&self) -> impl Iterator<Item = &Rc<Instance>> {
        self.entries.iter().chain(&self.agents)
    }

    /// Returns the packet address and the readiness address of each entry.
    pub(crate) fn entry_addresses(&self) -> Vec<(SocketAddrV4, SocketAddrV4)> {
        let entries = self.entries.iter();
        entries
            .map(|it| {
                let addr = |port| SocketAddrV4::new(it.ip, port);
                (addr(LISTEN), addr(READY))
            })
            .collect()
    }

    /// Returns the address of client `n`.
    pub(crate) fn client_addr(&self, n: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.addresses.ip(CLIENT_CLASS, n), LISTEN)
    }

    /// Returns the address to which clients send the packets for a port.
    pub(crate) fn server_addr(port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(SERVER, port)
    }

    /// Writes the next configuration, with a safe route to `orders` for each of `extra_ports`
    /// besides [`ROUTES`].
    pub(crate) fn configure(&self, extra_ports: &[u16]) {
        let extra_ports = extra_ports.iter().map(|port| (*port, "safe", "orders"));
        let routes: Vec<_> = ROUTES.into_iter().chain(extra_ports).collect();
        let route_list: Vec<_> = routes
            .iter()
            .map(|(port, kind, service)| {
                self.checker.allow_route(*port, service);
                json!({
                    "name": format!("r{port}"),
                    "host": SERVER.to_string(),
                    "prefix": format!("/{port}/"),
                    "service": service,
                    "type": kind,
                    "timeout_ms": 3_000,
                    "target_latency_ms": 250,
                    "priority": 1,
                })
            })
            .collect();
        self.version.set(self.version.get() + 3);
        let document = json!({
            "version": self.version.get(),
            "routes": route_list,
            "services": [{ "name": "orders" }, { "name": "papers" }],
            "limits": { "idle_timeout_ms": 15_000 },
        });
        self.store.put("op/config", document.to_string().as_bytes());
    }

    /// Starts a new target beside an agent and updates the agent's settings file. The target gets a
    /// new ID unless `id` is set.
    pub(crate) async fn start_target(
        &self,
        instance: &Instance,
        service: &str,
        id: Option<String>,
    ) -> io::Result<()> {
        let n = instance.ip.octets()[3];
        let proxy_ip = self.addresses.proxy_ip(AGENT_CLASS, n);
        let settings = self.settings(instance.ip, proxy_ip, AGENT_CLASS, n, Some(service));
        instance.process.borrow().set_settings(&settings)?;
        instance.target_starts.set(instance.target_starts.get() + 1);
        let addr = |port| SocketAddrV4::new(instance.ip, port);
        let options = TargetOptions {
            id: id.unwrap_or_else(|| format!("t-{n}-{}", instance.target_starts.get())),
            service: service.to_owned(),
            app: addr(APP),
            outbound: addr(OUTBOUND),
            control: addr(CONTROL),
            slots: 4,
        };
        let target = Target::start(options, self.checker.clone()).await?;
        self.checker.add_target(target.clone());
        *instance.target.borrow_mut() = Some(target);
        Ok(())
    }

    /// Sends SIGTERM to a process, waits for its end and restarts it if `restart` is set. Records a
    /// violation unless the process exits with success within its grace period.
    pub(crate) async fn terminate(&self, instance: &Instance, restart: bool) -> io::Result<()> {
        let child = instance.process.borrow_mut().take_child();
        if let Some(child) = child
            && !process::terminate(child).await
        {
            let name = instance.process.borrow().name.clone();
            self.checker.record_violation(
                "EXIT",
                &format!("{name} didn't leave within its grace period"),
            );
        }
        if restart {
            time::sleep(RESTART_DELAY).await;
            instance.process.borrow_mut().start()?;
        }
        Ok(())
    }

    /// Kills every process that no other fault has reserved, and restarts them together.
    pub(crate) async fn kill_all(&self) -> io::Result<()> {
        let available: Vec<_> = self.instances().filter(|it| !it.reserved.get()).collect();
        for instance in &available {
            instance.reserved.set(true);
            instance.process.borrow_mut().kill();
        }
        time::sleep(RESTART_DELAY).await;
        for instance in &available {
            instance.reserved.set(false);
            instance.process.borrow_mut().start()?;
        }
        Ok(())
    }

    /// Returns the number of running targets of a service.
    pub(crate) fn count_targets(&self, service: &str) -> usize {
        let targets = self.agents.iter().map(|it| it.target.borrow());
        let matching =
            targets.filter(|it| it.as_ref().is_some_and(|it| it.options.service == service));
        matching.count()
    }

    /// Kills one process and restarts it.
    pub(crate) async fn kill(&self, instance: &Instance) -> io::Result<()> {
        instance.process.borrow_mut().kill();
        time::sleep(RESTART_DELAY).await;
        instance.process.borrow_mut().start()
    }

    /// Stops a process with SIGSTOP and continues it after `span`.
    pub(crate) async fn freeze(&self, instance: &Instance, span: Duration) {
        instance.process.borrow().signal(Signal::STOP);
        time::sleep(span).await;
        instance.process.borrow().signal(Signal::CONT);
    }

    /// Records a violation for each process that has exited by itself, and restarts it.
    pub(crate) fn check_processes(&self) -> io::Result<()> {
        for instance in self.instances() {
            let mut process = instance.process.borrow_mut();
            if process.has_ended() {
                let detail = format!("{} exited by itself", process.name);
                self.checker.record_violation("EXIT", &detail);
                process.start()?;
            }
        }
        Ok(())
    }
}

/// Creates the directory of a run's settings and logs in the system's temporary directory.
pub(crate) fn create_run_dir(seed: u64) -> io::Result<PathBuf> {
    let name = format!("marigoldway-soak-{}-{seed}", std::process::id());
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}
