//! The project's processes, with settings rendered from its templates.

use std::fs;
use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Program of the deploy file's roles.
const PROGRAM: &str = "target/release/marigoldway";

/// Time between SIGTERM and SIGKILL (`grace_s`).
pub const GRACE: Duration = Duration::from_secs(6);

/// Time between the end of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Ports, which are the same on every machine.
#[derive(Clone, Copy)]
pub struct Ports {
    first: u16,
}

impl Ports {
    /// Seven ports from `first` on.
    pub fn new(first: u16) -> Ports {
        Ports { first }
    }

    pub fn listen(self) -> u16 {
        self.first
    }

    pub fn ready(self) -> u16 {
        self.first + 1
    }

    pub fn control(self) -> u16 {
        self.first + 2
    }

    pub fn data(self) -> u16 {
        self.first + 3
    }

    pub fn outbound(self) -> u16 {
        self.first + 4
    }

    pub fn app(self) -> u16 {
        self.first + 5
    }

    pub fn store(self) -> u16 {
        self.first + 6
    }
}

/// `Machine` is one machine with its process.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// What the templates are filled with, beside the values of one machine.
pub struct Site {
    pub ports: Ports,
    pub store: SocketAddrV4,
    pub seeds: Vec<Ipv4Addr>,
    pub dir: PathBuf,
}

impl Machine {
    /// Writes the settings of a process. `service` is that of an agent's endpoint.
    pub fn create(
        site: &Site,
        role: &'static str,
        name: &str,
        ip: Ipv4Addr,
        zone: &str,
        service: Option<&str>,
    ) -> io::Result<Machine> {
        let template = fs::read_to_string(format!("platform/{role}.ini"))?;
        let ports = site.ports;
        let seeds = site.seeds.iter();
        let seeds: Vec<String> = seeds.map(|it| format!("{it}:{}", ports.control())).collect();
        let address = |port: u16| format!("{ip}:{port}");
        let fields = [
            ("node_name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("ip", ip.to_string()),
            ("internal_ports.0", ports.data().to_string()),
            ("bind_addrs.datagram_addr", address(ports.listen())),
            ("bind_addrs.ready", address(ports.ready())),
            ("bind_addrs.control", address(ports.control())),
            ("bind_addrs.outbound", address(ports.outbound())),
            ("seeds", seeds.join(",")),
            ("heartbeat_ms", "1200".to_owned()),
            ("bounds.flow_lifetime_s", "60".to_owned()),
            ("bounds.grace_s", GRACE.as_secs().to_string()),
            ("limits.memory_mb", "128".to_owned()),
            ("app", address(ports.app())),
            ("service", service.unwrap_or_default().to_owned()),
            ("platform.address", site.store.to_string()),
        ];
        let mut text = template;
        for (field, value) in fields {
            text = text.replace(&format!("{{{{#{field}}}}}"), "");
            text = text.replace(&format!("{{{{/{field}}}}}"), "");
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        let settings = site.dir.join(format!("{name}.conf"));
        fs::write(&settings, text)?;
        Ok(Machine {
            name: name.to_owned(),
            ip,
            zone: zone.to_owned(),
            role,
            settings,
            log: site.dir.join(format!("{name}.log")),
            child: None,
        })
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .arg(self.role)
            .arg(&self.settings)
            .env_clear()
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends SIGTERM, waits for the end (SIGKILL after the grace time), and starts again.
    pub fn roll(&mut self) -> io::Result<()> {
        self.signal(SIGTERM);
        let end = Instant::now() + GRACE;
        while self.is_running() && Instant::now() < end {
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
        thread::sleep(RESTART_DELAY);
        self.start()
    }

    fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.is_some() && !self.is_running()
    }

    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            // SAFETY: `kill` takes plain numbers. The child hasn't been waited for while it runs,
            // so its process ID is still its own.
            unsafe { kill(child.id().cast_signed(), number) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
