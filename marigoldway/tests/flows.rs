//! Feeds stay open during planned changes and failures of real processes.
//!
//! A feed is a response that sends numbered events until the client closes it. Entries are
//! load balancer processes; an agent stands beside each target and admits its requests. The
//! tests check for each feed that the client receives every event exactly once and in order.

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

/// Number of feeds that a test keeps open.
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
    // The flows stay at their agents, since entries hold no flow state.
    assert_eq!(stats.moves, 0, "{stats:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_replacement_of_half_the_entries_and_targets() {
    let plan = four_targets();
    let mut deployment = Deployment::start(&plan);
    let feeds = Feeds::open(&deployment.client("ordering"), FEEDS).await;

    // An entry and two targets leave at the same time.
    for index in [0, 1] {
        deployment.add_target(&plan.services[0], index);
    }
    let domain = deployment.entries[0].plan.domain;
    let replacement = deployment.entry_plan(&plan, domain);
    deployment.add_entry(replacement);
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
    assert!(
        stats.moves > 0,
        "no feed was at the stopped targets: {stats:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_death_of_an_entry() {
    let mut deployment = Deployment::start(&Plan::small());
    let feeds = Feeds::open(&deployment.client("ordering"), FEEDS).await;

    // The fabric continues to forward packets to the dead entry for 2 s.
    deployment.entries[0].node.kill();
    sleep(Duration::from_secs(2));
    deployment.update_fabric();
    let survivor = deployment.entries[1].plan.operator;
    wait_for("the survivor to remove the dead entry", || {
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
    let own_feeds = flows(0).unwrap();
    assert!(own_feeds > 0, "no feed is at agent 0");

    deployment.targets[0].agent.kill();
    let survivor = deployment.entries[0].plan.operator;
    wait_for("the survivor to mark the dead agent as down", || {
        fact(survivor, "down") == Some(1)
    });
    let others = [1, 2].map(|index| deployment.targets[index].plan.operator);
    wait_for("the clients to reconnect to other agents", || {
        let flows: u64 = others.iter().filter_map(|it| fact(*it, "flows")).sum();
        flows == FEEDS as u64
    });

    let stats = feeds.close().await;
    assert_eq!(stats.breaks, own_feeds, "{stats:?}");
    assert_eq!(stats.gaps, 0, "{stats:?}");
    // Entries reset the dead agent's flows, so that no client waits for its timeout.
    let entries = deployment.entries.iter().map(|it| it.plan.operator);
    let resets: u64 = entries.map(|it| counter(it, "packet.reset")).sum();
    assert!(resets >= own_feeds, "{resets} resets for {own_feeds} feeds");
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
        wait_for("the resumed processes to serve again", || {
            fact(entry.plan.operator, "serving") == Some(all)
        });
    }

    let stats = feeds.close().await;
    assert_eq!(stats.breaks, 0, "{stats:?}");
    assert_eq!(stats.gaps, 0, "{stats:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_an_entry_without_peers() {
    let plan = Plan::small();
    let mut deployment = Deployment::start(&plan);
    let feeds = Feeds::open(&deployment.client("ordering"), FEEDS).await;

    // The new entry's only contact is itself, and no platform listens at its platform address.
    let isolated = deployment.entry_plan(&plan, 0);
    let contacts = std::mem::replace(&mut deployment.contacts, vec![isolated.control]);
    let unused_addr = isolated.operator;
    let platform = std::mem::replace(&mut deployment.platform_addr, unused_addr);
    let index = deployment.add_entry(isolated);
    deployment.contacts = contacts;
    deployment.platform_addr = platform;
    let operator = deployment.entries[index].plan.operator;
    wait_for("the isolated entry to run", || {
        fact(operator, "entries") == Some(1)
    });
    deployment.update_fabric();
    wait_for("the isolated entry to forward packets", || {
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

    // A client that connects during the outage is served as well.
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

/// Replaces every live entry and target; the new processes read the current keys file.
fn replace_all_processes(deployment: &mut Deployment, plan: &Plan) {
    let entries: Vec<usize> = (0..deployment.entries.len())
        .filter(|index| deployment.entries[*index].node.is_live())
        .collect();
    let targets: Vec<usize> = (0..deployment.targets.len())
        .filter(|index| deployment.targets[*index].agent.is_live())
        .collect();
    // In this order, entries with the old keys receive route IDs (connection IDs that name the
    // agent) of agents with the new keys.
    deployment.replace_targets(&plan.services[0], &targets);
    deployment.replace_entries(plan, &entries);
}

#[tokio::test(flavor = "multi_thread")]
async fn feeds_survive_rotation_of_the_route_key() {
    let plan = Plan::small();
    let mut deployment = Deployment::start(&plan);
    let feeds = Feeds::open(&deployment.client("ordering"), FEEDS).await;
    let keys = deployment.dir.join("keys.ini").display().to_string();
    let initial = fs::read_to_string(&keys).unwrap();

    marigoldway(&["keys", "stage", &keys]);
    replace_all_processes(&mut deployment, &plan);
    marigoldway(&["keys", "rotate", &keys]);
    replace_all_processes(&mut deployment, &plan);

    let cipher = |text: &str| {
        let line = text.lines().find(|it| it.starts_with("route-cipher"));
        line.unwrap().to_owned()
    };
    assert_ne!(
        cipher(&initial),
        cipher(&fs::read_to_string(&keys).unwrap())
    );
    let stats = feeds.close().await;
    assert_eq!(stats.breaks, 0, "{stats:?}");
    assert_eq!(stats.gaps, 0, "{stats:?}");
}

/// Connects until a flow is at the agent with the given data port, and returns the client of
/// that flow.
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
async fn leaving_target_gets_no_new_requests_and_completes_running_ones() {
    let mut deployment = Deployment::start(&Plan::small());
    let operator = deployment.targets[0].plan.operator;
    let target = deployment.targets[0].plan.target;
    let port = deployment.targets[0].plan.data;

    // An upload in progress keeps the agent draining.
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
