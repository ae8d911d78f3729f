//! `marigoldway lists put`: replaces a list by compare-and-swap.
//!
//! A revision of a list is its generation, which rises by one with each change, and the
//! random id of the change. The header of the list states both. The platform, a
//! key-value store, holds the lists and a history with one entry for each change.

use std::path::Path;
use std::process::ExitCode;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rand::RngExt;
use tokio::time;

use marigoldway_core::errors::Error;
use marigoldway_core::lists::ListKind;
use marigoldway_core::lists::allowances::Allowances;
use marigoldway_core::lists::catalog::Catalog;
use marigoldway_core::lists::change::ChangeOutcome;
use marigoldway_core::lists::change::ListChange;
use marigoldway_core::lists::change::ReadBack;
use marigoldway_core::lists::change::Step;
use marigoldway_core::lists::change::SwapResult;
use marigoldway_core::lists::document;
use marigoldway_core::lists::document::ChangeId;
use marigoldway_core::lists::document::Revision;
use marigoldway_core::lists::plans::Plans;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Range;
use marigoldway_net::platform::Swap;
use marigoldway_net::platform::SwapOutcome;
use marigoldway_net::platform::backoff::Backoff;

use crate::cli::EXIT_FAILURE;
use crate::cli::EXIT_OK;
use crate::cli::EXIT_RACE;
use crate::lists::cli::report_failure;
use crate::lists::cli::report_invalid;
use crate::lists::diff;
use crate::lists::store;
use crate::lists::store::StoredLists;

/// Number of calls without a response after which the outcome of a change is unknown.
/// Also the maximum number of changes read from the history after a conflict.
const MAX_UNANSWERED_CALLS: u32 = 6;

/// Maximum length in octets of the line differences in a history entry. Longer
/// differences are cut at a character boundary.
const MAX_HISTORY_DIFF_LEN: usize = 16_384;

/// Replaces a list by `text`, which was read from `file`, and returns the exit code.
/// The header of `text` must state the revision that the platform stores. The new
/// revision has the next generation and a new change id.
///
/// Returns [`EXIT_RACE`] if another revision is stored or one of the lists changes
/// meanwhile, and the code of [`report_invalid`] if the list is invalid or doesn't fit the
/// other one. Returns [`EXIT_FAILURE`] if the first read fails or the outcome is unknown.
pub(super) async fn run(
    platform: &impl Platform,
    kind: ListKind,
    file: &Path,
    text: &str,
    author: &str,
) -> ExitCode {
    let lists = match StoredLists::read(platform).await {
        Ok(lists) => lists,
        Err(error) => return report_failure(&error),
    };
    if let Err(error) = check(kind, text, &lists) {
        return report_invalid(file, &error);
    }
    let base = match document::revision(kind, text) {
        Ok(base) => base,
        Err(error) => return report_invalid(file, &error),
    };
    let stored = lists.text(kind);
    let current = stored.and_then(|stored| document::revision(kind, stored).ok());
    if current.is_some_and(|current| current != base) {
        return report_conflict(platform, kind, base).await;
    }

    // The list keeps the generation of its file if the platform doesn't store it yet, or
    // stores it without a valid header.
    let generation = current.map_or(base.generation, |current| current.generation + 1);
    let change = ChangeId(rand::rng().random());
    let revision = Revision { generation, change };
    let text = document::with_revision(text, revision);
    let swap = build_swap(kind, &lists, &text, revision, author);
    let started = lists.revision;
    let outcome = write_until_known(platform, kind, &swap, revision, started).await;
    report_outcome(platform, kind, revision, base, outcome).await
}

/// Checks that the list is valid, and that it fits the other list if the platform stores
/// that one.
fn check(kind: ListKind, text: &str, lists: &StoredLists) -> Result<(), Error> {
    let other = lists.text(kind.other());
    match (kind, other) {
        (ListKind::Plans, Some(other)) => {
            let plans = Plans::parse(text)?;
            Catalog::new(plans, Allowances::parse(other)?).map(drop)
        }
        (ListKind::Allowances, Some(other)) => {
            let allowances = Allowances::parse(text)?;
            Catalog::new(Plans::parse(other)?, allowances).map(drop)
        }
        (ListKind::Plans, None) => Plans::parse(text).map(drop),
        (ListKind::Allowances, None) => Allowances::parse(text).map(drop),
    }
}

/// Builds the transaction that writes the list and the history entry of the change. The
/// platform applies it only if both stored lists are unchanged, since the new list was
/// checked against the other one, and if the history has no entry of that generation.
fn build_swap(
    kind: ListKind,
    lists: &StoredLists,
    text: &str,
    revision: Revision,
    author: &str,
) -> Swap {
    let history = store::history_key(kind, revision.generation);
    let compares = ListKind::ALL
        .into_iter()
        .map(|kind| (store::list_key(kind), lists.store_revision(kind)));
    let stored = lists.text(kind).unwrap_or_default();
    let entry = history_entry(kind, revision, author, &diff::lines(stored, text));
    Swap {
        compares: compares.chain([(history.clone(), 0)]).collect(),
        puts: vec![
            (store::list_key(kind), text.as_bytes().to_vec()),
            (history, entry.into_bytes()),
        ],
        ..Swap::default()
    }
}

/// Formats a history entry: one line that describes the change, then the changed lines.
pub(super) fn history_entry(
    kind: ListKind,
    revision: Revision,
    author: &str,
    difference: &str,
) -> String {
    let at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let cut = difference.floor_char_boundary(MAX_HISTORY_DIFF_LEN);
    format!(
        "list={kind} generation={} change={} author={author:?} time={}\n{}",
        revision.generation,
        revision.change,
        at.as_secs(),
        &difference[..cut]
    )
}

/// Writes the change until its outcome is known. After a refused write, reads the list
/// and its history to learn whether an earlier attempt took effect. Repeats calls
/// without a response after a backoff. After [`MAX_UNANSWERED_CALLS`] such calls in all,
/// the outcome is unknown. `started` is the platform's revision before the change: a lower one shows
/// that it was restored from a backup.
async fn write_until_known(
    platform: &impl Platform,
    kind: ListKind,
    swap: &Swap,
    revision: Revision,
    started: u64,
) -> ChangeOutcome {
    let mut list_change = ListChange::new(revision, MAX_UNANSWERED_CALLS);
    let mut backoff = Backoff::default();
    let mut step = Step::Swap;
    loop {
        let previous = step;
        step = match step {
            Step::Swap => match platform.compare_and_swap(swap).await {
                Ok(SwapOutcome::Applied(at)) if at <= started => list_change.on_rollback(),
                Ok(SwapOutcome::Applied(_)) => list_change.on_swap(SwapResult::Applied),
                Ok(SwapOutcome::Refused) => list_change.on_swap(SwapResult::Refused),
                Err(error) => {
                    eprintln!("marigoldway: {error}; checking whether the change was applied");
                    list_change.on_swap(SwapResult::Lost)
                }
            },
            Step::Read => match read_back(platform, kind, revision).await {
                Some((_, at)) if at < started => list_change.on_rollback(),
                read => list_change.on_read(read.map(|(read_back, _)| read_back)),
            },
            Step::End(outcome) => return outcome,
        };
        if step == previous {
            let wait = backoff.next_wait(&mut rand::rng());
            time::sleep(wait).await;
        }
    }
}

/// Reads the current revision of the list, and the id of the change that the history
/// holds for the generation of `revision`, with the platform's revision. Returns `None` if a call
/// fails. A list that is
/// absent or has no valid header counts as generation 0 without changes.
async fn read_back(
    platform: &impl Platform,
    kind: ListKind,
    revision: Revision,
) -> Option<(ReadBack, u64)> {
    let key = store::history_key(kind, revision.generation);
    let history = platform.get(Range::Key(&key)).await.ok()?;
    let lists = StoredLists::read(platform).await.ok()?;
    let current = lists
        .text(kind)
        .and_then(|text| document::revision(kind, text).ok())
        .unwrap_or_default();
    let entry = history.found.first().and_then(store::text);
    let read_back = ReadBack {
        current,
        history: entry.and_then(change_id),
    };
    Some((read_back, lists.revision))
}

/// Change id in the first line of a history entry, or `None` if that line has none.
fn change_id(entry: &str) -> Option<ChangeId> {
    let mut words = entry.lines().next()?.split_whitespace();
    words.find_map(|word| word.strip_prefix("change=")?.parse().ok())
}

/// Prints the outcome of the change and returns the exit code.
async fn report_outcome(
    platform: &impl Platform,
    kind: ListKind,
    revision: Revision,
    base: Revision,
    outcome: ChangeOutcome,
) -> ExitCode {
    let Revision { generation, change } = revision;
    match outcome {
        ChangeOutcome::Applied => {
            println!("outcome=applied list={kind} generation={generation} change={change}");
            ExitCode::from(EXIT_OK)
        }
        ChangeOutcome::Superseded { current } => {
            let newest = current.generation;
            println!(
                "outcome=overtaken list={kind} generation={generation} change={change} newest={newest}"
            );
            ExitCode::from(EXIT_OK)
        }
        ChangeOutcome::NotApplied { .. } => report_conflict(platform, kind, base).await,
        ChangeOutcome::RolledBack => {
            println!(
                "outcome=unknown list={kind} generation={generation} change={change} reason=restored"
            );
            eprintln!(
                "marigoldway: the platform was restored from a backup meanwhile and may have lost \
                 changes; wait until the lists are in force, get the list and compare it"
            );
            ExitCode::from(EXIT_FAILURE)
        }
        ChangeOutcome::Unknown => {
            println!("outcome=unknown list={kind} generation={generation} change={change}");
            eprintln!("marigoldway: the change may take effect; look for it in the history");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Prints that the change to the list, which was based on `base`, was not applied: this
/// list or the other one has changed. Prints the changes of this list after `base` from
/// its history, oldest first. Returns [`EXIT_RACE`].
async fn report_conflict(platform: &impl Platform, kind: ListKind, base: Revision) -> ExitCode {
    println!("outcome=not-applied list={kind} base={}", base.generation);
    eprintln!("marigoldway: a list was changed meanwhile; get it, redo the change and put it");
    let prefix = store::history_prefix(kind);
    if let Ok(read) = platform
        .get(Range::Newest(&prefix, MAX_UNANSWERED_CALLS))
        .await
    {
        let after = store::history_key(kind, base.generation);
        for stored in read.found.iter().rev().filter(|it| it.key > after) {
            println!("{}", String::from_utf8_lossy(&stored.value).trim_end());
        }
    }
    ExitCode::from(EXIT_RACE)
}
