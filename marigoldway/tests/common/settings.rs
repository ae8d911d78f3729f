//! Renders the settings files of entries and agents.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;

/// `EntryPlan` holds the domain, the addresses and the ports of one entry.
#[derive(Clone, Debug)]
pub struct EntryPlan {
    pub ip: Ipv4Addr,
    pub domain: u8,
    pub data: u16,
    pub control: SocketAddrV4,
    pub operator: SocketAddrV4,
    /// Name, ID and port of each service.
    pub services: Vec<(&'static str, u16, u16)>,
}

impl EntryPlan {
    /// Returns the address of a service at this entry; panics if the entry lacks it.
    pub fn service(&self, id: u16) -> SocketAddrV4 {
        let service = self.services.iter().find(|it| it.1 == id).unwrap();
        SocketAddrV4::new(self.ip, service.2)
    }

    /// Returns the text of the settings file.
    pub fn render(&self, contacts: &[SocketAddrV4], platform: SocketAddrV4) -> String {
        let mut text = process_section(self.domain, self.operator);
        text += &network_section(self.ip, self.data, self.control, contacts);
        text += "agent-networks = 127.0.0.0/8\n";
        text += &format!("[platform]\naddress = {platform}\n");
        for (name, id, port) in &self.services {
            text += &format!("[service {name}]\nid = {id}\nlisten = {}:{port}\n", self.ip);
        }
        text
    }
}

/// `AgentPlan` holds the addresses of one agent and its target, and the service
/// and slots of the target.
#[derive(Clone, Debug)]
pub struct AgentPlan {
    pub ip: Ipv4Addr,
    pub domain: u8,
    pub service: u16,
    pub name: &'static str,
    pub slots: u32,
    pub data: u16,
    pub control: SocketAddrV4,
    pub operator: SocketAddrV4,
    pub target: SocketAddrV4,
}

impl AgentPlan {
    /// Returns the text of the settings file. `dir` holds the TLS certificate and key.
    pub fn render(&self, contacts: &[SocketAddrV4], platform: SocketAddrV4, dir: &Path) -> String {
        let mut text = process_section(self.domain, self.operator);
        text += &network_section(self.ip, self.data, self.control, contacts);
        text += &format!("[platform]\naddress = {platform}\n");
        text += &format!(
            "[target]\nservice = {}\nname = {}\naddress = {}\nslots = {}\nconnections = 2000\n",
            self.service, self.name, self.target, self.slots
        );
        let dir = dir.display();
        text += &format!("[tls]\ncertificate = {dir}/certificate.pem\nkey = {dir}/key.pem\n");
        text
    }
}

fn process_section(domain: u8, operator: SocketAddrV4) -> String {
    format!(
        "[process]\ndomain = {domain}\nregion = 1\nkeys = keys.ini\noperator = {operator}\nlog-level = debug\n"
    )
}

fn network_section(
    ip: Ipv4Addr,
    data: u16,
    control: SocketAddrV4,
    contacts: &[SocketAddrV4],
) -> String {
    let contacts: Vec<String> = contacts.iter().map(ToString::to_string).collect();
    format!(
        "[network]\ndata = {ip}:{data}\ncontrol = {control}\ncontacts = {}\n",
        contacts.join(", ")
    )
}
