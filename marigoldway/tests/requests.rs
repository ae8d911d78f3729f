//! Orders, transfers and uploads through real processes, under kills, freezes
//! and graceful stops.

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

/// Callers at a time.
const CALLERS: usize = 12;

/// Transfers between two faults.
const STEP: usize = 300;

/// Uploads at a time, and the length of each in octets.
const UPLOADERS: usize = 3;
const UPLOAD_LEN: usize = 1_200_000;

/// Tries in doubt for which a process stays frozen.
const DOUBTS: usize = 4;

/// Freezes, kills and replaces processes of each kind while callers work.
fn break_everything(deployment: &mut Deployment, callers: &Callers) {
    callers.wait_completed(STEP);
    deployment.targets[0].target.freeze();
    callers.wait_unknown(DOUBTS);
    deployment.targets[0].target.thaw();
    callers.wait_completed(STEP);

    deployment.targets[1].agent.freeze();
    callers.wait_unknown(DOUBTS);
    deployment.targets[1].agent.thaw();
    callers.wait_completed(STEP);

    deployment.restart_agent(2);
    callers.wait_completed(STEP);
    deployment.targets[0].target.kill();
    callers.wait_completed(STEP);

    deployment.entries[0].node.freeze();
    callers.wait_completed(STEP);
    deployment.entries[0].node.thaw();
    deployment.entries[1].node.kill();
    deployment.update_fabric();
    callers.wait_completed(STEP);
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
    block_in_place(|| break_everything(&mut deployment, &callers));
    let told = callers.stop().await;

    let [done, not_run, unknown] = count_outcomes(&told);
    println!("told: done {done}, not run {not_run}, unknown {unknown}");
    let broken = violations(&told, &run_counts(&deployment));
    assert!(broken.is_empty(), "{broken:?}");
    assert!(done > STEP, "{done} of {}", told.len());
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
        callers.wait_completed(STEP);
        deployment.targets[0].target.freeze();
        callers.wait_unknown(DOUBTS);
        deployment.targets[0].target.thaw();
        callers.wait_completed(STEP);
    });
    let told = callers.stop().await;

    // What the frozen target took runs late.
    let broken = || violations(&told, &run_counts(&deployment));
    wait_for("a transfer that ran twice", || !broken().is_empty());
    println!("{} of {} transfers are broken", broken().len(), told.len());
}

/// Uploads one body after another until told to stop, and gives the answers.
fn upload(options: ClientOptions, stop: Arc<AtomicBool>) -> JoinHandle<Vec<Answer>> {
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
    let plain = Callers::start(&options, "order", CALLERS, RetryPolicy::RejectedOnly);
    let stop = Arc::new(AtomicBool::new(false));
    let uploads: Vec<_> = (0..UPLOADERS)
        .map(|_| upload(options.clone(), stop.clone()))
        .collect();

    block_in_place(|| {
        callers.wait_completed(STEP);
        deployment.replace_targets(&plan.services[0], &[0, 1, 2]);
        callers.wait_completed(STEP);
        deployment.replace_entries(&plan, &[0, 1, 2]);
        callers.wait_completed(STEP);
    });
    stop.store(true, Ordering::Release);
    let mut told = callers.stop().await;
    told.extend(plain.stop().await);
    let mut count = 0;
    for upload in uploads {
        for answer in upload.await.unwrap() {
            assert_eq!(answer.outcome, Outcome::Done, "{answer}");
            count += 1;
        }
    }

    let [done, not_run, unknown] = count_outcomes(&told);
    println!("told: done {done}, not run {not_run}, unknown {unknown}; {count} uploads");
    assert_eq!((not_run, unknown), (0, 0));
    let broken = violations(&told, &run_counts(&deployment));
    assert!(broken.is_empty(), "{broken:?}");
}
