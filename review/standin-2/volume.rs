//! The agents of a service are restarted in turn, as planned. Flows that carry much data stay open.
//! An entry is added.

use std::net::SocketAddrV4;
use std::thread;
use std::time::Duration;

use crate::Route;
use crate::Stage;
use crate::client;
use crate::client::Habit;

const SERVICE: &str = "documents";

pub fn play(stage: &Stage) -> bool {
    let world = &stage.world;
    let net = stage.fleet.net;
    let routes = [Route {
        host: net.ip(198, 1),
        port: 8_443,
        kind: "download",
        service: SERVICE.to_owned(),
    }];
    stage.configure(3, &routes, &[SERVICE]);
    for number in 1..4 {
        stage.add_entry(number);
    }
    for number in 1..4 {
        stage.add_agent(
            &format!("side-{number}"),
            number,
            SERVICE,
            stage.store.address,
        );
    }
    thread::sleep(Duration::from_millis(500));
    for number in 1..4 {
        stage.start_endpoint(
            &format!("side-{number}"),
            SERVICE,
            7,
            Duration::from_millis(5),
        );
    }
    if !stage.wait_until_ready(3, 3) {
        return false;
    }
    // A reset counts only if nothing was done, within the stable window, to the entry that took the
    // packet, to the flow's endpoint and to its machine.
    let judge = stage.judge_in_touch();
    let habit = Habit {
        route: (net.ip(198, 1), 8_443),
        len: 80_000,
        pause: Duration::ZERO,
        deadline: Duration::from_millis(8_000),
        life: (Duration::from_secs(50), Duration::from_secs(55)),
    };
    for number in 0..6 {
        let address = SocketAddrV4::new(net.ip(64, 10 + number), net.datagram);
        client::start(
            world,
            &stage.router,
            address,
            vec![habit.clone(); 2],
            judge.clone(),
        );
    }
    world.sleep_until(6_000);
    if stage.trouble {
        for number in 1..4 {
            stage.machine(&format!("side-{number}")).restart();
        }
    }
    for step in 0..7 {
        world.sleep_until(20_000 + step * 4_000);
        if stage.trouble && step < 3 {
            stage.add_entry(4 + step as u8);
        }
    }
    true
}
