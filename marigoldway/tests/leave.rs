//! The first SIGTERM makes a process leave gracefully: it completes the work that it has. A
//! second SIGTERM or the drain limit ends it at once.

mod common;

use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::task::spawn_blocking;

use marigoldway_client::answer::Answer;
use marigoldway_client::client::Client;
use marigoldway_client::errors::Result;
use marigoldway_client::request::Request;
use marigoldway_core::request::Outcome;

use crate::common::Deployment;
use crate::common::Node;
use crate::common::Plan;
use crate::common::http;
use crate::common::ready;
use crate::common::wait_for;

/// Length of an upload that takes many packets, in octets.
const UPLOAD_LEN: usize = 200_000;

/// Starts a deployment with one target.
fn start_single_target() -> Deployment {
    let mut plan = Plan::small();
    plan.services[0].targets = 1;
    Deployment::start(&plan)
}

/// Waits until the log of a process contains `event`.
fn wait_for_event(node: &Node, event: &str) {
    wait_for(event, || node.log().contains(event));
}

/// Starts an upload that takes `millis` milliseconds at the target, and waits until
/// it runs.
async fn start_upload(deployment: &Deployment, millis: u64) -> JoinHandle<Result<Answer>> {
    let client = Client::connect(deployment.client("ordering"))
        .await
        .unwrap();
    let request = Request {
        deadline: Some(Duration::from_secs(120)),
        ..Request::post(format!("/upload?ms={millis}"), vec![b'x'; UPLOAD_LEN])
    };
    let upload = tokio::spawn(async move { client.request(request).await });
    let target = deployment.targets[0].plan.target;
    spawn_blocking(move || {
        wait_for("the upload to start", || {
            http(target, "GET", "/counts", "")
                .1
                .contains("\"started\":1")
        });
    })
    .await
    .unwrap();
    upload
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_leaves_after_the_upload() {
    let mut deployment = start_single_target();
    let upload = start_upload(&deployment, 3_000).await;
    let agent = &deployment.targets[0].agent;
    agent.terminate();
    wait_for_event(agent, "event=leave cause=signal");

    let answer = upload.await.unwrap().unwrap();
    assert_eq!(answer.outcome, Outcome::Done, "{answer:?}");
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(body.starts_with(&format!("length={UPLOAD_LEN} ")), "{body}");
    let agent = &mut deployment.targets[0].agent;
    assert!(agent.wait().success());
    assert!(
        agent.log().contains("event=drained cut-flows=0"),
        "{}",
        agent.log()
    );
    assert!(!agent.log().contains("event=end "), "{}", agent.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_second_signal_aborts_the_upload() {
    let mut deployment = start_single_target();
    let upload = start_upload(&deployment, 100_000).await;
    let agent = &mut deployment.targets[0].agent;
    agent.terminate();
    wait_for_event(agent, "event=leave cause=signal");
    agent.terminate();
    assert!(agent.wait().success());
    assert!(
        agent.log().contains("event=end cause=signal"),
        "{}",
        agent.log()
    );
    assert!(
        agent.log().contains("event=drained cut-flows=1"),
        "{}",
        agent.log()
    );

    // The agent would complete this upload if it left gracefully. The second signal aborts it.
    let answer = upload.await.unwrap();
    assert!(
        !answer.as_ref().is_ok_and(|it| it.outcome == Outcome::Done),
        "{answer:?}"
    );
}

#[test]
fn entry_second_signal_ends_leaving_period() {
    let mut deployment = start_single_target();
    let entry = &mut deployment.entries[0].node;
    entry.terminate();
    wait_for_event(entry, "event=leave cause=signal");
    entry.terminate();
    assert!(entry.wait().success());
    assert!(
        entry.log().contains("event=end cause=signal"),
        "{}",
        entry.log()
    );
}

#[test]
fn entry_drain_limit_ends_leaving_period() {
    let plan = Plan::small();
    let mut deployment = start_single_target();
    let entry = deployment.entry_plan(&plan, 0);
    let text = entry.render(&[entry.control], deployment.platform_addr);
    let text = text.replace("log-level", "drain-limit = 100ms\nlog-level");
    let mut node = Node::start_role(&deployment.dir, "short", "entry", &text);
    wait_for("a ready entry", || ready(entry.operator));
    node.terminate();
    assert!(node.wait().success());
    assert!(
        node.log().contains("event=end cause=drain-limit"),
        "{}",
        node.log()
    );
}
