//! An endpoint ends as planned and its address goes to another service: the settings of its machine
//! change, the agent there gets SIGHUP, and an endpoint of the other service starts beside it.
//! Entries are added, by which the routers move flows to other entries.

use std::net::SocketAddrV4;
use std::thread;
use std::time::Duration;

use crate::Route;
use crate::Stage;
use crate::client;
use crate::client::Habit;
use crate::fleet::SIGHUP;

const OLD: &str = "orders";
const NEW: &str = "documents";

/// The machine whose address goes to another service.
const REUSED: &str = "side-2";

pub fn play(stage: &Stage) -> bool {
    let world = &stage.world;
    let net = stage.fleet.net;
    let route = |number: u8, service: &str| Route {
        host: net.ip(198, number),
        port: 8_443,
        kind: "safe",
        service: service.to_owned(),
    };
    stage.configure(3, &[route(1, OLD), route(2, NEW)], &[OLD, NEW]);
    for number in 1..4 {
        stage.add_entry(number);
    }
    let service = |number: u8| if number < 8 { OLD } else { NEW };
    let work = Duration::from_millis(10);
    for number in 1..11 {
        stage.add_agent(
            &format!("side-{number}"),
            number,
            service(number),
            stage.store.address,
        );
    }
    thread::sleep(Duration::from_millis(500));
    for number in 1..11 {
        stage.start_endpoint(&format!("side-{number}"), service(number), 4, work);
    }
    if !stage.wait_until_ready(3, 10) {
        return false;
    }
    // A reset counts only if nothing was done, within the stable window, to the entry that took the
    // packet and to the machine of the flow's endpoint.
    let judge = stage.judge_in_touch();
    let habit = |number: u8| Habit {
        route: (net.ip(198, number), 8_443),
        len: 2_000,
        pause: Duration::from_millis(250),
        deadline: Duration::from_millis(2_500),
        life: (Duration::from_secs(5), Duration::from_secs(14)),
    };
    for number in 0..14 {
        let address = SocketAddrV4::new(net.ip(64, 10 + number), net.datagram);
        let mut habits = vec![habit(2); 6];
        habits.push(habit(1));
        client::start(world, &stage.router, address, habits, judge.clone());
    }
    world.sleep_until(8_000);
    if stage.trouble {
        let endpoint = stage.endpoints.lock().unwrap()[REUSED].clone();
        endpoint.shut_down(Duration::from_millis(3_500));
    }
    world.sleep_until(12_500);
    if stage.trouble {
        stage.change_service(REUSED, OLD, NEW);
        stage.machine(REUSED).signal(SIGHUP);
        world.say(&format!(
            "the settings of {REUSED} name {NEW} now, and it gets SIGHUP"
        ));
    }
    world.sleep_until(14_000);
    if stage.trouble {
        stage.start_endpoint(REUSED, NEW, 4, work);
    }
    for number in 4..7 {
        world.sleep_until(20_000 + 5_000 * u64::from(number - 4));
        if stage.trouble {
            stage.add_entry(number);
        }
    }
    world.sleep_until(35_000);
    true
}
