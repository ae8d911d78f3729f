//! A rolling restart of the nodes beside endpoints, in the middle of which all processes of the
//! system are killed at once.

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
const SIDES: usize = 14;
/// Three in ten of the nodes.
const ROLLED: usize = 4;
const OPEN_GAP: Duration = Duration::from_millis(4);
const FIRST_PORT: u16 = 40_000;

/// Deployments that are played at the same time, each with a kill at a moment of its own.
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
    thread::sleep(Duration::from_secs(3));
    let client = Client::start(world.client_addr(1), router.clone(), record.clone())?;

    // The time of the kill isn't tuned: any moment of the rolling restart.
    let roll = GAP * (ROLLED.div_ceil(AT_A_TIME)) as u32;
    let share = f64::from(record.random() % 1_000) / 1_000.0;
    let kill_after =
        Duration::from_millis(200) + (roll - Duration::from_millis(200)).mul_f64(share);
    record.line(&format!(
        "the kill comes {:.2} s after the first SIGTERM",
        kill_after.as_secs_f64()
    ));
    let rolled: Vec<_> = world.sides().take(ROLLED).cloned().collect();
    let mut next_port = FIRST_PORT;
    let mut until = Instant::now();
    let mut result = Ok(());
    thread::scope(|scope| {
        let start = Instant::now() + Duration::from_secs(1);
        let end = start + kill_after;
        let mut steps = rolled.chunks(AT_A_TIME).enumerate().peekable();
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
            client.open(next_port, world.server());
            next_port += 1;
            thread::sleep(OPEN_GAP);
        }
        until = Instant::now();
        if has_trouble("kill") {
            // Those that are being restarted at this moment start with the others.
            result = world.kill_all();
        }
    });
    result?;
    let calm_since = Instant::now();
    thread::sleep(STABLE_WINDOW + Duration::from_millis(1_500));
    record.line("all machines are in touch; clients send their next requests");
    for port in FIRST_PORT..next_port {
        client.request(port);
        thread::sleep(Duration::from_millis(2));
    }
    thread::sleep(Duration::from_millis(2_500));
    let verdict = flows::judge(&world, &[&client], until, Some(calm_since), STABLE_WINDOW);
    world.end();
    if verdict.judged < 50 {
        return Err(std::io::Error::other("too few flows were opened"));
    }
    Ok(verdict.summary())
}
