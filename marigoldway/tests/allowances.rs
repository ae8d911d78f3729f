//! Allowances through real processes, over several agents.

mod common;

use std::fs;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use marigoldway_client::answer::Reason;
use marigoldway_client::client::Client;
use marigoldway_client::request::Request;
use marigoldway_core::request::Outcome;
use marigoldway_core::request::Refusal;

use crate::common::Deployment;
use crate::common::Plan;
use crate::common::WAIT_LIMIT;
use crate::common::http;
use crate::common::status;
use crate::common::wait_for;

/// Requests a second, and at once, of the plan under test.
const RATE: u32 = 30;

/// Time for which callers ask.
const ASKING: Duration = Duration::from_secs(5);

/// Callers, each with a connection.
const CALLERS: usize = 6;

const PLANS: &str = "list plans\ngeneration 1\nchange 0000000000000001\n\
    customer demo plan=shop \
    token=7c43ef5ae21d43ce2743f770c68e24def1a43ee2f416d2438410c8af7af2ff2c\n";

/// A rate that six callers don't use up.
const UNLIMITED: u32 = 1_000_000;

/// Writes both lists, with this rate and so many connections for the one plan.
fn write_lists(rate: u32, connections: u32) -> PathBuf {
    let pid = std::process::id();
    let name = format!("marigoldway-lists-{pid}-{rate}-{connections}");
    let dir = std::env::temp_dir().join(name);
    fs::create_dir_all(&dir).unwrap();
    fs::write(dir.join("plans.txt"), PLANS).unwrap();
    fs::write(dir.join("allowances.txt"), allowances(rate, connections)).unwrap();
    dir
}

fn allowances(rate: u32, connections: u32) -> String {
    format!(
        "list allowances\ngeneration 1\nchange 0000000000000001\n\
         service ordering id=1\n\
         plan shop services=ordering connections={connections} rate={rate} burst={rate} bulk=2\n\
         route ordering POST /order class=short repeatable=no\n\
         route ordering GET /feed class=feed repeatable=yes\n"
    )
}

fn start(lists: PathBuf) -> Deployment {
    let deployment = Deployment::start(&Plan {
        lists: Some(lists),
        ..Plan::small()
    });
    wait_allowances(&deployment, "1-");
    deployment
}

/// Waits until every agent has a revision of the allowances in force.
fn wait_allowances(deployment: &Deployment, generation: &str) {
    for target in &deployment.targets {
        wait_for("allowances in force", || {
            let status = status(target.plan.operator);
            status.is_some_and(|it| {
                let held = it["facts"]["allowances"].as_str().unwrap_or_default();
                held.starts_with(generation)
            })
        });
    }
}

/// What the callers were told of their orders.
#[derive(Default)]
struct Told {
    done: Vec<String>,
    refused: Vec<String>,
}

async fn ask(client: &Client, caller: usize, end: Instant) -> Told {
    let mut told = Told::default();
    let mut number = 0;
    while Instant::now() < end {
        let id = format!("order-{caller}-{number}");
        number += 1;
        let answer = client
            .request(Request::post("/order", id.clone()))
            .await
            .unwrap();
        match (answer.outcome, answer.reason) {
            (Outcome::Done, _) => told.done.push(id),
            // For some seconds after the start nothing is lent, and there are
            // hardly any connections.
            (
                Outcome::NotRun,
                Some(Reason::Refused(Refusal::RequestRate | Refusal::CustomerConnections)),
            ) => {
                assert_eq!(answer.status.map(|it| it.as_u16()), Some(429));
                assert!(answer.retry_after.is_some());
                told.refused.push(id);
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            other => panic!("{other:?}"),
        }
    }
    told
}

async fn ask_all(deployment: &Deployment) -> (Told, Duration) {
    let mut clients = Vec::new();
    for _ in 0..CALLERS {
        let client = Client::connect(deployment.client("ordering")).await;
        clients.push(Arc::new(client.unwrap()));
    }
    let start = Instant::now();
    let tasks: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(caller, client)| {
            tokio::spawn(async move { ask(&client, caller, start + ASKING).await })
        })
        .collect();
    let mut told = Told::default();
    for task in tasks {
        let one = task.await.unwrap();
        told.done.extend(one.done);
        told.refused.extend(one.refused);
    }
    (told, start.elapsed())
}

/// Times that an order ran, at all targets together.
fn runs(targets: &[SocketAddrV4], id: &str) -> u64 {
    let runs = targets.iter().map(|target| {
        let (_, body) = http(*target, "GET", &format!("/runs?id={id}"), "");
        let digits: String = body.chars().filter(char::is_ascii_digit).collect();
        digits.parse::<u64>().unwrap()
    });
    runs.sum()
}

/// The most that the allowance admits in `time`. Each agent's bucket holds one
/// request at least.
fn bound(deployment: &Deployment, time: Duration) -> f64 {
    let rate = f64::from(RATE);
    rate + rate * time.as_secs_f64() + deployment.targets.len() as f64
}

#[tokio::test]
async fn orders_stay_within_the_rate_over_all_agents() {
    let open = start(write_lists(UNLIMITED, 100));
    let (told, time) = ask_all(&open).await;
    assert!(told.done.len() as f64 > bound(&open, time));
    println!("without a limit: {} done in {time:?}", told.done.len());
    drop(open);

    let deployment = start(write_lists(RATE, 100));
    let (told, time) = ask_all(&deployment).await;
    let most = bound(&deployment, time);
    println!(
        "with the limit: {} done, {} refused in {time:?}, at most {most:.0}",
        told.done.len(),
        told.refused.len()
    );
    assert!(told.done.len() as f64 <= most);
    assert!(!told.refused.is_empty());

    // What was refused as not run did not run.
    let targets = deployment.targets.iter().map(|it| it.plan.target);
    let targets: Vec<SocketAddrV4> = targets.collect();
    for id in told.refused.iter().take(50) {
        assert_eq!(runs(&targets, id), 0, "{id}");
    }
    for id in told.done.iter().take(50) {
        assert_eq!(runs(&targets, id), 1, "{id}");
    }
}

#[tokio::test]
async fn lowered_connections_cut_no_feed() {
    let deployment = start(write_lists(RATE, 60));
    let client = Client::connect(deployment.client("ordering"))
        .await
        .unwrap();
    let mut feed = client.feed("/feed").await.unwrap();
    let mut last = feed.next().await.unwrap().id.unwrap();

    // Nothing is left for a new connection at any agent.
    let platform = deployment.platform_addr.to_string();
    let file = deployment.dir.join("lower.txt");
    let run = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_marigoldway"))
            .args(["lists", args[0], "--platform", &platform])
            .args(&args[1..])
            .output()
            .unwrap();
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).unwrap()
    };
    let held = run(&["get", "allowances"]);
    fs::write(&file, held.replace("connections=60", "connections=1")).unwrap();
    run(&["put", "allowances", &file.to_string_lossy()]);
    wait_allowances(&deployment, "2-");

    // An agent may have a share of the former allowance until its term ends.
    let start = Instant::now();
    loop {
        assert!(start.elapsed() < WAIT_LIMIT, "waited in vain for a refusal");
        let other = Client::connect(deployment.client("ordering")).await;
        let other = other.unwrap();
        let request = Request::post("/order", "order-late");
        let answer = other.request(request).await.unwrap();
        let reason = Some(Reason::Refused(Refusal::CustomerConnections));
        if (answer.outcome, answer.reason) == (Outcome::NotRun, reason) {
            break;
        }
        other.close().await;
    }
    for _ in 0..40 {
        let id = feed.next().await.unwrap().id.unwrap();
        assert_eq!(id, last + 1);
        last = id;
    }
}
