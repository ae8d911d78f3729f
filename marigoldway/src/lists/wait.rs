//! `marigoldway lists wait`: whether a list is in force everywhere.
//!
//! Each instance states the revisions it has in force in its heartbeats. An
//! entry shows on its status page what it heard; the answers of all entries
//! together cover every instance.

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

/// Time between two looks.
const PERIOD: Duration = Duration::from_millis(500);

/// What the entries know of every instance, by control address.
#[derive(Debug, Default)]
struct Survey {
    live: IndexSet<String>,
    generations: IndexMap<String, u64>,
}

/// Asks the entries until every live instance has the generation, or `limit`
/// has passed. Names those that lag.
pub(super) async fn run(
    entries: &[SocketAddrV4],
    kind: ListKind,
    generation: u64,
    limit: Duration,
) -> ExitCode {
    let end = time::Instant::now() + limit;
    loop {
        let survey = survey(entries, kind).await;
        let lagging = survey.lagging(generation);
        if lagging.is_empty() && !survey.live.is_empty() {
            let instances = survey.live.len();
            println!("outcome=in-force list={kind} generation={generation} instances={instances}");
            return ExitCode::from(EXIT_OK);
        }
        if time::Instant::now() >= end {
            println!("outcome=lagging list={kind} generation={generation}");
            for (name, held) in lagging {
                match held {
                    Some(held) => println!("instance={name} generation={held}"),
                    None => println!("instance={name} generation=unheard"),
                }
            }
            return ExitCode::from(EXIT_FAILURE);
        }
        time::sleep(PERIOD).await;
    }
}

async fn survey(entries: &[SocketAddrV4], kind: ListKind) -> Survey {
    let mut survey = Survey::default();
    for entry in entries {
        match status::fetch(*entry).await {
            Ok(status) => survey.add(&status, kind),
            Err(_) => {
                // Nothing is known of the instances that only this one hears.
                survey.live.insert(format!("operator:{entry}"));
            }
        }
    }
    survey
}

impl Survey {
    fn add(&mut self, status: &Value, kind: ListKind) {
        let facts = &status["facts"];
        let names = facts["live"].as_array().into_iter().flatten();
        let names = names.filter_map(|name| name.as_str().map(str::to_owned));
        self.live.extend(names);

        let column = match kind {
            ListKind::Plans => 0,
            ListKind::Allowances => 1,
        };
        for (name, numbers) in facts["lists"].as_object().into_iter().flatten() {
            let generation = numbers[column].as_u64().unwrap_or(0) >> CHANGE_BITS;
            let held = self.generations.entry(name.clone()).or_default();
            // Entries hear of an instance at different times.
            *held = generation.max(*held);
        }
    }

    /// Live instances below `generation`, with what they have in force.
    fn lagging(&self, generation: u64) -> Vec<(&str, Option<u64>)> {
        let held = |name: &String| self.generations.get(name).copied();
        self.live
            .iter()
            .map(|name| (name.as_str(), held(name)))
            .filter(|(_, held)| held.is_none_or(|held| held < generation))
            .collect()
    }
}
