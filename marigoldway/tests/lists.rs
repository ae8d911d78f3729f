//! Changes of the lists reach a deployment of real processes. An accepted change comes into
//! force at every process and is never reverted.
//!
//! The lists are the customers' plans and the allowances of each plan. The platform, a
//! key-value store, holds them; entries watch it and send changes to the other processes.

mod common;

use std::fs;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use tokio::task::block_in_place;

use marigoldway_client::client::Client;
use marigoldway_client::request::Request;

use crate::common::Deployment;
use crate::common::Plan;
use crate::common::http;
use crate::common::status;
use crate::common::wait_for;

/// Goal for the time from an accepted change until it is in force at every process. The
/// tests print it beside the measured time and don't enforce it.
const GOAL: Duration = Duration::from_secs(5);

fn example_lists() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../deploy/sungur-dana/lists")
}

fn start() -> Deployment {
    Deployment::start(&Plan {
        lists: Some(example_lists()),
        ..Plan::small()
    })
}

/// Runs `marigoldway lists` against the platform at `platform`.
fn run_lists(platform: SocketAddrV4, args: &[&str]) -> Output {
    let address = platform.to_string();
    let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldway"));
    command.args(["lists", args[0], "--platform", &address]);
    command.args(&args[1..]).output().unwrap()
}

/// Reads a list from the platform.
fn get(deployment: &Deployment, list: &str) -> String {
    let output = run_lists(deployment.platform_addr, &["get", list]);
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// Puts `text` as a list, with `author` as its author and file name, and returns the
/// standard output and the exit code.
fn put(deployment: &Deployment, list: &str, text: &str, author: &str) -> (String, i32) {
    let file = deployment.dir.join(format!("{author}.txt"));
    fs::write(&file, text).unwrap();
    let path = file.to_string_lossy();
    let args = ["put", "--author", author, list, &path];
    let output = run_lists(deployment.platform_addr, &args);
    // Shown if the test fails.
    eprint!("{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (text, output.status.code().unwrap())
}

/// Returns a list of plans with one more customer.
fn with_customer(text: &str, name: &str) -> String {
    format!("{text}customer {name} plan=shop\n")
}

/// Returns the operator addresses of all entries and agents.
fn operators(deployment: &Deployment) -> Vec<SocketAddrV4> {
    let entries = deployment.entries.iter().map(|it| it.plan.operator);
    let agents = deployment.targets.iter().map(|it| it.plan.operator);
    entries.chain(agents).collect()
}

/// Returns the generation of a list that a process has in force, or 0 if it has none.
fn generation(operator: SocketAddrV4, list: &str) -> u64 {
    let revision = status(operator).and_then(|it| {
        let revision = it["facts"][list].as_str()?.to_owned();
        revision.split('-').next()?.parse().ok()
    });
    revision.unwrap_or(0)
}

/// Waits until every entry and agent has generation `minimum` of a list or a later one in
/// force.
fn wait_in_force(deployment: &Deployment, list: &str, minimum: u64) {
    for operator in operators(deployment) {
        wait_for("a revision in force", || {
            generation(operator, list) >= minimum
        });
    }
}

/// Injects a fault into the platform. `query` gives its kind and duration or count.
fn inject_fault(deployment: &Deployment, query: &str) {
    let path = format!("/fault?{query}");
    let (code, body) = http(deployment.platform_addr, "POST", &path, "");
    assert_eq!(code, 200, "{body}");
}

#[test]
fn put_is_in_force_everywhere() {
    let deployment = start();
    wait_in_force(&deployment, "plans", 1);

    let text = with_customer(&get(&deployment, "plans"), "newcomer");
    let before = Instant::now();
    let (outcome, code) = put(&deployment, "plans", &text, "one");
    assert_eq!(code, 0, "{outcome}");
    assert!(outcome.contains("outcome=applied"), "{outcome}");
    wait_in_force(&deployment, "plans", 2);
    println!(
        "in force after {} ms, goal {} ms",
        before.elapsed().as_millis(),
        GOAL.as_millis()
    );

    let (text, code) = wait_for_generation(&deployment, "2", "30");
    assert_eq!(code, 0, "{text}");
    let instances = operators(&deployment).len();
    assert!(text.contains(&format!("instances={instances}")), "{text}");
}

/// Runs `marigoldway lists wait` for a generation of the plans, with a limit in seconds,
/// and returns its standard output and exit code.
fn wait_for_generation(deployment: &Deployment, generation: &str, limit: &str) -> (String, i32) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_marigoldway"));
    command.args(["lists", "wait", "--limit", limit]);
    for entry in &deployment.entries {
        let operator = entry.plan.operator.to_string();
        command.args(["--operator", &operator]);
    }
    let output = command.args(["plans", generation]).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (text, output.status.code().unwrap())
}

#[test]
fn wait_reports_lagging_instances() {
    let deployment = start();
    let (text, code) = wait_for_generation(&deployment, "1", "30");
    assert_eq!(code, 0, "{text}");

    let frozen = &deployment.targets[0];
    frozen.agent.freeze();
    let text = with_customer(&get(&deployment, "plans"), "newcomer");
    assert_eq!(put(&deployment, "plans", &text, "one").1, 0);
    let (text, code) = wait_for_generation(&deployment, "2", "3");
    frozen.agent.thaw();
    assert_eq!(code, 1, "{text}");
    let line = format!("instance={} generation=1", frozen.plan.control);
    assert_eq!(text.lines().skip(1).collect::<Vec<_>>(), [line], "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_interrupt_no_flow() {
    let deployment = start();
    let client = Client::connect(deployment.client("ordering"))
        .await
        .unwrap();
    let mut feed = client.feed("/feed").await.unwrap();
    let mut last = feed.next().await.unwrap().id.unwrap();
    let done = Arc::new(AtomicBool::new(false));
    let stop = done.clone();
    let reader = tokio::spawn(async move {
        while !stop.load(Ordering::Acquire) {
            let id = feed.next().await.unwrap().id.unwrap();
            assert_eq!(id, last + 1, "an event is missing");
            last = id;
            let answer = client.request(Request::get("/load")).await.unwrap();
            assert!(answer.is_success(), "{answer:?}");
        }
    });

    let reader_ended = block_in_place(|| {
        for edit in 0..10 {
            let text = with_customer(&get(&deployment, "plans"), &format!("edit-{edit}"));
            assert_eq!(put(&deployment, "plans", &text, "one").1, 0);
            let text = get(&deployment, "allowances");
            let text = text.replace("bulk=4", &format!("bulk={}", 5 + edit));
            assert_eq!(put(&deployment, "allowances", &text, "one").1, 0);
        }
        wait_in_force(&deployment, "plans", 11);
        wait_in_force(&deployment, "allowances", 2);
        reader.is_finished()
    });
    assert!(!reader_ended, "the reader ended before the changes");
    done.store(true, Ordering::Release);
    reader.await.unwrap();
}

#[test]
fn put_refuses_invalid_lists() {
    let deployment = start();
    let text = with_customer(&get(&deployment, "plans"), "hill-cooperative");
    let (outcome, code) = put(&deployment, "plans", &text, "twice");
    assert_eq!((outcome.as_str(), code), ("", 3));
    let text = get(&deployment, "plans").replace("plan=shop", "plan=stall");
    assert_eq!(put(&deployment, "plans", &text, "unknown").1, 3);
    assert_eq!(
        get(&deployment, "plans").lines().nth(1),
        Some("generation 1")
    );
}

#[test]
fn put_keeps_every_accepted_edit_of_two_operators() {
    let deployment = start();
    let put_edits = |name: &'static str| {
        let mut accepted = Vec::new();
        for edit in 0..25 {
            let customer = format!("{name}-{edit}");
            loop {
                let text = with_customer(&get(&deployment, "plans"), &customer);
                let (outcome, code) = put(&deployment, "plans", &text, name);
                match code {
                    0 => break,
                    4 => assert!(outcome.contains("outcome=not-applied"), "{outcome}"),
                    _ => panic!("exit code {code}: {outcome}"),
                }
            }
            accepted.push(customer);
        }
        accepted
    };
    let mut all = Vec::new();
    std::thread::scope(|scope| {
        let other = scope.spawn(|| put_edits("one"));
        all.extend(put_edits("two"));
        all.extend(other.join().unwrap());
    });

    let text = get(&deployment, "plans");
    let output = run_lists(
        deployment.platform_addr,
        &["history", "--count", "100", "plans"],
    );
    let history = String::from_utf8(output.stdout).unwrap();
    for customer in &all {
        let line = format!("customer {customer} plan=shop");
        let listed = text.lines().filter(|it| **it == line).count();
        assert_eq!(listed, 1, "{customer} in the list");
        let added = format!("+{line}");
        let recorded = history.lines().filter(|it| **it == added).count();
        assert_eq!(recorded, 1, "{customer} in the history");
    }
    assert_eq!(text.lines().nth(1), Some("generation 51"));
    wait_in_force(&deployment, "plans", 51);
}

#[test]
fn put_resolves_a_lost_answer() {
    let deployment = start();
    let text = with_customer(&get(&deployment, "plans"), "newcomer");
    inject_fault(&deployment, "kind=lose-answer&count=1");
    let (outcome, code) = put(&deployment, "plans", &text, "one");
    assert_eq!(code, 0, "{outcome}");
    assert!(outcome.contains("outcome=applied"), "{outcome}");
    wait_in_force(&deployment, "plans", 2);
    assert_eq!(get(&deployment, "plans").matches("newcomer").count(), 1);
}

#[test]
fn lists_reach_joining_processes_while_the_platform_is_down() {
    let mut deployment = start();
    wait_in_force(&deployment, "plans", 1);
    inject_fault(&deployment, "kind=down&ms=600000");

    let plan = deployment.entry_plan(&Plan::small(), 0);
    deployment.add_entry(plan);
    deployment.add_target(&Plan::small().services[0], 1);
    wait_in_force(&deployment, "plans", 1);
    wait_in_force(&deployment, "allowances", 1);
}

/// Puts a change during a fault of the platform and waits until the change is in force.
fn put_during_fault(query: &str) {
    let deployment = start();
    wait_in_force(&deployment, "plans", 1);
    let text = with_customer(&get(&deployment, "plans"), "newcomer");
    inject_fault(&deployment, query);
    let (outcome, code) = put(&deployment, "plans", &text, "one");
    assert_eq!(code, 0, "{outcome}");
    let accepted = Instant::now();
    wait_in_force(&deployment, "plans", 2);
    let millis = accepted.elapsed().as_millis();
    println!(
        "{query}: in force {millis} ms after the answer, goal {} ms",
        GOAL.as_millis()
    );
}

#[test]
fn put_is_in_force_while_the_platform_is_slow() {
    put_during_fault("kind=slow&ms=2000");
}

#[test]
fn put_is_in_force_while_watches_are_cut() {
    put_during_fault("kind=cut-watches&ms=2000");
}

#[test]
fn frozen_processes_catch_up() {
    let deployment = start();
    wait_in_force(&deployment, "plans", 1);
    let text = with_customer(&get(&deployment, "plans"), "newcomer");
    deployment.entries[0].node.freeze();
    deployment.targets[0].agent.freeze();
    let (outcome, code) = put(&deployment, "plans", &text, "one");
    deployment.entries[0].node.thaw();
    deployment.targets[0].agent.thaw();
    assert_eq!(code, 0, "{outcome}");
    wait_in_force(&deployment, "plans", 2);
}

#[test]
fn lists_survive_replacement_of_all_processes_while_the_platform_is_down() {
    let mut deployment = start();
    let text = with_customer(&get(&deployment, "plans"), "newcomer");
    assert_eq!(put(&deployment, "plans", &text, "one").1, 0);
    wait_in_force(&deployment, "plans", 2);
    inject_fault(&deployment, "kind=down&ms=600000");

    // One entry and one agent are replaced at a time. The last new processes can receive the
    // lists only from those replaced before them.
    for index in 0..deployment.entries.len() {
        let mut old = deployment.entries.remove(0);
        old.node.kill();
        deployment.add_entry(old.plan);
        deployment.targets.remove(0).agent.kill();
        deployment.add_target(&Plan::small().services[0], index as u8);
        wait_in_force(&deployment, "plans", 2);
        wait_in_force(&deployment, "allowances", 1);
    }
}

#[test]
fn restored_platform_lowers_no_revision() {
    let deployment = start();
    wait_in_force(&deployment, "plans", 1);
    let (_, older) = http(deployment.platform_addr, "GET", "/revision", "");
    let text = with_customer(&get(&deployment, "plans"), "newcomer");
    assert_eq!(put(&deployment, "plans", &text, "one").1, 0);
    wait_in_force(&deployment, "plans", 2);

    let path = format!("/restore?revision={}", older.trim());
    assert_eq!(http(deployment.platform_addr, "POST", &path, "").0, 200);
    // The watching entries receive the older lists and overwrite them with the newer ones.
    wait_for("the newer plans at the platform", || {
        get(&deployment, "plans").contains("newcomer")
    });
    for operator in operators(&deployment) {
        assert_eq!(generation(operator, "plans"), 2);
    }
    // The repair isn't silent: what it has overwritten may be an edit made after the restore.
    let output = run_lists(deployment.platform_addr, &["history", "plans"]);
    let history = String::from_utf8_lossy(&output.stdout);
    assert!(history.contains("author=\"repair\""), "{history}");
    assert!(history.contains("overwritten=1-"), "{history}");
}

/// Returns the number of calls to the platform by path, after 10 changes in a deployment
/// with `targets` targets.
fn platform_calls_of_changes(targets: usize) -> Value {
    let mut plan = Plan {
        lists: Some(example_lists()),
        ..Plan::small()
    };
    plan.services[0].targets = targets;
    let deployment = Deployment::start(&plan);
    wait_in_force(&deployment, "plans", 1);
    for edit in 0..10 {
        let text = with_customer(&get(&deployment, "plans"), &format!("edit-{edit}"));
        assert_eq!(put(&deployment, "plans", &text, "one").1, 0);
    }
    wait_in_force(&deployment, "plans", 11);
    let (_, body) = http(deployment.platform_addr, "GET", "/calls", "");
    serde_json::from_str(&body).unwrap()
}

#[test]
fn platform_calls_do_not_grow_with_agents() {
    let (few, many) = (platform_calls_of_changes(2), platform_calls_of_changes(8));
    println!("2 agents: {few}, 8 agents: {many}");
    // Each of the three entries watches the platform for its domain, and reopens its
    // watch after 30 s. Agents open no watch.
    for calls in [&few, &many] {
        let watches = calls["/v3/watch"].as_u64().unwrap();
        assert!((3..=6).contains(&watches), "{calls}");
    }
}
