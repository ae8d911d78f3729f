//! Several agents together enforce the allowances of one plan.
//!
//! An allowance limits a customer's requests and connections over all agents, the processes
//! that admit requests. Agents borrow parts of it, called shares, for a limited time.

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

/// Request rate of the tested plan in requests per second, and its burst in requests.
const RATE: u32 = 30;

/// Time for which callers send requests.
const REQUEST_TIME: Duration = Duration::from_secs(5);

/// Number of callers; each has its own connection.
const CALLERS: usize = 6;

const PLANS: &str = "list plans\ngeneration 1\nchange 0000000000000001\n\
    customer demo plan=shop \
    token=7c43ef5ae21d43ce2743f770c68e24def1a43ee2f416d2438410c8af7af2ff2c\n";

/// Request rate that the callers don't reach, in requests per second.
const UNLIMITED: u32 = 1_000_000;

/// Writes both lists, with the request rate and connection limit of their only plan, to
/// a temporary directory and returns its path.
fn write_lists(rate: u32, connections: u32) -> PathBuf {
    let pid = std::process::id();
    let name = format!("marigoldway-lists-{pid}-{rate}-{connections}");
    let dir = std::env::temp_dir().join(name);
    fs::create_dir_all(&dir).unwrap();
    fs::write(dir.join("plans.txt"), PLANS).unwrap();
    fs::write(dir.join("allowances.txt"), allowances(rate, connections)).unwrap();
    dir
}

/// Returns the text of the list of allowances. The burst equals the rate.
fn allowances(rate: u32, connections: u32) -> String {
    format!(
        "list allowances\ngeneration 1\nchange 0000000000000001\n\
         service ordering id=1\n\
         plan shop services=ordering connections={connections} rate={rate} burst={rate} bulk=2\n\
         route ordering POST /order class=short repeatable=no\n\
         route ordering GET /feed class=feed repeatable=yes\n"
    )
}

/// Starts a deployment with these lists and waits until they are in force at every agent.
fn start(lists: PathBuf) -> Deployment {
    let deployment = Deployment::start(&Plan {
        lists: Some(lists),
        ..Plan::small()
    });
    wait_allowances(&deployment, "1-");
    deployment
}

/// Waits until the allowances in force at every agent have a revision that starts with
/// `generation`.
fn wait_allowances(deployment: &Deployment, generation: &str) {
    for target in &deployment.targets {
        wait_for("allowances in force", || {
            let status = status(target.plan.operator);
            status.is_some_and(|it| {
                let revision = it["facts"]["allowances"].as_str().unwrap_or_default();
                revision.starts_with(generation)
            })
        });
    }
}

/// IDs of the orders that were completed and of those that agents refused.
#[derive(Default)]
struct OrderIds {
    done: Vec<String>,
    refused: Vec<String>,
}

/// Posts orders until `end` and returns their IDs by outcome.
///
/// Panics on an unknown outcome or on another refusal than that of a limit.
async fn post_orders(client: &Client, caller: usize, end: Instant) -> OrderIds {
    let mut orders = OrderIds::default();
    let mut number = 0;
    while Instant::now() < end {
        let id = format!("order-{caller}-{number}");
        number += 1;
        let answer = client
            .request(Request::post("/order", id.clone()))
            .await
            .unwrap();
        match (answer.outcome, answer.reason) {
            (Outcome::Done, _) => orders.done.push(id),
            // For some seconds after the start no shares are granted, and agents
            // accept hardly any connections.
            (
                Outcome::NotRun,
                Some(Reason::Refused(Refusal::RequestRate | Refusal::CustomerConnections)),
            ) => {
                assert_eq!(answer.status.map(|it| it.as_u16()), Some(429));
                assert!(answer.retry_after.is_some());
                orders.refused.push(id);
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            other => panic!("{other:?}"),
        }
    }
    orders
}

/// Runs all callers and returns the order IDs by outcome, and the time that the callers took.
async fn run_callers(deployment: &Deployment) -> (OrderIds, Duration) {
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
            tokio::spawn(async move { post_orders(&client, caller, start + REQUEST_TIME).await })
        })
        .collect();
    let mut orders = OrderIds::default();
    for task in tasks {
        let ids = task.await.unwrap();
        orders.done.extend(ids.done);
        orders.refused.extend(ids.refused);
    }
    (orders, start.elapsed())
}

/// Returns the number of runs of an order over all targets.
fn run_count(targets: &[SocketAddrV4], id: &str) -> u64 {
    let runs = targets.iter().map(|target| {
        let (_, body) = http(*target, "GET", &format!("/runs?id={id}"), "");
        let digits: String = body.chars().filter(char::is_ascii_digit).collect();
        digits.parse::<u64>().unwrap()
    });
    runs.sum()
}

/// Returns the maximum number of requests that the allowance admits in `time`. Each
/// agent's bucket holds at least one request.
fn max_admitted(deployment: &Deployment, time: Duration) -> f64 {
    let rate = f64::from(RATE);
    rate + rate * time.as_secs_f64() + deployment.targets.len() as f64
}

#[tokio::test]
async fn orders_stay_within_the_rate_over_all_agents() {
    let unlimited = start(write_lists(UNLIMITED, 100));
    let (orders, time) = run_callers(&unlimited).await;
    assert!(orders.done.len() as f64 > max_admitted(&unlimited, time));
    println!("without a limit: {} done in {time:?}", orders.done.len());
    drop(unlimited);

    let deployment = start(write_lists(RATE, 100));
    let (orders, time) = run_callers(&deployment).await;
    let maximum = max_admitted(&deployment, time);
    println!(
        "with the limit: {} done, {} refused in {time:?}, maximum {maximum:.0}",
        orders.done.len(),
        orders.refused.len()
    );
    assert!(orders.done.len() as f64 <= maximum);
    assert!(!orders.refused.is_empty());

    // Refused orders did not run; completed orders ran once.
    let targets = deployment.targets.iter().map(|it| it.plan.target);
    let targets: Vec<SocketAddrV4> = targets.collect();
    for id in orders.refused.iter().take(50) {
        assert_eq!(run_count(&targets, id), 0, "{id}");
    }
    for id in orders.done.iter().take(50) {
        assert_eq!(run_count(&targets, id), 1, "{id}");
    }
}

#[tokio::test]
async fn lowered_connection_limit_keeps_open_feed() {
    let deployment = start(write_lists(RATE, 60));
    let client = Client::connect(deployment.client("ordering"))
        .await
        .unwrap();
    let mut feed = client.feed("/feed").await.unwrap();
    let mut last = feed.next().await.unwrap().id.unwrap();

    // The lowered limit leaves no agent room for a new connection.
    let platform = deployment.platform_addr.to_string();
    let file = deployment.dir.join("lower.txt");
    let run_lists = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_marigoldway"))
            .args(["lists", args[0], "--platform", &platform])
            .args(&args[1..])
            .output()
            .unwrap();
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).unwrap()
    };
    let allowances = run_lists(&["get", "allowances"]);
    fs::write(&file, allowances.replace("connections=60", "connections=1")).unwrap();
    run_lists(&["put", "allowances", &file.to_string_lossy()]);
    wait_allowances(&deployment, "2-");

    // An agent may hold a share of the former allowance until the share expires.
    let start = Instant::now();
    loop {
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "timed out waiting for a refusal"
        );
        let new_client = Client::connect(deployment.client("ordering")).await;
        let new_client = new_client.unwrap();
        let request = Request::post("/order", "order-late");
        let answer = new_client.request(request).await.unwrap();
        let reason = Some(Reason::Refused(Refusal::CustomerConnections));
        if (answer.outcome, answer.reason) == (Outcome::NotRun, reason) {
            break;
        }
        new_client.close().await;
    }
    for _ in 0..40 {
        let id = feed.next().await.unwrap().id.unwrap();
        assert_eq!(id, last + 1);
        last = id;
    }
}
