//! What callers are told when targets shed, stall, close or break, and when keys
//! come twice, go astray or outlive their agent.

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

fn deployment(targets: usize) -> Deployment {
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

async fn client(deployment: &Deployment) -> Client {
    Client::connect(deployment.client("ordering"))
        .await
        .unwrap()
}

async fn key(client: &Client) -> Key {
    client.keys(1).await.unwrap().remove(0)
}

async fn transfer(client: &Client, id: &str, key: &Key, limit: Duration) -> Answer {
    let request = Request {
        key: Some(key.clone()),
        deadline: Some(limit),
        ..Request::post("/transfer", id.to_owned())
    };
    client.request(request).await.unwrap()
}

async fn price(client: &Client) -> Answer {
    client.request(Request::get("/price")).await.unwrap()
}

fn fault(deployment: &Deployment, target: usize, kind: &str) {
    let addr = deployment.targets[target].plan.target;
    let (status, body) = http(addr, "POST", &format!("/fault?kind={kind}"), "");
    assert_eq!(status, 200, "{body}");
}

fn runs_of(deployment: &Deployment, id: &str) -> usize {
    run_counts(deployment).get(id).copied().unwrap_or(0)
}

/// Reads at a time over one flow, many more than one target has slots.
const READS: usize = 40;

/// Time limit that no answer reaches.
const LONG: Duration = Duration::from_secs(30);

#[tokio::test(flavor = "multi_thread")]
async fn transfer_shed_by_target_did_not_run() {
    let deployment = deployment(1);
    let client = client(&deployment).await;
    let key = key(&client).await;
    fault(&deployment, 0, "shed");
    let answer = transfer(&client, "a", &key, Duration::from_secs(1)).await;
    assert_eq!(answer.outcome, Outcome::NotRun, "{answer}");
    assert_eq!(answer.reason, Some(Reason::Refused(Refusal::TargetRefused)));
    assert!(answer.retry_after.is_some());

    // The refusal is kept: the key does not run once the target is well again.
    fault(&deployment, 0, "none");
    let again = transfer(&client, "a", &key, Duration::from_secs(1)).await;
    assert_eq!(again.outcome, Outcome::NotRun, "{again}");
    assert_eq!(runs_of(&deployment, "a"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn transfer_target_closes_is_unknown_and_ran_once() {
    let deployment = deployment(1);
    let client = client(&deployment).await;
    let key = key(&client).await;
    fault(&deployment, 0, "close");
    for _ in 0..2 {
        let answer = transfer(&client, "a", &key, LONG).await;
        assert_eq!(answer.outcome, Outcome::Unknown, "{answer}");
    }
    fault(&deployment, 0, "none");
    let answer = transfer(&client, "a", &key, LONG).await;
    assert_eq!(answer.outcome, Outcome::Unknown, "{answer}");
    assert_eq!(runs_of(&deployment, "a"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn transfer_answered_late_is_found_by_its_key() {
    let deployment = deployment(1);
    let client = client(&deployment).await;
    let key = key(&client).await;
    fault(&deployment, 0, "slow&ms=1500");
    let answer = transfer(&client, "a", &key, Duration::from_millis(300)).await;
    assert_eq!(answer.outcome, Outcome::Unknown, "{answer}");
    let answer = transfer(&client, "a", &key, LONG).await;
    assert_eq!(answer.outcome, Outcome::Done, "{answer}");
    assert_eq!(&answer.body[..], b"id=a runs=1\n");

    // The first answer is given again, and another body is refused.
    let again = transfer(&client, "a", &key, LONG).await;
    assert_eq!((again.outcome, again.body), (answer.outcome, answer.body));
    let other = transfer(&client, "b", &key, LONG).await;
    assert_eq!(other.reason, Some(Reason::Refused(Refusal::KeyReused)));
    assert_eq!(other.status, Some(StatusCode::CONFLICT));
    assert_eq!(runs_of(&deployment, "a"), 1);
    assert_eq!(runs_of(&deployment, "b"), 0);
}

/// Connects until a client ends at another agent than `not`.
async fn client_elsewhere(
    deployment: &Deployment,
    not: Option<InstanceId>,
) -> (Client, InstanceId) {
    loop {
        let client = client(deployment).await;
        let at = price(&client).await.target.unwrap();
        if Some(at) != not {
            return (client, at);
        }
    }
}

fn index(deployment: &Deployment, id: InstanceId) -> usize {
    let same = |it: &common::Target| InstanceId::new(it.plan.ip, it.plan.data) == id;
    deployment.targets.iter().position(same).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn transfer_misdirected_key_runs_at_its_agent() {
    let deployment = deployment(3);
    let (first, at) = client_elsewhere(&deployment, None).await;
    let key = key(&first).await;
    let (second, elsewhere) = client_elsewhere(&deployment, Some(at)).await;

    let answer = transfer(&second, "a", &key, LONG).await;
    assert_eq!(answer.outcome, Outcome::Done, "{answer}");
    let answer = transfer(&first, "a", &key, LONG).await;
    assert_eq!(&answer.body[..], b"id=a runs=1\n");
    assert_eq!(runs_of(&deployment, "a"), 1);
    let operator = deployment.targets[index(&deployment, elsewhere)]
        .plan
        .operator;
    assert!(block_in_place(|| counter(operator, "retry.relay-key")) >= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn transfer_key_of_a_gone_agent_is_unknown() {
    let mut deployment = deployment(2);
    let (first, at) = client_elsewhere(&deployment, None).await;
    let key = key(&first).await;
    let (second, _) = client_elsewhere(&deployment, Some(at)).await;
    let gone = index(&deployment, at);
    block_in_place(|| deployment.restart_agent(gone));

    let answer = transfer(&second, "a", &key, Duration::from_secs(5)).await;
    assert_eq!(answer.outcome, Outcome::Unknown, "{answer}");
    assert_eq!(runs_of(&deployment, "a"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn read_goes_to_a_peer_when_the_target_closes() {
    let deployment = deployment(2);
    let (client, at) = client_elsewhere(&deployment, None).await;
    let here = index(&deployment, at);
    fault(&deployment, here, "close");
    let answer = price(&client).await;
    assert_eq!(answer.outcome, Outcome::Done, "{answer}");
    let operator = deployment.targets[here].plan.operator;
    assert!(block_in_place(|| counter(operator, "retry.answer-broken")) >= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_of_a_saturated_target_go_to_peers() {
    let deployment = deployment(3);
    let (client, at) = client_elsewhere(&deployment, None).await;
    let reads: Vec<_> = (0..READS)
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
    assert!(done > READS / 4, "{done}");

    let here = index(&deployment, at);
    let operator = deployment.targets[here].plan.operator;
    assert!(block_in_place(|| counter(operator, "retry.relay-saturated")) >= 2);
    let elsewhere = (0..3).filter(|target| *target != here);
    for target in elsewhere {
        let addr = deployment.targets[target].plan.target;
        let counts = block_in_place(|| http(addr, "GET", "/counts", "").1);
        assert!(!counts.contains("\"started\":0"), "{counts}");
    }
}

/// A number that a target tells of itself.
fn count(deployment: &Deployment, name: &str) -> u64 {
    let addr = deployment.targets[0].plan.target;
    let (_, body) = block_in_place(|| http(addr, "GET", "/counts", ""));
    let counts: serde_json::Value = serde_json::from_str(&body).unwrap();
    counts[name].as_u64().unwrap()
}

/// Starts a request and goes away once it runs.
async fn start_and_leave(deployment: &Deployment, request: Request) {
    let before = count(deployment, "started");
    let client = client(deployment).await;
    let caller = client.clone();
    let task = tokio::spawn(async move { caller.request(request).await });
    wait_for("a request that runs", || {
        count(deployment, "started") > before
    });
    task.abort();
    client.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_leaves_frees_the_slot_if_the_target_stops() {
    let deployment = deployment(1);
    let upload = Request::post("/upload?ms=600000", "x");
    start_and_leave(&deployment, upload).await;
    wait_for("an upload that stops", || {
        count(&deployment, "stopped") == 1
    });

    // An order can't be stopped: it holds its slot to the end, and runs once.
    let order = Request::post("/order?ms=1000", "a");
    start_and_leave(&deployment, order).await;
    assert_eq!(count(&deployment, "finished"), 0);
    wait_for("an order that ends", || count(&deployment, "finished") == 1);
    assert_eq!(count(&deployment, "stopped"), 1);
    assert_eq!(runs_of(&deployment, "a"), 1);
}

/// A target that sends a head and a part of the body that it promised.
fn half_target(promised: usize, sent: usize) -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request);
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {promised}\r\n\r\n");
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
async fn half_an_answer_is_never_passed_off_as_whole() {
    let mut deployment = deployment(1);
    for (promised, sent) in [(1_000, 100), (3_000_000, 2_000_000)] {
        deployment.targets[0].plan.target = half_target(promised, sent);
        block_in_place(|| deployment.restart_agent(0));
        let client = block_in_place(|| {
            let mut client = None;
            wait_for("a client of the new agent", || {
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
