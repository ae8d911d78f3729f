//! Routes are added, and moved to another service two seconds later, while an entry is added.
//! Nothing fails.

use std::net::SocketAddrV4;
use std::thread;
use std::time::Duration;

use crate::Route;
use crate::Stage;
use crate::client;
use crate::client::Habit;

const OLD: &str = "orders";
const NEW: &str = "documents";

/// Routes that are added and moved.
const ROUTES: u8 = 40;

pub fn play(stage: &Stage) -> bool {
    let world = &stage.world;
    let net = stage.fleet.net;
    let route = |number: u8, service: &str| Route {
        host: net.ip(198, number),
        port: 8_443,
        kind: "safe",
        service: service.to_owned(),
    };
    let mut routes = vec![route(1, OLD), route(2, NEW)];
    stage.configure(3, &routes, &[OLD, NEW]);
    for number in 1..4 {
        stage.add_entry(number);
    }
    for number in 1..8 {
        let service = if number < 5 { OLD } else { NEW };
        stage.add_agent(
            &format!("side-{number}"),
            number,
            service,
            stage.store.address,
        );
    }
    thread::sleep(Duration::from_millis(500));
    for number in 1..8 {
        let service = if number < 5 { OLD } else { NEW };
        stage.start_endpoint(
            &format!("side-{number}"),
            service,
            4,
            Duration::from_millis(10),
        );
    }
    if !stage.wait_until_ready(3, 7) {
        return false;
    }
    // All of this is planned work, under which a reset always counts.
    let judge = stage.judge(|_, _| true);
    let habit = |number: u8, pause| Habit {
        route: (net.ip(198, number), 8_443),
        len: 2_000,
        pause: Duration::from_millis(pause),
        deadline: Duration::from_millis(2_500),
        life: (Duration::from_secs(30), Duration::from_secs(40)),
    };
    for number in 0..4 {
        let address = SocketAddrV4::new(net.ip(64, 10 + number), net.datagram);
        let habits = vec![habit(1, 150), habit(2, 150), habit(1, 150)];
        client::start(world, &stage.router, address, habits, judge.clone());
    }
    world.sleep_until(12_000);
    for number in 0..ROUTES {
        routes.push(route(10 + number, OLD));
    }
    stage.configure(7, &routes, &[OLD, NEW]);
    world.sleep_until(13_500);
    // A client of each new route opens a flow, and keeps it.
    for number in 0..ROUTES {
        let address = SocketAddrV4::new(net.ip(64, 100 + number), net.datagram);
        client::start(
            world,
            &stage.router,
            address,
            vec![habit(10 + number, 100)],
            judge.clone(),
        );
    }
    world.sleep_until(14_300);
    if stage.trouble {
        for it in routes.iter_mut().skip(2) {
            it.service = NEW.to_owned();
        }
        stage.configure(12, &routes, &[OLD, NEW]);
    }
    world.sleep_until(14_400);
    if stage.trouble {
        stage.add_entry(4);
    }
    world.sleep_until(22_000);
    true
}
