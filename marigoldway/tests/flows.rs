//! Open feeds under planned changes and failures, with real processes.
//!
//! Every feed checks that its events come gap-free and once.

mod common;

use std::fs;
use std::thread::sleep;
use std::time::Duration;

use marigoldway_client::client::Client;
use marigoldway_client::request::Request;
use marigoldway_core::request::Outcome;

use crate::common::Deployment;
use crate::common::Plan;
use crate::common::counter;
use crate::common::fact;
use crate::common::feeds::Feeds;
use crate::common::http;
use crate::common::marigoldway;
use crate::common::ready;
use crate::common::wait_for;

/// Feeds that a test holds.
const FEEDS: usize = 30;

fn four_targets() -> Plan {
    let mut plan = Plan::small();
    plan.services[0].targets = 4;
    plan
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_replacement_of_all_entries() {
    let plan = Plan::small();
    let mut deployment = Deployment::start(&plan);
    let feeds = Feeds::open(&deployment.client("ordering"), FEEDS).await;

    deployment.replace_entries(&plan, &[0, 1, 2]);

    let stats = feeds.close().await;
    assert_eq!(stats.breaks, 0, "{stats:?}");
    assert_eq!(stats.gaps, 0, "{stats:?}");
    // The flows stayed where they were: entries hold nothing of them.
    assert_eq!(stats.moves, 0, "{stats:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_replacement_of_half_the_entries_and_targets() {
    let plan = four_targets();
    let mut deployment = Deployment::start(&plan);
    let feeds = Feeds::open(&deployment.client("ordering"), FEEDS).await;

    // Entries and targets leave together.
    for index in [0, 1] {
        deployment.add_target(&plan.services[0], index);
    }
    let domain = deployment.entries[0].plan.domain;
    let fresh = deployment.entry_plan(&plan, domain);
    deployment.add_entry(fresh);
    deployment.wait_ready();
    deployment.entries[0].node.terminate();
    deployment.targets[0].agent.terminate();
    deployment.targets[1].agent.terminate();
    deployment.update_fabric_without(&[0]);
    assert!(deployment.entries[0].node.wait().success());
    assert!(deployment.targets[0].agent.wait().success());
    assert!(deployment.targets[1].agent.wait().success());

    let stats = feeds.close().await;
    assert_eq!(stats.breaks, 0, "{stats:?}");
    assert_eq!(stats.gaps, 0, "{stats:?}");
    assert!(stats.moves > 0, "no feed was on the targets: {stats:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_death_of_an_entry() {
    let mut deployment = Deployment::start(&Plan::small());
    let feeds = Feeds::open(&deployment.client("ordering"), FEEDS).await;

    // The fabric goes on handing packets to the dead entry for a while.
    deployment.entries[0].node.kill();
    sleep(Duration::from_secs(2));
    deployment.update_fabric();
    let survivor = deployment.entries[1].plan.operator;
    wait_for("the dead entry to be noticed", || {
        fact(survivor, "entries") == Some(2)
    });

    let stats = feeds.close().await;
    assert_eq!(stats.breaks, 0, "{stats:?}");
    assert_eq!(stats.gaps, 0, "{stats:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn death_of_an_agent_breaks_only_its_own_feeds() {
    let mut deployment = Deployment::start(&Plan::small());
    let feeds = Feeds::open(&deployment.client("ordering"), FEEDS).await;
    let flows = |index: usize| fact(deployment.targets[index].plan.operator, "flows");
    wait_for("every feed to be counted", || {
        (0..3).filter_map(flows).sum::<u64>() == FEEDS as u64
    });
    let own = flows(0).unwrap();
    assert!(own > 0, "no feed is at the agent");

    deployment.targets[0].agent.kill();
    let survivor = deployment.entries[0].plan.operator;
    wait_for("the dead agent to be noticed", || {
        fact(survivor, "down") == Some(1)
    });
    let others = [1, 2].map(|index| deployment.targets[index].plan.operator);
    wait_for("the callers to come back elsewhere", || {
        let flows: u64 = others.iter().filter_map(|it| fact(*it, "flows")).sum();
        flows == FEEDS as u64
    });

    let stats = feeds.close().await;
    assert_eq!(stats.breaks, own, "{stats:?}");
    assert_eq!(stats.gaps, 0, "{stats:?}");
    // The callers were told: none had to wait for its timeout.
    let entries = deployment.entries.iter().map(|it| it.plan.operator);
    let resets: u64 = entries.map(|it| counter(it, "packet.reset")).sum();
    assert!(resets >= own, "{resets} resets for {own} feeds");
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_frozen_processes() {
    let deployment = Deployment::start(&Plan::small());
    let feeds = Feeds::open(&deployment.client("ordering"), FEEDS).await;

    deployment.entries[0].node.freeze();
    deployment.targets[0].agent.freeze();
    sleep(Duration::from_secs(5));
    deployment.entries[0].node.thaw();
    deployment.targets[0].agent.thaw();
    let all = (deployment.entries.len() + deployment.targets.len()) as u64;
    for entry in &deployment.entries {
        wait_for("the thawed processes to serve again", || {
            fact(entry.plan.operator, "serving") == Some(all)
        });
    }

    let stats = feeds.close().await;
    assert_eq!(stats.breaks, 0, "{stats:?}");
    assert_eq!(stats.gaps, 0, "{stats:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_an_entry_that_knows_nobody() {
    let plan = Plan::small();
    let mut deployment = Deployment::start(&plan);
    let feeds = Feeds::open(&deployment.client("ordering"), FEEDS).await;

    // The new entry has no contact but itself, and no platform to ask.
    let fresh = deployment.entry_plan(&plan, 0);
    let contacts = std::mem::replace(&mut deployment.contacts, vec![fresh.control]);
    let nowhere = fresh.operator;
    let platform = std::mem::replace(&mut deployment.platform_addr, nowhere);
    let index = deployment.add_entry(fresh);
    deployment.contacts = contacts;
    deployment.platform_addr = platform;
    let operator = deployment.entries[index].plan.operator;
    wait_for("the lone entry to run", || {
        fact(operator, "entries") == Some(1)
    });
    deployment.update_fabric();
    wait_for("the lone entry to forward", || {
        counter(operator, "packet.routed") > 100
    });

    let stats = feeds.close().await;
    assert_eq!(stats.breaks, 0, "{stats:?}");
    assert_eq!(stats.gaps, 0, "{stats:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_a_platform_outage_with_replacements() {
    let plan = four_targets();
    let mut deployment = Deployment::start(&plan);
    let feeds = Feeds::open(&deployment.client("ordering"), FEEDS).await;

    deployment.platform.kill();
    deployment.replace_entries(&plan, &[0, 1]);
    deployment.replace_targets(&plan.services[0], &[0, 1]);

    // A caller that is new since the outage is served as well.
    let client = Client::connect(deployment.client("ordering"))
        .await
        .unwrap();
    let answer = client
        .request(Request::post("/order", "during-outage"))
        .await
        .unwrap();
    assert_eq!(answer.outcome, Outcome::Done, "{answer:?}");
    let stats = feeds.close().await;
    assert_eq!(stats.breaks, 0, "{stats:?}");
    assert_eq!(stats.gaps, 0, "{stats:?}");
}

/// Replaces every entry and every target, which read the keys file anew.
fn replace_fleet(deployment: &mut Deployment, plan: &Plan) {
    let entries: Vec<usize> = (0..deployment.entries.len())
        .filter(|index| deployment.entries[*index].node.is_live())
        .collect();
    let targets: Vec<usize> = (0..deployment.targets.len())
        .filter(|index| deployment.targets[*index].agent.is_live())
        .collect();
    // In this order entries that still hold the old keys meet new route IDs.
    deployment.replace_targets(&plan.services[0], &targets);
    deployment.replace_entries(plan, &entries);
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_rotation_of_the_route_key() {
    let plan = Plan::small();
    let mut deployment = Deployment::start(&plan);
    let feeds = Feeds::open(&deployment.client("ordering"), FEEDS).await;
    let keys = deployment.dir.join("keys.ini").display().to_string();
    let first = fs::read_to_string(&keys).unwrap();

    marigoldway(&["keys", "stage", &keys]);
    replace_fleet(&mut deployment, &plan);
    marigoldway(&["keys", "rotate", &keys]);
    replace_fleet(&mut deployment, &plan);

    let cipher = |text: &str| {
        let line = text.lines().find(|it| it.starts_with("route-cipher"));
        line.unwrap().to_owned()
    };
    assert_ne!(cipher(&first), cipher(&fs::read_to_string(&keys).unwrap()));
    let stats = feeds.close().await;
    assert_eq!(stats.breaks, 0, "{stats:?}");
    assert_eq!(stats.gaps, 0, "{stats:?}");
}

/// A client whose flow is at the agent with the given data port.
async fn client_at(deployment: &Deployment, port: u16) -> Client {
    loop {
        let client = Client::connect(deployment.client("ordering"))
            .await
            .unwrap();
        let answer = client
            .request(Request::post("/order", "find"))
            .await
            .unwrap();
        if answer.target.unwrap().0.port() == port {
            return client;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_target_gets_no_new_work_and_ends_what_it_has() {
    let mut deployment = Deployment::start(&Plan::small());
    let operator = deployment.targets[0].plan.operator;
    let target = deployment.targets[0].plan.target;
    let port = deployment.targets[0].plan.data;

    // An upload in progress keeps the agent in its drain.
    let client = client_at(&deployment, port).await;
    let upload = tokio::spawn(async move {
        let request = Request {
            deadline: Some(Duration::from_secs(30)),
            ..Request::post("/upload?ms=6000", "a slip")
        };
        client.request(request).await.unwrap()
    });
    wait_for("the upload to run", || {
        http(target, "GET", "/load", "").1.contains("\"running\":1")
    });
    deployment.targets[0].agent.terminate();
    wait_for("the agent to leave", || !ready(operator));

    let mut served = 0;
    while !upload.is_finished() {
        let client = Client::connect(deployment.client("ordering"))
            .await
            .unwrap();
        let request = Request::post("/order", format!("late-{served}"));
        let answer = client.request(request).await.unwrap();
        assert_eq!(answer.outcome, Outcome::Done, "{answer:?}");
        assert_ne!(answer.target.unwrap().0.port(), port, "{answer:?}");
        served += 1;
    }
    assert!(served > 0);
    let answer = upload.await.unwrap();
    assert_eq!(answer.outcome, Outcome::Done, "{answer:?}");
    assert_eq!(answer.target.unwrap().0.port(), port, "{answer:?}");
    assert!(deployment.targets[0].agent.wait().success());
}
