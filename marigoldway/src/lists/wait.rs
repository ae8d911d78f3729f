//! `marigoldway lists wait`: waits until a list is in force at every instance.
//!
//! The heartbeats of an instance carry the revisions that the instance has in force.
//! The status page of an entry (a load balancer) shows the revisions in the heartbeats
//! that the entry received. The status pages of all entries together cover every
//! instance.

use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use serde_json::Value;
use tokio::time;

use marigoldway_core::lists::ListKind;
use marigoldway_core::lists::document::CHANGE_BITS;

use crate::cli::EXIT_FAILURE;
use crate::cli::EXIT_OK;
use crate::status;

/// Time between two polls of the entries.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Live instances, and the generations that the entries report for them. Instances are
/// named by control address. An entry that doesn't respond also counts as a live
/// instance, named by its operator address.
#[derive(Debug, Default)]
struct FleetGenerations {
    live: IndexSet<String>,
    generations: IndexMap<String, u64>,
}

/// Polls the entries until every live instance has `generation` or a later one in force,
/// or `limit` has passed. After the limit, prints the instances that lag and returns
/// [`EXIT_FAILURE`].
pub(super) async fn run(
    entries: &[SocketAddrV4],
    kind: ListKind,
    generation: u64,
    limit: Duration,
) -> ExitCode {
    let deadline = time::Instant::now() + limit;
    loop {
        let fleet = poll(entries, kind).await;
        let lagging = fleet.lagging_instances(generation);
        if lagging.is_empty() && !fleet.live.is_empty() {
            let instances = fleet.live.len();
            println!("outcome=in-force list={kind} generation={generation} instances={instances}");
            return ExitCode::from(EXIT_OK);
        }
        if time::Instant::now() >= deadline {
            println!("outcome=lagging list={kind} generation={generation}");
            for (name, held) in lagging {
                match held {
                    Some(held) => println!("instance={name} generation={held}"),
                    None => println!("instance={name} generation=unheard"),
                }
            }
            return ExitCode::from(EXIT_FAILURE);
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

async fn poll(entries: &[SocketAddrV4], kind: ListKind) -> FleetGenerations {
    let mut fleet = FleetGenerations::default();
    for entry in entries {
        match status::fetch(*entry).await {
            Ok(status) => fleet.add(&status, kind),
            Err(_) => {
                // The instances whose heartbeats only this entry receives are unknown. This
                // name never has a generation, so the wait goes on until the entry responds.
                fleet.live.insert(format!("operator:{entry}"));
            }
        }
    }
    fleet
}

impl FleetGenerations {
    /// Adds the live instances and the generations on the status page of one entry.
    fn add(&mut self, status: &Value, kind: ListKind) {
        let facts = &status["facts"];
        let names = facts["live"].as_array().into_iter().flatten();
        let names = names.filter_map(|name| name.as_str().map(str::to_owned));
        self.live.extend(names);

        let index = match kind {
            ListKind::Plans => 0,
            ListKind::Allowances => 1,
        };
        for (name, numbers) in facts["lists"].as_object().into_iter().flatten() {
            let generation = numbers[index].as_u64().unwrap_or(0) >> CHANGE_BITS;
            let held = self.generations.entry(name.clone()).or_default();
            // Entries receive the heartbeats of an instance at different times: the highest
            // generation is the latest.
            *held = generation.max(*held);
        }
    }

    /// Live instances that don't have `generation` or a later one in force. Each comes
    /// with its generation in force, or `None` if no entry reports one.
    fn lagging_instances(&self, generation: u64) -> Vec<(&str, Option<u64>)> {
        let held = |name: &String| self.generations.get(name).copied();
        self.live
            .iter()
            .map(|name| (name.as_str(), held(name)))
            .filter(|(_, held)| held.is_none_or(|held| held < generation))
            .collect()
    }
}
