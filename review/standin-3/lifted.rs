//! Flows that were opened while a zone was evacuated, after the zone was taken back and all
//! processes of the system were killed at once.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::flows;
use crate::record::Record;
use crate::world::Bounds;
use crate::world::World;
use crate::world::has_trouble;

const STABLE_WINDOW: Duration = Duration::from_millis(5_000);
const EVACUATE: Duration = Duration::from_millis(5_000);
const FLOWS: u16 = 200;
const FIRST_PORT: u16 = 40_000;

pub fn play(record: &Arc<Record>) -> std::io::Result<String> {
    let bounds = Bounds {
        config_apply_ms: 5_000,
        memory_mb: 79,
    };
    let edges = ["kl-b", "kl-b", "kl-a", "kl-a"];
    let mut sides = vec!["kl-a"; 7];
    sides.extend(["kl-b"; 9]);
    let world = World::new(record.clone(), bounds, &edges, &sides)?;
    world.configure(20);
    for (index, side) in world.sides().enumerate() {
        world.start_endpoint(side, &format!("i-{index}"))?;
    }
    for machine in &world.machines {
        world.start(machine)?;
    }
    let router = world.router("kl-b");
    if !world.wait_for_agents(sides.len(), Duration::from_secs(20)) {
        world.end();
        return Err(std::io::Error::other("the agents didn't register"));
    }
    thread::sleep(Duration::from_secs(3));
    let client = Client::start(world.client_addr(1), router.clone(), record.clone())?;

    if has_trouble("evacuate") {
        world.store.put("op/evacuate/kl-a", b"{}");
        record.line("operator has the evacuation of kl-a acknowledged");
    }
    thread::sleep(EVACUATE);
    for port in 0..FLOWS {
        client.open(FIRST_PORT + port, world.server());
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble("evacuate") {
        world.store.remove("op/evacuate/kl-a");
        record.line("operator has kl-a taken back");
    }
    thread::sleep(Duration::from_secs(2));
    let until = Instant::now();
    if has_trouble("kill") {
        world.kill_all()?;
    }
    let calm_since = Instant::now();
    // Machines are in touch again after the stable window.
    thread::sleep(STABLE_WINDOW + Duration::from_millis(1_500));
    record.line("all machines are in touch; clients send their next requests");
    for port in 0..FLOWS {
        client.request(FIRST_PORT + port);
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(2_500));
    let verdict = flows::judge(&world, &[&client], until, Some(calm_since), STABLE_WINDOW);
    world.end();
    if verdict.judged < usize::from(FLOWS) / 2 {
        return Err(std::io::Error::other("too few flows were opened"));
    }
    Ok(verdict.summary())
}
