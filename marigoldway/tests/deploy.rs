//! The settings in `deploy/` are valid, and the processes of a deployment have distinct addresses.

mod scratch;

use std::fs;
use std::net::Ipv4Addr;
use std::path::Path;

use indexmap::IndexMap;
use indexmap::IndexSet;

use marigoldway::settings::AgentSettings;
use marigoldway::settings::EntrySettings;
use scratch::Scratch;

/// Settings of every process of a deployment.
struct Deployment {
    entries: Vec<EntrySettings>,
    agents: Vec<AgentSettings>,
}

impl Deployment {
    /// Copies a deployment's settings to a scratch directory, which has keys and a certificate, and
    /// loads them there, as an operator would.
    fn load(name: &str) -> Deployment {
        let scratch = Scratch::new(name);
        let dir = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("../deploy")
            .join(name);
        let mut deployment = Deployment {
            entries: Vec::new(),
            agents: Vec::new(),
        };
        for file in fs::read_dir(dir).expect("the deployment") {
            let file = file.expect("a file").path();
            let name = file
                .file_name()
                .and_then(|name| name.to_str())
                .expect("a name");
            if !name.ends_with(".ini") {
                continue;
            }
            let copy = scratch.path(name);
            fs::copy(&file, &copy).expect("a copy");
            if name.starts_with("entry-") {
                deployment
                    .entries
                    .push(EntrySettings::load(&copy).expect("accepted"));
            } else {
                deployment
                    .agents
                    .push(AgentSettings::load(&copy).expect("accepted"));
            }
        }
        deployment
    }

    /// Returns the number of agents by service name.
    fn count_agents(&self) -> IndexMap<&str, usize> {
        let mut counts = IndexMap::new();
        for agent in &self.agents {
            *counts.entry(agent.target.name.as_str()).or_default() += 1;
        }
        counts
    }

    fn check_consistency(&self) {
        let domains: IndexSet<u8> = self
            .entries
            .iter()
            .map(|entry| entry.process.domain.0)
            .collect();
        assert_eq!(domains.len(), 3, "one entry per domain");

        let entries = self.entries.iter().map(|entry| &entry.network);
        let agents = self.agents.iter().map(|agent| &agent.network);
        let ips: IndexSet<Ipv4Addr> = entries.chain(agents).map(|it| *it.data.0.ip()).collect();
        assert_eq!(
            ips.len(),
            self.entries.len() + self.agents.len(),
            "distinct addresses"
        );

        // Every entry may route to every agent, and both have the same ID for each service.
        for entry in &self.entries {
            for agent in &self.agents {
                let ip = *agent.network.data.0.ip();
                assert!(
                    entry
                        .network
                        .agent_networks
                        .iter()
                        .any(|net| net.contains(ip))
                );
                let mut services = entry.services.iter();
                let service = services.find(|service| service.name == agent.target.name);
                assert_eq!(
                    service.map(|service| service.id),
                    Some(agent.target.service)
                );
            }
        }
    }
}

#[test]
fn sungur_dana_is_accepted() {
    let deployment = Deployment::load("sungur-dana");
    deployment.check_consistency();
    let counts = deployment.count_agents();
    assert_eq!((counts["ordering"], counts["intake"]), (7, 3));
    assert!(
        deployment
            .agents
            .iter()
            .all(|agent| agent.target.slots == 4)
    );
}

#[test]
fn waqt_saanjha_is_accepted() {
    let deployment = Deployment::load("waqt-saanjha");
    deployment.check_consistency();
    let counts = deployment.count_agents();
    assert_eq!((counts["ledger"], counts["intake"]), (7, 3));
    assert!(
        deployment
            .agents
            .iter()
            .all(|agent| agent.target.slots == 5)
    );
}
