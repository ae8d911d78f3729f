//! An endpoint is shut down as planned, and starts again under its id. The store turns two other
//! machines away meanwhile. Entries are added, by which the routers move flows to other entries.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Route;
use crate::Stage;
use crate::client;
use crate::client::Habit;

const SERVICE: &str = "documents";
const OTHER: &str = "orders";

/// The endpoint that starts again.
const RESTARTED: &str = "side-2";

pub fn play(stage: &Stage) -> bool {
    let world = &stage.world;
    let net = stage.fleet.net;
    let route = |number: u8, service: &str| Route {
        host: net.ip(198, number),
        port: 8_443,
        kind: "safe",
        service: service.to_owned(),
    };
    let routes = [route(1, SERVICE), route(2, OTHER)];
    stage.configure(3, &routes, &[SERVICE, OTHER]);
    for number in 1..4 {
        stage.add_entry(number);
    }
    // The store is reached at another address from the machines that it will turn away.
    let turned_away = Arc::new(AtomicBool::new(false));
    let gate = SocketAddrV4::new(net.ip(200, 8), net.internal);
    stage.store.serve_machine(gate, turned_away.clone());
    stage.add_agent("side-1", 1, SERVICE, gate);
    stage.add_agent(RESTARTED, 2, SERVICE, stage.store.address);
    stage.add_agent("side-3", 3, OTHER, gate);
    let work = Duration::from_millis(10);
    thread::sleep(Duration::from_millis(500));
    stage.start_endpoint("side-1", SERVICE, 4, work);
    stage.start_endpoint(RESTARTED, SERVICE, 4, work);
    stage.start_endpoint("side-3", OTHER, 4, work);
    if !stage.wait_until_ready(3, 3) {
        return false;
    }
    // A reset counts only if nothing was done, within the stable window, to the entry that took the
    // packet, to the flow's endpoint and to its machine.
    let judge = stage.judge_in_touch();
    let habit = |number: u8, least, most| Habit {
        route: (net.ip(198, number), 8_443),
        len: 2_000,
        pause: Duration::from_millis(250),
        deadline: Duration::from_millis(2_500),
        life: (Duration::from_millis(least), Duration::from_millis(most)),
    };
    for number in 0..12 {
        let address = SocketAddrV4::new(net.ip(64, 10 + number), net.datagram);
        let mut habits = vec![habit(1, 3_000, 12_000); 8];
        habits.push(habit(2, 10_000, 20_000));
        client::start(world, &stage.router, address, habits, judge.clone());
    }
    world.sleep_until(20_000);
    if stage.trouble {
        let endpoint = stage.endpoints.lock().unwrap()[RESTARTED].clone();
        endpoint.shut_down(Duration::from_millis(3_500));
    }
    world.sleep_until(26_000);
    if stage.trouble {
        turned_away.store(true, Ordering::Relaxed);
        world.say("the store turns side-1 and side-3 away");
    }
    world.sleep_until(27_500);
    if stage.trouble {
        stage.start_endpoint(RESTARTED, SERVICE, 4, work);
    }
    for number in 4..7 {
        world.sleep_until(31_600 + 1_000 * u64::from(number - 4));
        if stage.trouble {
            stage.add_entry(number);
        }
    }
    world.sleep_until(35_000);
    if turned_away.swap(false, Ordering::Relaxed) {
        world.say("the store serves side-1 and side-3 again");
    }
    world.sleep_until(42_000);
    true
}
