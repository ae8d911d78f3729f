//! A rolling restart of all nodes beside endpoints, and then of all entries. Nothing else happens.
//! Not a case of its own: few plays show the reset.

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
/// Nodes that are restarted at a time, and the time between two steps.
const AT_A_TIME: usize = 3;
const GAP: Duration = Duration::from_millis(1_200);
/// Time between the restarts of two entries.
const ENTRY_GAP: Duration = Duration::from_millis(2_000);
const SIDES: usize = 21;
const OPEN_GAP: Duration = Duration::from_millis(4);
/// Number of steps during which flows are opened.
const OPEN_STEPS: u32 = 3;
const FIRST_PORT: u16 = 40_000;

pub fn play(record: &Arc<Record>) -> std::io::Result<String> {
    let bounds = Bounds {
        config_apply_ms: 5_000,
        memory_mb: 64,
    };
    let edges = ["lhr-a", "lhr-a", "lhr-a", "lhr-b"];
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
    thread::sleep(Duration::from_secs(5));
    let client = Client::start(world.client_addr(1), router.clone(), record.clone())?;

    let rolled: Vec<_> = world.sides().cloned().collect();
    let mut next_port = FIRST_PORT;
    thread::scope(|scope| {
        let start = Instant::now() + Duration::from_secs(1);
        let steps = rolled.chunks(AT_A_TIME);
        let end = start + GAP * steps.len() as u32;
        let mut steps = steps.enumerate().peekable();
        while Instant::now() < end {
            let due = steps
                .peek()
                .is_some_and(|it| Instant::now() >= start + GAP * it.0 as u32);
            if due
                && let Some((_, step)) = steps.next()
                && has_trouble("roll")
            {
                for machine in step {
                    let world = &world;
                    scope.spawn(move || world.restart(machine));
                }
            }
            if Instant::now() < start + GAP * OPEN_STEPS {
                client.open(next_port, world.server());
                next_port += 1;
            }
            thread::sleep(OPEN_GAP);
        }
    });
    let until = Instant::now();
    for entry in world.entries() {
        if has_trouble("roll") {
            let at = Instant::now();
            world.restart(entry)?;
            thread::sleep(ENTRY_GAP.saturating_sub(at.elapsed()));
        }
    }
    thread::sleep(Duration::from_millis(1_500));
    record.line("the rolling restart is over; clients send their next requests");
    for port in FIRST_PORT..next_port {
        client.request(port);
        thread::sleep(Duration::from_millis(2));
    }
    thread::sleep(Duration::from_millis(2_500));
    let verdict = flows::judge(&world, &[&client], until, None, STABLE_WINDOW);
    world.end();
    if verdict.judged < 50 {
        return Err(std::io::Error::other("too few flows were opened"));
    }
    Ok(verdict.summary())
}
