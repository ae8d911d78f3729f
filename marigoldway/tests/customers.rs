//! Agents enforce the limits that the lists set: which customers may send requests, to
//! which routes, at which rate and over how many connections.

mod common;

use std::fs;
use std::path::PathBuf;

use http::StatusCode;
use sha2::Digest;
use sha2::Sha256;

use marigoldway_client::answer::Reason;
use marigoldway_client::client::Client;
use marigoldway_client::options::ClientOptions;
use marigoldway_client::request::Request;
use marigoldway_core::request::Outcome;
use marigoldway_core::request::Refusal;

use crate::common::Deployment;
use crate::common::Plan;
use crate::common::transfers::run_counts;
use crate::common::wait_for;

/// Number of requests that a test sends, far more than the burst of its plan.
const REQUEST_COUNT: usize = 40;

/// Writes lists with one customer, whose plan allows 10 requests per second, 2
/// connections and no bulk requests, and returns their directory.
fn write_lists(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("marigoldway-{name}-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap();
    let digest: String = Sha256::digest("demo-token")
        .iter()
        .map(|octet| format!("{octet:02x}"))
        .collect();
    let plans = format!(
        "list plans\ngeneration 1\nchange 0000000000000001\ncustomer shop plan=small token={digest}\n"
    );
    let allowances = "list allowances\ngeneration 1\nchange 0000000000000001\nservice ordering id=1\n\
        plan small services=ordering connections=2 rate=10 burst=10 bulk=0\n\
        route ordering GET /feed class=feed repeatable=yes\n\
        route ordering GET /price class=short repeatable=yes\n\
        route ordering POST /upload class=bulk repeatable=no\n";
    fs::write(dir.join("plans.txt"), plans).unwrap();
    fs::write(dir.join("allowances.txt"), allowances).unwrap();
    dir
}

/// Starts a deployment with one target and waits until its agent has the lists in force
/// and admits the customer's requests.
async fn start_deployment(name: &str) -> (Deployment, ClientOptions) {
    let mut plan = Plan::small();
    plan.services[0].targets = 1;
    plan.lists = Some(write_lists(name));
    let deployment = Deployment::start(&plan);
    let options = deployment.client("ordering");

    // Requests with an unknown token are refused once the lists are in force.
    let unknown_customer = ClientOptions {
        token: "stranger".to_owned(),
        ..options.clone()
    };
    let client = Client::connect(unknown_customer).await.unwrap();
    let start = std::time::Instant::now();
    loop {
        let answer = client
            .request(Request::post("/transfer", "x"))
            .await
            .unwrap();
        if answer.status == Some(StatusCode::UNAUTHORIZED) {
            break;
        }
        assert!(start.elapsed() < common::WAIT_LIMIT, "{answer}");
    }
    client.close().await;

    // The lender is the entry that grants shares (parts of the customer's allowance) to agents.
    // A new lender grants no new share for the term of one, the time for which it is granted.
    let client = Client::connect(options.clone()).await.unwrap();
    loop {
        let answer = client
            .request(Request::post("/order", "first"))
            .await
            .unwrap();
        if answer.outcome == Outcome::Done {
            break;
        }
        assert!(start.elapsed() < common::WAIT_LIMIT, "{answer}");
    }
    client.close().await;
    (deployment, options)
}

#[tokio::test(flavor = "multi_thread")]
async fn request_beyond_the_rate_is_refused() {
    let (deployment, options) = start_deployment("rate").await;
    let client = Client::connect(options).await.unwrap();
    let mut refused = 0;
    let mut done = 0;
    for number in 0..REQUEST_COUNT {
        let id = format!("order-{number}");
        let answer = client.request(Request::post("/order", id)).await.unwrap();
        match answer.outcome {
            Outcome::Done => done += 1,
            Outcome::NotRun => {
                let reason = Some(Reason::Refused(Refusal::RequestRate));
                assert_eq!(answer.reason, reason, "{answer}");
                assert_eq!(answer.status, Some(StatusCode::TOO_MANY_REQUESTS));
                assert!(answer.retry_after.is_some());
                refused += 1;
            }
            Outcome::Unknown => panic!("{answer}"),
        }
    }
    assert!(refused > 0 && done > 0, "{refused} refused, {done} done");
    let runs = run_counts(&deployment);
    assert_eq!(
        runs.keys().filter(|id| id.starts_with("order-")).count(),
        done
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn request_not_in_plan_is_refused() {
    let (_deployment, options) = start_deployment("plan").await;
    let client = Client::connect(options).await.unwrap();
    let answer = client.request(Request::post("/upload", "x")).await.unwrap();
    assert_eq!(answer.reason, Some(Reason::Refused(Refusal::NotInPlan)));
    assert_eq!(answer.status, Some(StatusCode::FORBIDDEN));
}

#[tokio::test(flavor = "multi_thread")]
async fn flow_beyond_the_connection_limit_is_refused() {
    let (_deployment, options) = start_deployment("connections").await;
    let mut clients = Vec::new();
    let mut refused = 0;
    for number in 0..4 {
        let client = Client::connect(options.clone()).await.unwrap();
        let order = Request::post("/order", format!("order-{number}"));
        let answer = client.request(order).await.unwrap();
        let reason = Some(Reason::Refused(Refusal::CustomerConnections));
        refused += usize::from(answer.reason == reason);
        clients.push(client);
    }
    assert_eq!(refused, 2);

    // A closed flow no longer counts against the connection limit.
    for client in clients.drain(..) {
        client.close().await;
    }
    let runtime = tokio::runtime::Handle::current();
    tokio::task::block_in_place(|| {
        wait_for("a request after the flows have closed", || {
            runtime.block_on(async {
                let client = Client::connect(options.clone()).await.unwrap();
                let answer = client.request(Request::post("/order", "again")).await;
                client.close().await;
                answer.unwrap().outcome == Outcome::Done
            })
        });
    });
}
