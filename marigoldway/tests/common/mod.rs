//! Starts a deployment of real processes on loopback addresses.
//!
//! A deployment has entries (load balancer processes) and targets, each with an agent (the
//! process that admits the target's requests). Stand-ins replace three parts that are not
//! marigoldway's: the platform (a key-value store), the fabric (a router that sends each
//! packet to any entry) and the targets.
//!
//! Each process has its own IP address, and the operating system assigns its
//! ports. Dropping the deployment kills every process that it started.

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

/// `ServicePlan` describes a service, its targets and the request slots of each target.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    pub name: &'static str,
    pub id: u16,
    pub targets: usize,
    pub slots: u32,
}

/// `Plan` describes the processes of a deployment and the lists that it starts with.
#[derive(Clone, Debug)]
pub struct Plan {
    pub domains: u8,
    pub entries: usize,
    pub services: Vec<ServicePlan>,
    /// Directory of `plans.txt` and `allowances.txt`, stored at the platform before entries start.
    pub lists: Option<PathBuf>,
}

impl Plan {
    /// Returns three entries, one per domain, and the ordering service with three targets.
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

    /// Returns [`Plan::small`] with the intake service, which has two targets.
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

/// Returns the directory of lists that define the test customer, with allowances
/// so wide that tests reach no limit.
pub fn default_lists() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/lists")
}

/// `Service` is a running service and the address of the fabric to which clients connect.
pub struct Service {
    pub plan: ServicePlan,
    pub addr: SocketAddr,
}

/// `Target` is a target process and the agent process beside it.
pub struct Target {
    pub plan: AgentPlan,
    pub service: &'static str,
    pub target: Node,
    pub agent: Node,
}

/// `Entry` is an entry process and the plan that it was started with.
pub struct Entry {
    pub plan: EntryPlan,
    pub node: Node,
}

/// `Deployment` is a platform, a fabric, entries, and targets with their agents.
pub struct Deployment {
    pub dir: PathBuf,
    pub platform: Node,
    pub platform_addr: SocketAddrV4,
    pub fabric: Node,
    pub fabric_control: SocketAddrV4,
    pub services: Vec<Service>,
    pub targets: Vec<Target>,
    pub entries: Vec<Entry>,
    /// Control addresses of the entries that new processes contact first.
    pub contacts: Vec<SocketAddrV4>,
    /// Host part of the IP address that is allocated next.
    next_host: u32,
    /// Loopback network of the deployment, with a host part of 8 bits.
    network: u32,
    _permit: DeploymentPermit,
}

/// Serial number of the next deployment in this test program.
static NEXT_SERIAL: AtomicU32 = AtomicU32::new(0);

impl Deployment {
    /// Starts every process of `plan` and waits until all are ready.
    pub fn start(plan: &Plan) -> Deployment {
        let permit = DeploymentPermit::acquire();
        let serial = NEXT_SERIAL.fetch_add(1, Ordering::Relaxed);
        let pid = std::process::id();
        let dir = create_dir(&format!("marigoldway-{pid}-{serial}"));
        create_keys(&dir);

        // Concurrent tests use different loopback networks.
        let network = Ipv4Addr::new(127, 1 + (pid % 250) as u8, (serial % 250) as u8, 0).to_bits();
        let platform = Node::start_standin(
            &dir,
            "platform",
            &["platform", "--listen", &format_addr(network + 1, 0)],
        );
        let platform_addr = platform.listening(0);
        let mut deployment = Deployment {
            platform,
            platform_addr,
            // Replaced once the addresses of the entries are known.
            fabric: Node::not_started(),
            fabric_control: platform_addr,
            services: Vec::new(),
            targets: Vec::new(),
            entries: Vec::new(),
            contacts: Vec::new(),
            next_host: 2,
            network,
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
        let ip = self.allocate_ip();
        let mut args = vec![
            "fabric".to_owned(),
            "--control".to_owned(),
            format!("{ip}:0"),
        ];
        for service in &plan.services {
            let listen = SocketAddrV4::new(ip, free_port(ip));
            args.push("--service".to_owned());
            args.push(format!("{listen}={}", self.entry_addrs(service.id, &[])));
            self.services.push(Service {
                plan: service.clone(),
                addr: SocketAddr::V4(listen),
            });
        }
        let args: Vec<&str> = args.iter().map(String::as_str).collect();
        self.fabric = Node::start_standin(&self.dir, "fabric", &args);
        self.fabric_control = self.fabric.listening(plan.services.len());
    }

    /// Returns a plan for a new entry, with free ports for each service of `plan`.
    pub fn entry_plan(&mut self, plan: &Plan, domain: u8) -> EntryPlan {
        let ip = self.allocate_ip();
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

    /// Starts an entry and returns its index.
    pub fn add_entry(&mut self, plan: EntryPlan) -> usize {
        let index = self.entries.len();
        let name = format!("entry-{index}");
        let text = plan.render(&self.contacts, self.platform_addr);
        let node = Node::start_role(&self.dir, &name, "entry", &text);
        self.entries.push(Entry { plan, node });
        index
    }

    /// Starts a target with its agent and returns its index.
    pub fn add_target(&mut self, service: &ServicePlan, domain: u8) -> usize {
        let index = self.targets.len();
        let ip = self.allocate_ip();
        let slots = service.slots.to_string();
        // Drawn like the agent's ports: the system may assign one of these to a target that asks
        // for any port.
        let listen = SocketAddrV4::new(ip, free_port(ip)).to_string();
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

    /// Kills the agent of a target, restarts it at the same addresses and waits until ready.
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

    /// Starts a new entry for each index in `leaving` and stops the old entries gracefully:
    /// signals them, removes them from the fabric, and waits until they exit. Panics if one
    /// fails.
    pub fn replace_entries(&mut self, plan: &Plan, leaving: &[usize]) {
        for &index in leaving {
            let domain = self.entries[index].plan.domain;
            let replacement = self.entry_plan(plan, domain);
            self.add_entry(replacement);
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

    /// Starts a new target for each index in `leaving` and stops the agents of the
    /// old targets gracefully. Panics if one fails. The old targets keep running.
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

    /// Waits until each agent is ready and each entry counts all live entries and
    /// agents as serving.
    pub fn wait_ready(&self) {
        let entries = self.entries.iter().filter(|it| it.node.is_live());
        let targets = self.targets.iter().filter(|it| it.agent.is_live());
        let expected = entries.clone().count() + targets.clone().count();
        for entry in entries {
            let operator = entry.plan.operator;
            wait_for("an entry that counts every process as serving", || {
                fact(operator, "serving").is_some_and(|serving| serving >= expected as u64)
            });
        }
        for target in targets {
            wait_for("a ready agent", || ready(target.plan.operator));
        }
    }

    /// Returns the addresses of a service at the live entries that are not in
    /// `leaving`, comma-separated as the fabric expects them.
    fn entry_addrs(&self, service: u16, leaving: &[usize]) -> String {
        let addrs: Vec<String> = self
            .entries
            .iter()
            .enumerate()
            .filter(|(index, it)| it.node.is_live() && !leaving.contains(index))
            .map(|(_, it)| it.plan.service(service).to_string())
            .collect();
        addrs.join(",")
    }

    /// Sends the fabric the addresses of the live entries.
    pub fn update_fabric(&self) {
        self.update_fabric_without(&[]);
    }

    /// Sends the fabric the addresses of the live entries that are not in `leaving`.
    pub fn update_fabric_without(&self, leaving: &[usize]) {
        for service in &self.services {
            let entries = self.entry_addrs(service.plan.id, leaving);
            let path = format!("/entries?service={}&entries={entries}", service.addr);
            let (status, body) = http(self.fabric_control, "POST", &path, "");
            assert_eq!(status, 200, "{body}");
        }
    }

    /// Returns options for a client of `service`, with the test customer's token. Panics if
    /// the deployment lacks the service.
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

    /// Stores the lists of a directory at the platform.
    fn put_lists(&self, lists: &Path) {
        for kind in ["allowances", "plans"] {
            let file = lists.join(format!("{kind}.txt"));
            let file = file.to_string_lossy();
            let platform = self.platform_addr.to_string();
            marigoldway(&["lists", "put", "--platform", &platform, kind, &file]);
        }
    }

    /// Returns the next unused IP address of the deployment's network.
    fn allocate_ip(&mut self) -> Ipv4Addr {
        let ip = Ipv4Addr::from_bits(self.network + self.next_host);
        self.next_host += 1;
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
            eprintln!("kept the logs in {}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Creates a new directory in the temporary directory. Adds a number to `name`, since the logs
/// of a failed test are kept and a later test may run under the same process ID.
fn create_dir(name: &str) -> PathBuf {
    (0..1_000)
        .map(|serial| std::env::temp_dir().join(format!("{name}-{serial}")))
        .find(|dir| fs::create_dir(dir).is_ok())
        .unwrap()
}

/// Creates the keys file, the TLS certificate and its key in `dir`.
fn create_keys(dir: &Path) {
    let keys = dir.join("keys.ini");
    marigoldway(&["keys", "new", &keys.to_string_lossy()]);
    marigoldway(&["keys", "certificate", "--dir", &dir.to_string_lossy()]);
}

/// Runs a command of the `marigoldway` binary; panics if it fails.
pub fn marigoldway(args: &[&str]) {
    let output = Command::new(env!("CARGO_BIN_EXE_marigoldway"))
        .args(args)
        .output()
        .unwrap();
    assert!(output.status.success(), "{output:?}");
}

/// Ports that [`free_port`] has returned. The operating system may assign a port twice.
static USED_PORTS: Mutex<BTreeSet<(Ipv4Addr, u16)>> = Mutex::new(BTreeSet::new());

/// Returns a port that is free for both UDP and TCP at `ip` and was not returned before.
pub fn free_port(ip: Ipv4Addr) -> u16 {
    loop {
        let tcp = TcpListener::bind((ip, 0)).unwrap();
        let port = tcp.local_addr().unwrap().port();
        let mut ports = USED_PORTS.lock().unwrap_or_else(PoisonError::into_inner);
        if UdpSocket::bind((ip, port)).is_ok() && ports.insert((ip, port)) {
            return port;
        }
    }
}

fn format_addr(ip: u32, port: u16) -> String {
    SocketAddrV4::new(Ipv4Addr::from_bits(ip), port).to_string()
}
