//! Many changes of a large configuration. The platform kills each process that exceeds its memory,
//! and starts it again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::record::Record;
use crate::world::Bounds;
use crate::world::World;
use crate::world::has_trouble;

const MEMORY_MB: u32 = 64;
/// The configuration grows in steps of this many routes.
const GROWTH: usize = 1_400;
const STEPS: usize = 3;
/// A storm of changes: its length and the time between two changes.
const STORM: Duration = Duration::from_millis(3_600);
const GAP: Duration = Duration::from_millis(190);
const PAUSE: Duration = Duration::from_millis(190);
const LENGTH: Duration = Duration::from_secs(100);
/// Time from the end of a process by its memory to its restart.
const RESTART_DELAY: Duration = Duration::from_millis(1_000);
const SIDES: usize = 8;
const ENDS: u32 = 3;

/// Deployments that are played at the same time. In some, the second follower's history is replaced by
/// a list each time that the first one starts anew, so that it doesn't grow.
const DEPLOYMENTS: usize = 3;

pub fn play(record: &Arc<Record>) -> std::io::Result<String> {
    let plays = (0..DEPLOYMENTS).map(|_| {
        let record = record.clone();
        thread::spawn(move || play_one(&record))
    });
    let plays: Vec<_> = plays.collect();
    let mut summaries = Vec::new();
    for play in plays {
        let played = play
            .join()
            .map_err(|_| std::io::Error::other("a play has panicked"))?;
        summaries.push(played?);
    }
    Ok(summaries.join("\n"))
}

fn play_one(record: &Arc<Record>) -> std::io::Result<String> {
    let bounds = Bounds {
        config_apply_ms: 5_000,
        memory_mb: MEMORY_MB,
    };
    let edges = ["lhr-a", "lhr-b", "lhr-a"];
    let sides: Vec<&str> = (0..SIDES).map(|it| ["lhr-a", "lhr-b"][it % 2]).collect();
    let world = World::new(record.clone(), bounds, &edges, &sides)?;
    world.configure(20);
    for (index, side) in world.sides().enumerate() {
        world.start_endpoint(side, &format!("i-{index}"))?;
    }
    for machine in &world.machines {
        world.start(machine)?;
    }
    if !world.wait_for_agents(SIDES, Duration::from_secs(20)) {
        world.end();
        return Err(std::io::Error::other("the agents didn't register"));
    }
    let start = Instant::now();
    let mut ends: BTreeMap<String, u32> = BTreeMap::new();
    let mut peak = 0.0_f64;
    let (mut routes, mut grown, mut next) = (20, 0, start);
    let mut storm_end = start;
    while start.elapsed() < LENGTH {
        let now = Instant::now();
        if has_trouble("change") && now >= next {
            if grown < STEPS {
                grown += 1;
                routes += GROWTH;
                next = now + Duration::from_millis(500);
                storm_end = next + STORM;
            } else if now < storm_end {
                next = now + GAP;
            } else {
                next = now + PAUSE;
                storm_end = next + STORM;
            }
            world.configure(routes);
        }
        for machine in &world.machines {
            let Some(used) = world.memory_mb(machine) else {
                continue;
            };
            peak = peak.max(used);
            if used > f64::from(MEMORY_MB) {
                record.line(&format!("{} uses {used:.1} MB and is ended", machine.name));
                *ends.entry(machine.name.clone()).or_default() += 1;
                world.kill(machine);
                world.start_later(machine, RESTART_DELAY);
            }
        }
        world.start_due()?;
        thread::sleep(Duration::from_millis(20));
    }
    let often = ends.values().filter(|it| **it >= ENDS).count();
    let limit = world.machines.len().div_ceil(10).max(2);
    let summary = format!(
        "routes: {routes}, peak {peak:.1} MB of {MEMORY_MB}, ends by memory: {ends:?}; {often} \
         machines with {ENDS} ends or more, of {} in use",
        world.machines.len()
    );
    if often >= limit {
        record.broken("Fault", &summary);
    }
    world.end();
    Ok(summary)
}
