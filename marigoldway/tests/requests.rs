//! Tests the outcomes of orders, transfers and uploads, and how often each runs, while
//! real processes are killed, frozen and stopped gracefully.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::task::block_in_place;

use marigoldway_client::answer::Answer;
use marigoldway_client::client::Client;
use marigoldway_client::options::ClientOptions;
use marigoldway_client::request::Request;
use marigoldway_core::request::Outcome;

use crate::common::Deployment;
use crate::common::Plan;
use crate::common::transfers::Callers;
use crate::common::transfers::RetryPolicy;
use crate::common::transfers::count_outcomes;
use crate::common::transfers::run_counts;
use crate::common::transfers::violations;
use crate::common::wait_for;

/// Number of concurrent callers.
const CALLERS: usize = 12;

/// Number of completed transfers between two faults or replacements.
const COMPLETED_STEP: usize = 300;

/// Number of concurrent uploads.
const UPLOADERS: usize = 3;

/// Length of an upload in octets.
const UPLOAD_LEN: usize = 1_200_000;

/// Number of attempts with an unknown outcome during which a process stays frozen.
const UNKNOWN_COUNT: usize = 4;

/// Freezes, kills and restarts processes of each kind while callers send transfers.
fn inject_faults(deployment: &mut Deployment, callers: &Callers) {
    callers.wait_completed(COMPLETED_STEP);
    deployment.targets[0].target.freeze();
    callers.wait_unknown(UNKNOWN_COUNT);
    deployment.targets[0].target.thaw();
    callers.wait_completed(COMPLETED_STEP);

    deployment.targets[1].agent.freeze();
    callers.wait_unknown(UNKNOWN_COUNT);
    deployment.targets[1].agent.thaw();
    callers.wait_completed(COMPLETED_STEP);

    deployment.restart_agent(2);
    callers.wait_completed(COMPLETED_STEP);
    deployment.targets[0].target.kill();
    callers.wait_completed(COMPLETED_STEP);

    deployment.entries[0].node.freeze();
    callers.wait_completed(COMPLETED_STEP);
    deployment.entries[0].node.thaw();
    deployment.entries[1].node.kill();
    deployment.update_fabric();
    callers.wait_completed(COMPLETED_STEP);
}

#[tokio::test(flavor = "multi_thread")]
async fn transfer_under_kills_and_freezes_runs_once() {
    let mut deployment = Deployment::start(&Plan::small());
    let callers = Callers::start(
        &deployment.client("ordering"),
        "transfer",
        CALLERS,
        RetryPolicy::Keys(10),
    );
    block_in_place(|| inject_faults(&mut deployment, &callers));
    let outcomes = callers.stop().await;

    let [done, not_run, unknown] = count_outcomes(&outcomes);
    println!("outcomes: done {done}, not run {not_run}, unknown {unknown}");
    let violating = violations(&outcomes, &run_counts(&deployment));
    assert!(violating.is_empty(), "{violating:?}");
    assert!(done > COMPLETED_STEP, "{done} of {}", outcomes.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn transfer_without_keys_runs_twice() {
    let deployment = Deployment::start(&Plan::small());
    let callers = Callers::start(
        &deployment.client("ordering"),
        "transfer",
        CALLERS,
        RetryPolicy::Always,
    );
    block_in_place(|| {
        callers.wait_completed(COMPLETED_STEP);
        deployment.targets[0].target.freeze();
        callers.wait_unknown(UNKNOWN_COUNT);
        deployment.targets[0].target.thaw();
        callers.wait_completed(COMPLETED_STEP);
    });
    let outcomes = callers.stop().await;

    // The transfers that the frozen target has accepted run late.
    let violating = || violations(&outcomes, &run_counts(&deployment));
    wait_for("a transfer that ran twice", || !violating().is_empty());
    println!(
        "{} of {} transfers contradict their outcome",
        violating().len(),
        outcomes.len()
    );
}

/// Sends one upload after another until `stop` is set, and returns the answers.
fn start_uploads(options: ClientOptions, stop: Arc<AtomicBool>) -> JoinHandle<Vec<Answer>> {
    tokio::spawn(async move {
        let client = Client::connect(options).await.unwrap();
        let mut answers = Vec::new();
        while !stop.load(Ordering::Acquire) {
            let request = Request {
                deadline: Some(Duration::from_secs(60)),
                ..Request::post("/upload?ms=700", vec![b'x'; UPLOAD_LEN])
            };
            answers.push(client.request(request).await.unwrap());
        }
        answers
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop_of_every_process_cuts_nothing() {
    let plan = Plan::small();
    let mut deployment = Deployment::start(&plan);
    let options = deployment.client("ordering");
    let callers = Callers::start(&options, "transfer", CALLERS, RetryPolicy::Keys(1));
    let keyless = Callers::start(&options, "order", CALLERS, RetryPolicy::RejectedOnly);
    let stop = Arc::new(AtomicBool::new(false));
    let uploads: Vec<_> = (0..UPLOADERS)
        .map(|_| start_uploads(options.clone(), stop.clone()))
        .collect();

    block_in_place(|| {
        callers.wait_completed(COMPLETED_STEP);
        deployment.replace_targets(&plan.services[0], &[0, 1, 2]);
        callers.wait_completed(COMPLETED_STEP);
        deployment.replace_entries(&plan, &[0, 1, 2]);
        callers.wait_completed(COMPLETED_STEP);
    });
    stop.store(true, Ordering::Release);
    let mut outcomes = callers.stop().await;
    outcomes.extend(keyless.stop().await);
    let mut count = 0;
    for upload in uploads {
        for answer in upload.await.unwrap() {
            assert_eq!(answer.outcome, Outcome::Done, "{answer}");
            count += 1;
        }
    }

    let [done, not_run, unknown] = count_outcomes(&outcomes);
    println!("outcomes: done {done}, not run {not_run}, unknown {unknown}; {count} uploads");
    assert_eq!((not_run, unknown), (0, 0));
    let violating = violations(&outcomes, &run_counts(&deployment));
    assert!(violating.is_empty(), "{violating:?}");
}
