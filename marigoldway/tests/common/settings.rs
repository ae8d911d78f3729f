//! Settings files of the processes of a deployment.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;

/// `EntryPlan` holds the addresses of one entry.
#[derive(Clone, Debug)]
pub struct EntryPlan {
    pub ip: Ipv4Addr,
    pub domain: u8,
    pub data: u16,
    pub control: SocketAddrV4,
    pub operator: SocketAddrV4,
    /// Name, number and port of each service.
    pub services: Vec<(&'static str, u16, u16)>,
}

impl EntryPlan {
    /// Address of one service at this entry.
    pub fn service(&self, id: u16) -> SocketAddrV4 {
        let service = self.services.iter().find(|it| it.1 == id).unwrap();
        SocketAddrV4::new(self.ip, service.2)
    }

    /// The settings file.
    pub fn render(&self, contacts: &[SocketAddrV4], platform: SocketAddrV4) -> String {
        let mut text = process(self.domain, self.operator);
        text += &network(self.ip, self.data, self.control, contacts);
        text += "agent-networks = 127.0.0.0/8\n";
        text += &format!("[platform]\naddress = {platform}\n");
        for (name, id, port) in &self.services {
            text += &format!("[service {name}]\nid = {id}\nlisten = {}:{port}\n", self.ip);
        }
        text
    }
}

/// `AgentPlan` holds the addresses of one agent and its target.
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
    /// The settings file.
    pub fn render(&self, contacts: &[SocketAddrV4], platform: SocketAddrV4, dir: &Path) -> String {
        let mut text = process(self.domain, self.operator);
        text += &network(self.ip, self.data, self.control, contacts);
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

fn process(domain: u8, operator: SocketAddrV4) -> String {
    format!(
        "[process]\ndomain = {domain}\nregion = 1\nkeys = keys.ini\noperator = {operator}\nlog-level = debug\n"
    )
}

fn network(ip: Ipv4Addr, data: u16, control: SocketAddrV4, contacts: &[SocketAddrV4]) -> String {
    let contacts: Vec<String> = contacts.iter().map(ToString::to_string).collect();
    format!(
        "[network]\ndata = {ip}:{data}\ncontrol = {control}\ncontacts = {}\n",
        contacts.join(", ")
    )
}
