//! The project's own processes: settings as the deploy file's templates render them, start, signals
//! and restart.

use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Target;
use crate::world::World;

/// Time from the end of a process to its restart by the platform.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Time between SIGTERM and SIGKILL: `grace_s`.
const GRACE: Duration = Duration::from_secs(6);

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Ports that all machines have in common, and the first octets of their addresses.
#[derive(Clone, Copy)]
pub struct Net {
    pub octet: u8,
    pub internal: u16,
    pub datagram: u16,
    pub ready: u16,
    pub control: u16,
    pub outbound: u16,
    pub app: u16,
    pub metrics: u16,
}

impl Net {
    /// Picks ports and a loopback network that no other process uses.
    pub fn pick(seed: u64) -> Net {
        for step in 0..50 {
            let octet = 20 + ((seed / 7 + step * 31) % 200) as u8;
            let base = 21_000 + ((seed + step * 97) % 9_000) as u16;
            let free = (0..8).all(|n| {
                std::net::TcpListener::bind((Ipv4Addr::new(127, octet, 0, 1), base + n)).is_ok()
            });
            if free {
                return Net {
                    octet,
                    internal: base,
                    datagram: base + 1,
                    ready: base + 2,
                    control: base + 3,
                    outbound: base + 4,
                    app: base + 5,
                    metrics: base + 6,
                };
            }
        }
        panic!("no free ports");
    }

    pub fn ip(&self, part: u8, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.octet, part, number)
    }
}

/// A machine with one process.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
    /// Last start, kill or signal of the process.
    pub touched: Mutex<Instant>,
    world: Arc<World>,
    binary: PathBuf,
}

pub struct Fleet {
    pub net: Net,
    pub folder: PathBuf,
    pub binary: PathBuf,
    pub contacts: Vec<SocketAddrV4>,
    pub world: Arc<World>,
}

impl Fleet {
    /// Writes the settings of an entry's machine.
    pub fn entry(&self, name: &str, zone: &str, ip: Ipv4Addr, store: SocketAddrV4) -> Arc<Machine> {
        let text = self.settings(name, zone, ip, store, 260, "");
        self.machine(name, zone, "entry", ip, &text)
    }

    /// Writes the settings of the machine of an endpoint.
    pub fn agent(
        &self,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        store: SocketAddrV4,
        service: &str,
    ) -> Arc<Machine> {
        let net = &self.net;
        let more = format!(
            "outbound = {ip}:{}\ntarget = {ip}:{}\nservice = {service}\n",
            net.outbound, net.app
        );
        let text = self.settings(name, zone, ip, store, 128, &more);
        self.machine(name, zone, "agent", ip, &text)
    }

    fn settings(
        &self,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        store: SocketAddrV4,
        memory: u32,
        more: &str,
    ) -> String {
        let net = &self.net;
        let contacts: Vec<String> = self.contacts.iter().map(|it| it.to_string()).collect();
        format!(
            "[flows]\nname = {name}\ndomain = {zone}\ndata = {ip}:{}\nlisten = {ip}:{}\nready = {ip}:{}\n\
             control = {ip}:{}\nmetrics = {ip}:{}\ncontacts = {}\nheartbeat = 1200ms\nlifetime = 60s\n\
             grace = 6s\nmemory-mb = {memory}\n{more}\n[platform]\naddress = {store}\ntimeout = 1s\n",
            net.internal,
            net.datagram,
            net.ready,
            net.control,
            net.metrics,
            contacts.join(",")
        )
    }

    fn machine(
        &self,
        name: &str,
        zone: &str,
        role: &'static str,
        ip: Ipv4Addr,
        text: &str,
    ) -> Arc<Machine> {
        let settings = self.folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the temporary folder can be written");
        Arc::new(Machine {
            name: name.to_owned(),
            ip,
            zone: zone.to_owned(),
            role,
            settings,
            log: self.folder.join(format!("{name}.log")),
            child: Mutex::new(None),
            touched: Mutex::new(Instant::now()),
            world: self.world.clone(),
            binary: self.binary.clone(),
        })
    }

    pub fn target(&self, machine: &Machine) -> Target {
        Target {
            name: machine.name.clone(),
            data: SocketAddrV4::new(machine.ip, self.net.datagram),
            ready: SocketAddrV4::new(machine.ip, self.net.ready),
        }
    }
}

impl Machine {
    /// Starts the process with the command of the deploy file.
    pub fn start(&self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log can be written");
        let errors = log.try_clone().expect("a log can be shared");
        let child = Command::new(&self.binary)
            .args([self.role, "--apply-limit=3000ms"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program can be started");
        *self.child.lock().unwrap() = Some(child);
        *self.touched.lock().unwrap() = Instant::now();
        self.world.say(&format!("{} started", self.name));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            // SAFETY: the process is a child that hasn't been waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
        *self.touched.lock().unwrap() = Instant::now();
    }

    /// Stops the process as planned, and starts it again.
    pub fn restart(&self) {
        self.world.say(&format!("{} gets SIGTERM", self.name));
        self.signal(SIGTERM);
        let end = Instant::now() + GRACE;
        while self.is_running() && Instant::now() < end {
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
        thread::sleep(RESTART_DELAY);
        self.start();
    }

    pub fn is_running(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child
            .as_mut()
            .is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether nothing was done to the process for a while.
    pub fn is_calm(&self, span: Duration) -> bool {
        self.touched.lock().unwrap().elapsed() >= span
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
