//! A heartbeat of an endpoint that has crashed arrives late, just after the agent's process was
//! restarted by planned work. A new incarnation has served at the address for a while.

use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client::Client;
use crate::flows;
use crate::http;
use crate::record::Record;
use crate::world::Bounds;
use crate::world::World;
use crate::world::has_trouble;

const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
const SIDES: usize = 7;
const FLOWS: u16 = 100;
const FIRST_PORT: u16 = 40_000;

pub fn play(record: &Arc<Record>) -> std::io::Result<String> {
    let bounds = Bounds {
        config_apply_ms: 3_000,
        memory_mb: 128,
    };
    let edges = ["lhr-a", "lhr-a", "lhr-b"];
    let sides: Vec<&str> = (0..SIDES).map(|it| ["lhr-a", "lhr-b"][it % 2]).collect();
    let world = World::new(record.clone(), bounds, &edges, &sides)?;
    world.configure(20);
    for (index, side) in world.sides().enumerate() {
        world.start_endpoint(side, &format!("i-{index}"))?;
    }
    for machine in &world.machines {
        world.start(machine)?;
    }
    let router = world.router("lhr-a");
    if !world.wait_for_agents(SIDES, Duration::from_secs(20)) {
        world.end();
        return Err(std::io::Error::other("the agents didn't register"));
    }
    thread::sleep(Duration::from_secs(2));
    let client = Client::start(world.client_addr(1), router.clone(), record.clone())?;
    let Some(machine) = world.sides().next().cloned() else {
        return Err(std::io::Error::other("no side machine"));
    };

    // The first incarnation sends a heartbeat, which is held up, and crashes.
    let Some(old) = machine.endpoint.lock().unwrap().take() else {
        return Err(std::io::Error::other("no endpoint"));
    };
    let held_up = old.heartbeat();
    let (control, path) = (
        old.options.control,
        format!("/v1/endpoints/{}", old.options.id),
    );
    record.line(&format!(
        "endpoint i-0 sends a heartbeat that is held up: {held_up}"
    ));
    old.crash();
    drop(old);
    record.line("endpoint i-0 crashes");
    thread::sleep(Duration::from_millis(2_500));
    world.start_endpoint(&machine, "i-0-again")?;
    thread::sleep(STABLE_WINDOW + Duration::from_millis(2_000));

    for port in 0..FLOWS {
        client.open(FIRST_PORT + port, world.server());
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(1_500));
    let until = Instant::now();
    // Planned work: the process beside the endpoint is stopped and started.
    world.restart(&machine)?;
    if has_trouble("late") {
        let end = Instant::now() + Duration::from_secs(3);
        let limit = Duration::from_secs(1);
        let arrives = || http::call(control, "PUT", &path, &held_up, limit).is_some();
        while !arrives() && Instant::now() < end {
            thread::sleep(Duration::from_millis(2));
        }
        record.line("the heartbeat that was held up has arrived");
    }
    let end = Instant::now() + Duration::from_secs(4);
    while Instant::now() < end {
        for port in 0..FLOWS {
            client.request(FIRST_PORT + port);
        }
        thread::sleep(Duration::from_millis(250));
    }
    thread::sleep(Duration::from_millis(2_500));
    let verdict = flows::judge(&world, &[&client], until, None, STABLE_WINDOW);
    world.end();
    if verdict.judged < usize::from(FLOWS) / 2 {
        return Err(std::io::Error::other("too few flows were opened"));
    }
    Ok(verdict.summary())
}
