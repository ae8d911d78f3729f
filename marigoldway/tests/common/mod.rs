//! A deployment of real processes on loopback addresses, for tests.
//!
//! Every process has an address of its own, and its ports come from the
//! system. Dropping the deployment ends each process that it started.

#![allow(dead_code, unused_imports)]

pub mod feeds;
mod node;
mod permit;
mod probe;
mod settings;
pub mod transfers;

use std::collections::BTreeSet;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;

use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;

use marigoldway_client::options::ClientOptions;

pub use crate::common::node::Node;
pub use crate::common::probe::WAIT_LIMIT;
pub use crate::common::probe::counter;
pub use crate::common::probe::fact;
pub use crate::common::probe::http;
pub use crate::common::probe::ready;
pub use crate::common::probe::status;
pub use crate::common::probe::wait_for;
pub use crate::common::settings::AgentPlan;
pub use crate::common::settings::EntryPlan;

use crate::common::permit::DeploymentPermit;

/// `ServicePlan` says how many targets a service has.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    pub name: &'static str,
    pub id: u16,
    pub targets: usize,
    pub slots: u32,
}

/// `Plan` says what a deployment consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    pub domains: u8,
    pub entries: usize,
    pub services: Vec<ServicePlan>,
    /// Directory of `plans.txt` and `allowances.txt`, put before the start.
    pub lists: Option<PathBuf>,
}

impl Plan {
    /// Three entries, one a domain, and the ordering service with three targets.
    pub fn small() -> Plan {
        Plan {
            domains: 3,
            entries: 3,
            services: vec![ServicePlan {
                name: "ordering",
                id: 1,
                targets: 3,
                slots: 4,
            }],
            lists: Some(default_lists()),
        }
    }

    /// [`Plan::small`] with the intake service beside.
    pub fn two_services() -> Plan {
        let mut plan = Plan::small();
        plan.services.push(ServicePlan {
            name: "intake",
            id: 2,
            targets: 2,
            slots: 4,
        });
        plan
    }
}

/// Lists with the customer of the tests and wide allowances.
pub fn default_lists() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/lists")
}

/// `Service` is a running service: its address at the fabric.
pub struct Service {
    pub plan: ServicePlan,
    pub addr: SocketAddr,
}

/// `Target` is a running target with its agent.
pub struct Target {
    pub plan: AgentPlan,
    pub service: &'static str,
    pub target: Node,
    pub agent: Node,
}

/// `Entry` is a running entry.
pub struct Entry {
    pub plan: EntryPlan,
    pub node: Node,
}

/// `Deployment` is a set of running processes.
pub struct Deployment {
    pub dir: PathBuf,
    pub platform: Node,
    pub platform_addr: SocketAddrV4,
    pub fabric: Node,
    pub fabric_control: SocketAddrV4,
    pub services: Vec<Service>,
    pub targets: Vec<Target>,
    pub entries: Vec<Entry>,
    pub contacts: Vec<SocketAddrV4>,
    next: u32,
    base: u32,
    _permit: DeploymentPermit,
}

static DEPLOYMENTS: AtomicU32 = AtomicU32::new(0);

impl Deployment {
    /// Starts every process of `plan` and waits until each is ready.
    pub fn start(plan: &Plan) -> Deployment {
        let permit = DeploymentPermit::acquire();
        let serial = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let dir = new_dir(&format!("marigoldway-{pid}-{serial}"));
        make_keys(&dir);

        // Loopback networks of tests that run side by side differ.
        let base = Ipv4Addr::new(127, 1 + (pid % 250) as u8, (serial % 250) as u8, 0).to_bits();
        let platform = Node::start_standin(
            &dir,
            "platform",
            &["platform", "--listen", &addr_of(base + 1, 0)],
        );
        let platform_addr = platform.listening(0);
        let mut deployment = Deployment {
            platform,
            platform_addr,
            // Replaced as soon as the entries' addresses are known.
            fabric: Node::not_started(),
            fabric_control: platform_addr,
            services: Vec::new(),
            targets: Vec::new(),
            entries: Vec::new(),
            contacts: Vec::new(),
            next: 2,
            base,
            dir,
            _permit: permit,
        };
        if let Some(lists) = &plan.lists {
            deployment.put_lists(lists);
        }
        deployment.start_entries(plan);
        deployment.start_fabric(plan);
        for service in &plan.services {
            for index in 0..service.targets {
                let domain = (index % usize::from(plan.domains)) as u8;
                deployment.add_target(service, domain);
            }
        }
        deployment.wait_ready();
        deployment
    }

    fn start_entries(&mut self, plan: &Plan) {
        let plans: Vec<EntryPlan> = (0..plan.entries)
            .map(|index| {
                let domain = (index % usize::from(plan.domains)) as u8;
                self.entry_plan(plan, domain)
            })
            .collect();
        self.contacts = plans.iter().map(|it| it.control).collect();
        for plan in plans {
            self.add_entry(plan);
        }
    }

    fn start_fabric(&mut self, plan: &Plan) {
        let ip = self.ip();
        let mut args = vec![
            "fabric".to_owned(),
            "--control".to_owned(),
            format!("{ip}:0"),
        ];
        for service in &plan.services {
            let listen = SocketAddrV4::new(ip, free_port(ip));
            args.push("--service".to_owned());
            args.push(format!("{listen}={}", self.entry_list(service.id, &[])));
            self.services.push(Service {
                plan: service.clone(),
                addr: SocketAddr::V4(listen),
            });
        }
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        self.fabric = Node::start_standin(&self.dir, "fabric", &args);
        self.fabric_control = self.fabric.listening(plan.services.len());
    }

    /// The plan of an entry that is not started yet.
    pub fn entry_plan(&mut self, plan: &Plan, domain: u8) -> EntryPlan {
        let ip = self.ip();
        let services = plan
            .services
            .iter()
            .map(|it| (it.name, it.id, free_port(ip)))
            .collect();
        EntryPlan {
            ip,
            domain,
            data: free_port(ip),
            control: SocketAddrV4::new(ip, free_port(ip)),
            operator: SocketAddrV4::new(ip, free_port(ip)),
            services,
        }
    }

    /// Starts an entry and gives its index.
    pub fn add_entry(&mut self, plan: EntryPlan) -> usize {
        let index = self.entries.len();
        let name = format!("entry-{index}");
        let text = plan.render(&self.contacts, self.platform_addr);
        let node = Node::start_role(&self.dir, &name, "entry", &text);
        self.entries.push(Entry { plan, node });
        index
    }

    /// Starts a target with its agent and gives its index.
    pub fn add_target(&mut self, service: &ServicePlan, domain: u8) -> usize {
        let index = self.targets.len();
        let ip = self.ip();
        let slots = service.slots.to_string();
        let listen = format!("{ip}:0");
        let args = [
            "target",
            "--listen",
            &listen,
            "--service",
            service.name,
            "--slots",
            &slots,
        ];
        let target = Node::start_standin(&self.dir, &format!("target-{index}"), &args);
        let plan = AgentPlan {
            ip,
            domain,
            service: service.id,
            name: service.name,
            slots: service.slots,
            data: free_port(ip),
            control: SocketAddrV4::new(ip, free_port(ip)),
            operator: SocketAddrV4::new(ip, free_port(ip)),
            target: target.listening(0),
        };
        let text = plan.render(&self.contacts, self.platform_addr, &self.dir);
        let agent = Node::start_role(&self.dir, &format!("agent-{index}"), "agent", &text);
        self.targets.push(Target {
            plan,
            service: service.name,
            target,
            agent,
        });
        index
    }

    /// Starts the agent of a target anew, at the same addresses.
    pub fn restart_agent(&mut self, index: usize) {
        let target = &mut self.targets[index];
        target.agent.kill();
        let text = target
            .plan
            .render(&self.contacts, self.platform_addr, &self.dir);
        let name = format!("agent-{index}");
        target.agent = Node::start_role(&self.dir, &name, "agent", &text);
        let operator = target.plan.operator;
        wait_for("a ready agent", || ready(operator));
    }

    /// Starts as many new entries as `leaving` names, hands the fabric over to
    /// them, and lets the old ones leave.
    pub fn replace_entries(&mut self, plan: &Plan, leaving: &[usize]) {
        for &index in leaving {
            let domain = self.entries[index].plan.domain;
            let fresh = self.entry_plan(plan, domain);
            self.add_entry(fresh);
        }
        self.wait_ready();
        for &index in leaving {
            self.entries[index].node.terminate();
        }
        self.update_fabric_without(leaving);
        for &index in leaving {
            let status = self.entries[index].node.wait();
            assert!(status.success(), "entry {index}: {status}");
        }
        let live = self.entries.iter().filter(|it| it.node.is_live());
        self.contacts = live.map(|it| it.plan.control).collect();
    }

    /// Starts as many new targets as `leaving` names and lets the old ones leave.
    pub fn replace_targets(&mut self, service: &ServicePlan, leaving: &[usize]) {
        for &index in leaving {
            let domain = self.targets[index].plan.domain;
            self.add_target(service, domain);
        }
        self.wait_ready();
        for &index in leaving {
            self.targets[index].agent.terminate();
        }
        for &index in leaving {
            let status = self.targets[index].agent.wait();
            assert!(status.success(), "agent {index}: {status}");
        }
    }

    /// Waits until every process is ready and each entry knows every process.
    pub fn wait_ready(&self) {
        let entries = self.entries.iter().filter(|it| it.node.is_live());
        let targets = self.targets.iter().filter(|it| it.agent.is_live());
        let all = entries.clone().count() + targets.clone().count();
        for entry in entries {
            let ip = entry.plan.operator;
            wait_for("an entry that knows every process", || {
                fact(ip, "serving").is_some_and(|serving| serving >= all as u64)
            });
        }
        for target in targets {
            wait_for("a ready agent", || ready(target.plan.operator));
        }
    }

    /// The addresses of the live entries for one service, as the fabric takes them.
    fn entry_list(&self, service: u16, leaving: &[usize]) -> String {
        let addrs: Vec<String> = self
            .entries
            .iter()
            .enumerate()
            .filter(|(index, it)| it.node.is_live() && !leaving.contains(index))
            .map(|(_, it)| it.plan.service(service).to_string())
            .collect();
        addrs.join(",")
    }

    /// Tells the fabric which entries are live.
    pub fn update_fabric(&self) {
        self.update_fabric_without(&[]);
    }

    /// Tells the fabric which entries are live and don't leave.
    pub fn update_fabric_without(&self, leaving: &[usize]) {
        for service in &self.services {
            let entries = self.entry_list(service.plan.id, leaving);
            let path = format!("/entries?service={}&entries={entries}", service.addr);
            let (status, body) = http(self.fabric_control, "POST", &path, "");
            assert_eq!(status, 200, "{body}");
        }
    }

    /// Options of a client of `service`.
    pub fn client(&self, service: &str) -> ClientOptions {
        let service = self.services.iter().find(|it| it.plan.name == service);
        let pem = self.dir.join("certificate.pem");
        ClientOptions {
            servers: vec![service.unwrap().addr],
            roots: vec![CertificateDer::from_pem_file(pem).unwrap()],
            token: "demo-token".to_owned(),
            ..ClientOptions::default()
        }
    }

    fn put_lists(&self, lists: &Path) {
        for kind in ["allowances", "plans"] {
            let file = lists.join(format!("{kind}.txt"));
            let file = file.to_string_lossy();
            let platform = self.platform_addr.to_string();
            marigoldway(&["lists", "put", "--platform", &platform, kind, &file]);
        }
    }

    fn ip(&mut self) -> Ipv4Addr {
        let ip = Ipv4Addr::from_bits(self.base + self.next);
        self.next += 1;
        ip
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for target in &mut self.targets {
            target.agent.kill();
            target.target.kill();
        }
        for entry in &mut self.entries {
            entry.node.kill();
        }
        self.fabric.kill();
        self.platform.kill();
        if thread::panicking() {
            eprintln!("logs are kept in {}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Makes a directory that was not there. One of an earlier process with the same
/// id may be, since the logs of a failed test are kept.
fn new_dir(name: &str) -> PathBuf {
    (0..1_000)
        .map(|serial| std::env::temp_dir().join(format!("{name}-{serial}")))
        .find(|dir| fs::create_dir(dir).is_ok())
        .unwrap()
}

fn make_keys(dir: &Path) {
    let keys = dir.join("keys.ini");
    marigoldway(&["keys", "new", &keys.to_string_lossy()]);
    marigoldway(&["keys", "certificate", "--dir", &dir.to_string_lossy()]);
}

/// Runs a command of the shipped binary that must succeed.
pub fn marigoldway(args: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_marigoldway"))
        .args(args)
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
}

/// Ports that were given out, since the system may give a free one twice.
static PORTS: Mutex<BTreeSet<(Ipv4Addr, u16)>> = Mutex::new(BTreeSet::new());

/// A port that is free for both UDP and TCP at `ip`, and given out once.
pub fn free_port(ip: Ipv4Addr) -> u16 {
    loop {
        let tcp = TcpListener::bind((ip, 0)).unwrap();
        let port = tcp.local_addr().unwrap().port();
        let mut ports = PORTS.lock().unwrap_or_else(PoisonError::into_inner);
        if UdpSocket::bind((ip, port)).is_ok() && ports.insert((ip, port)) {
            return port;
        }
    }
}

fn addr_of(ip: u32, port: u16) -> String {
    SocketAddrV4::new(Ipv4Addr::from_bits(ip), port).to_string()
}
