//! Tests which outcomes callers receive when targets shed requests, stall, close
//! connections or send incomplete answers, and when idempotency keys are reused, sent to
//! another agent or used after their agent has restarted.
//!
//! An agent is the process beside a target. It admits requests and issues idempotency keys.

mod common;

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use http::StatusCode;
use tokio::task::block_in_place;

use marigoldway_client::answer::Answer;
use marigoldway_client::answer::Reason;
use marigoldway_client::client::Client;
use marigoldway_client::request::Key;
use marigoldway_client::request::Request;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::request::Outcome;
use marigoldway_core::request::Refusal;

use crate::common::Deployment;
use crate::common::Plan;
use crate::common::counter;
use crate::common::fact;
use crate::common::http;
use crate::common::transfers::run_counts;
use crate::common::wait_for;

/// Starts a deployment and waits until each agent knows every process.
fn start_deployment(targets: usize) -> Deployment {
    let mut plan = Plan::small();
    plan.services[0].targets = targets;
    let deployment = Deployment::start(&plan);
    let all = (plan.entries + targets) as u64;
    for target in &deployment.targets {
        let operator = target.plan.operator;
        wait_for("an agent that knows every process", || {
            fact(operator, "serving").is_some_and(|serving| serving >= all)
        });
    }
    deployment
}

async fn connect(deployment: &Deployment) -> Client {
    Client::connect(deployment.client("ordering"))
        .await
        .unwrap()
}

async fn key(client: &Client) -> Key {
    client.keys(1).await.unwrap().remove(0)
}

async fn transfer(client: &Client, id: &str, key: &Key, deadline: Duration) -> Answer {
    let request = Request {
        key: Some(key.clone()),
        deadline: Some(deadline),
        ..Request::post("/transfer", id.to_owned())
    };
    client.request(request).await.unwrap()
}

async fn price(client: &Client) -> Answer {
    client.request(Request::get("/price")).await.unwrap()
}

/// Sets the fault of a target; the kind `none` ends it.
fn set_fault(deployment: &Deployment, target: usize, kind: &str) {
    let addr = deployment.targets[target].plan.target;
    let (status, body) = http(addr, "POST", &format!("/fault?kind={kind}"), "");
    assert_eq!(status, 200, "{body}");
}

/// Returns the number of runs of a transfer or order over all targets.
fn run_count(deployment: &Deployment, id: &str) -> usize {
    run_counts(deployment).get(id).copied().unwrap_or(0)
}

/// Number of concurrent reads over one flow, many more than one target has slots.
const READ_COUNT: usize = 40;

/// Deadline later than every answer in these tests.
const LONG_DEADLINE: Duration = Duration::from_secs(30);

#[tokio::test(flavor = "multi_thread")]
async fn transfer_shed_by_target_did_not_run() {
    let deployment = start_deployment(1);
    let client = connect(&deployment).await;
    let key = key(&client).await;
    set_fault(&deployment, 0, "shed");
    let answer = transfer(&client, "a", &key, Duration::from_secs(1)).await;
    assert_eq!(answer.outcome, Outcome::NotRun, "{answer}");
    assert_eq!(answer.reason, Some(Reason::Refused(Refusal::TargetRefused)));
    assert!(answer.retry_after.is_some());

    // The agent keeps the refusal: a request with the same key does not run after the
    // target has recovered.
    set_fault(&deployment, 0, "none");
    let again = transfer(&client, "a", &key, Duration::from_secs(1)).await;
    assert_eq!(again.outcome, Outcome::NotRun, "{again}");
    assert_eq!(run_count(&deployment, "a"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn transfer_with_closed_target_connection_is_unknown_and_runs_once() {
    let deployment = start_deployment(1);
    let client = connect(&deployment).await;
    let key = key(&client).await;
    set_fault(&deployment, 0, "close");
    for _ in 0..2 {
        let answer = transfer(&client, "a", &key, LONG_DEADLINE).await;
        assert_eq!(answer.outcome, Outcome::Unknown, "{answer}");
    }
    set_fault(&deployment, 0, "none");
    let answer = transfer(&client, "a", &key, LONG_DEADLINE).await;
    assert_eq!(answer.outcome, Outcome::Unknown, "{answer}");
    assert_eq!(run_count(&deployment, "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn transfer_answered_late_is_found_by_its_key() {
    let deployment = start_deployment(1);
    let client = connect(&deployment).await;
    let key = key(&client).await;
    set_fault(&deployment, 0, "slow&ms=1500");
    let answer = transfer(&client, "a", &key, Duration::from_millis(300)).await;
    assert_eq!(answer.outcome, Outcome::Unknown, "{answer}");
    let answer = transfer(&client, "a", &key, LONG_DEADLINE).await;
    assert_eq!(answer.outcome, Outcome::Done, "{answer}");
    assert_eq!(&answer.body[..], b"id=a runs=1\n");

    // A repeated request receives the first answer; the same key with another body is
    // refused.
    let again = transfer(&client, "a", &key, LONG_DEADLINE).await;
    assert_eq!((again.outcome, again.body), (answer.outcome, answer.body));
    let other = transfer(&client, "b", &key, LONG_DEADLINE).await;
    assert_eq!(other.reason, Some(Reason::Refused(Refusal::KeyReused)));
    assert_eq!(other.status, Some(StatusCode::CONFLICT));
    assert_eq!(run_count(&deployment, "a"), 1);
    assert_eq!(run_count(&deployment, "b"), 0);
}

/// Connects until the agent of the flow is not `excluded`, and returns the client and the
/// agent's ID.
async fn connect_elsewhere(
    deployment: &Deployment,
    excluded: Option<InstanceId>,
) -> (Client, InstanceId) {
    loop {
        let client = connect(deployment).await;
        let at = price(&client).await.target.unwrap();
        if Some(at) != excluded {
            return (client, at);
        }
    }
}

/// Returns the index of a target in the deployment.
///
/// Panics if no target has this ID.
fn target_index(deployment: &Deployment, id: InstanceId) -> usize {
    let same = |it: &common::Target| InstanceId::new(it.plan.ip, it.plan.data) == id;
    deployment.targets.iter().position(same).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn transfer_with_key_of_another_agent_runs_at_that_agent() {
    let deployment = start_deployment(3);
    let (first, at) = connect_elsewhere(&deployment, None).await;
    let key = key(&first).await;
    let (second, elsewhere) = connect_elsewhere(&deployment, Some(at)).await;

    let answer = transfer(&second, "a", &key, LONG_DEADLINE).await;
    assert_eq!(answer.outcome, Outcome::Done, "{answer}");
    let answer = transfer(&first, "a", &key, LONG_DEADLINE).await;
    assert_eq!(&answer.body[..], b"id=a runs=1\n");
    assert_eq!(run_count(&deployment, "a"), 1);
    let operator = deployment.targets[target_index(&deployment, elsewhere)]
        .plan
        .operator;
    assert!(block_in_place(|| counter(operator, "retry.relay-key")) >= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn transfer_with_key_of_a_restarted_agent_is_unknown() {
    let mut deployment = start_deployment(2);
    let (first, at) = connect_elsewhere(&deployment, None).await;
    let key = key(&first).await;
    let (second, _) = connect_elsewhere(&deployment, Some(at)).await;
    let issuer = target_index(&deployment, at);
    block_in_place(|| deployment.restart_agent(issuer));

    let answer = transfer(&second, "a", &key, Duration::from_secs(5)).await;
    assert_eq!(answer.outcome, Outcome::Unknown, "{answer}");
    assert_eq!(run_count(&deployment, "a"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn read_is_relayed_when_the_target_closes() {
    let deployment = start_deployment(2);
    let (client, at) = connect_elsewhere(&deployment, None).await;
    let here = target_index(&deployment, at);
    set_fault(&deployment, here, "close");
    let answer = price(&client).await;
    assert_eq!(answer.outcome, Outcome::Done, "{answer}");
    let operator = deployment.targets[here].plan.operator;
    assert!(block_in_place(|| counter(operator, "retry.answer-broken")) >= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_of_a_saturated_target_are_relayed() {
    let deployment = start_deployment(3);
    let (client, at) = connect_elsewhere(&deployment, None).await;
    let reads: Vec<_> = (0..READ_COUNT)
        .map(|_| {
            let client = client.clone();
            let request = Request::get("/price?ms=100");
            tokio::spawn(async move { client.request(request).await.unwrap() })
        })
        .collect();
    let mut done = 0;
    for read in reads {
        let answer = read.await.unwrap();
        assert_ne!(answer.outcome, Outcome::Unknown, "{answer}");
        done += usize::from(answer.outcome == Outcome::Done);
    }
    assert!(done > READ_COUNT / 4, "{done}");

    let here = target_index(&deployment, at);
    let operator = deployment.targets[here].plan.operator;
    assert!(block_in_place(|| counter(operator, "retry.relay-saturated")) >= 2);
    let elsewhere = (0..3).filter(|target| *target != here);
    for target in elsewhere {
        let addr = deployment.targets[target].plan.target;
        let counts = block_in_place(|| http(addr, "GET", "/counts", "").1);
        assert!(!counts.contains("\"started\":0"), "{counts}");
    }
}

/// Reads one of the counts that the first target reports.
fn count(deployment: &Deployment, name: &str) -> u64 {
    let addr = deployment.targets[0].plan.target;
    let (_, body) = block_in_place(|| http(addr, "GET", "/counts", ""));
    let counts: serde_json::Value = serde_json::from_str(&body).unwrap();
    counts[name].as_u64().unwrap()
}

/// Sends a request and closes the client while the request runs.
async fn start_and_disconnect(deployment: &Deployment, request: Request) {
    let before = count(deployment, "started");
    let client = connect(deployment).await;
    let caller = client.clone();
    let task = tokio::spawn(async move { caller.request(request).await });
    wait_for("a running request", || {
        count(deployment, "started") > before
    });
    task.abort();
    client.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_frees_the_slot_if_the_target_stops() {
    let deployment = start_deployment(1);
    let upload = Request::post("/upload?ms=600000", "x");
    start_and_disconnect(&deployment, upload).await;
    wait_for("a stopped upload", || count(&deployment, "stopped") == 1);

    // The target can't stop an order: the order occupies its slot until it finishes, and
    // runs once.
    let order = Request::post("/order?ms=1000", "a");
    start_and_disconnect(&deployment, order).await;
    assert_eq!(count(&deployment, "finished"), 0);
    wait_for("a finished order", || count(&deployment, "finished") == 1);
    assert_eq!(count(&deployment, "stopped"), 1);
    assert_eq!(run_count(&deployment, "a"), 1);
}

/// Starts a target that announces a body of `announced` octets and sends `sent` of them,
/// and returns its address.
fn start_incomplete_target(announced: usize, sent: usize) -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request);
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {announced}\r\n\r\n");
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(&vec![b'x'; sent]);
        }
    });
    match addr {
        SocketAddr::V4(addr) => addr,
        SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn incomplete_answer_is_unknown() {
    let mut deployment = start_deployment(1);
    for (announced, sent) in [(1_000, 100), (3_000_000, 2_000_000)] {
        deployment.targets[0].plan.target = start_incomplete_target(announced, sent);
        block_in_place(|| deployment.restart_agent(0));
        let client = block_in_place(|| {
            let mut client = None;
            wait_for("a connection to the restarted agent", || {
                let options = deployment.client("ordering");
                let handle = tokio::runtime::Handle::current();
                client = handle.block_on(Client::connect(options)).ok();
                client.is_some()
            });
            client.unwrap()
        });
        let answer = client.request(Request::post("/order", "a")).await.unwrap();
        assert_eq!(answer.outcome, Outcome::Unknown, "{answer}");
        assert!(answer.body.is_empty(), "{answer}");
    }
}
