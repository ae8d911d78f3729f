//! `marigoldway lists put`: one change, by compare-and-swap.

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
use crate::lists::cli::fail;
use crate::lists::cli::refuse;
use crate::lists::diff;
use crate::lists::store;
use crate::lists::store::Lists;

/// Calls that may stay without answer before the outcome is called unknown.
const TRIES: u32 = 6;

/// Octets of a change's difference that the history keeps.
const HISTORY_LEN: usize = 16_384;

/// Puts `text`, read from `file`, in place of a list. Its header must state the
/// revision that stands in the platform; the change gets the next one.
pub(super) async fn run(
    platform: &impl Platform,
    kind: ListKind,
    file: &Path,
    text: &str,
    author: &str,
) -> ExitCode {
    let lists = match Lists::read(platform).await {
        Ok(lists) => lists,
        Err(error) => return fail(&error),
    };
    if let Err(error) = check(kind, text, &lists) {
        return refuse(file, &error);
    }
    let base = match document::revision(kind, text) {
        Ok(base) => base,
        Err(error) => return refuse(file, &error),
    };
    let held = lists.text(kind);
    let stands = held.and_then(|held| document::revision(kind, held).ok());
    if stands.is_some_and(|stands| stands != base) {
        return race(platform, kind, base).await;
    }

    // A list that doesn't exist yet keeps the generation of its file.
    let generation = stands.map_or(base.generation, |stands| stands.generation + 1);
    let change = ChangeId(rand::rng().random());
    let revision = Revision { generation, change };
    let text = document::with_revision(text, revision);
    let swap = swap(kind, &lists, &text, revision, author);
    let verdict = drive(platform, kind, &swap, revision).await;
    tell(platform, kind, revision, base, verdict).await
}

/// Checks the list together with the other one.
fn check(kind: ListKind, text: &str, lists: &Lists) -> Result<(), Error> {
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

/// The write: the list, and the change in its history. The other list, against
/// which this one was checked, must not have changed either.
fn swap(kind: ListKind, lists: &Lists, text: &str, revision: Revision, author: &str) -> Swap {
    let history = store::history_key(kind, revision.generation);
    let compares = ListKind::ALL
        .into_iter()
        .map(|kind| (store::list_key(kind), lists.stored(kind)));
    let held = lists.text(kind).unwrap_or_default();
    let entry = entry(kind, revision, author, &diff::lines(held, text));
    Swap {
        compares: compares.chain([(history.clone(), 0)]).collect(),
        puts: vec![
            (store::list_key(kind), text.as_bytes().to_vec()),
            (history, entry.into_bytes()),
        ],
        removes: Vec::new(),
        lease: None,
    }
}

fn entry(kind: ListKind, revision: Revision, author: &str, difference: &str) -> String {
    let at = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let cut = difference.floor_char_boundary(HISTORY_LEN);
    format!(
        "list={kind} generation={} change={} author={author:?} time={}\n{}",
        revision.generation,
        revision.change,
        at.as_secs(),
        &difference[..cut]
    )
}

/// Writes and reads until the outcome is known, or too many calls stay without
/// an answer.
async fn drive(
    platform: &impl Platform,
    kind: ListKind,
    swap: &Swap,
    revision: Revision,
) -> ChangeOutcome {
    let mut put = ListChange::new(revision, TRIES);
    let mut backoff = Backoff::default();
    let mut step = Step::Swap;
    loop {
        let tried = step;
        step = match step {
            Step::Swap => put.on_swap(match platform.compare_and_swap(swap).await {
                Ok(SwapOutcome::Applied(_)) => SwapResult::Applied,
                Ok(SwapOutcome::Refused) => SwapResult::Refused,
                Err(error) => {
                    eprintln!("marigoldway: {error}; finding out what became of the change");
                    SwapResult::Lost
                }
            }),
            Step::Read => put.on_read(read_back(platform, kind, revision).await),
            Step::End(verdict) => return verdict,
        };
        if step == tried {
            let wait = backoff.next_wait(&mut rand::rng());
            time::sleep(wait).await;
        }
    }
}

async fn read_back(
    platform: &impl Platform,
    kind: ListKind,
    revision: Revision,
) -> Option<ReadBack> {
    let key = store::history_key(kind, revision.generation);
    let history = platform.get(Range::Key(&key)).await.ok()?;
    let lists = Lists::read(platform).await.ok()?;
    let current = lists
        .text(kind)
        .and_then(|text| document::revision(kind, text).ok())
        .unwrap_or_default();
    let entry = history.found.first().and_then(store::text);
    Some(ReadBack {
        current,
        history: entry.and_then(change_of),
    })
}

/// The change id of a history entry.
fn change_of(entry: &str) -> Option<ChangeId> {
    let mut words = entry.lines().next()?.split_whitespace();
    words.find_map(|word| word.strip_prefix("change=")?.parse().ok())
}

async fn tell(
    platform: &impl Platform,
    kind: ListKind,
    revision: Revision,
    base: Revision,
    verdict: ChangeOutcome,
) -> ExitCode {
    let Revision { generation, change } = revision;
    match verdict {
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
        ChangeOutcome::NotApplied { .. } => race(platform, kind, base).await,
        ChangeOutcome::Unknown => {
            println!("outcome=unknown list={kind} generation={generation} change={change}");
            eprintln!("marigoldway: the change may take effect; look for it in the history");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Shows what others changed since `base`.
async fn race(platform: &impl Platform, kind: ListKind, base: Revision) -> ExitCode {
    println!("outcome=not-applied list={kind} base={}", base.generation);
    eprintln!("marigoldway: a list was changed meanwhile; get it, redo the change and put it");
    let prefix = store::history_prefix(kind);
    if let Ok(read) = platform.get(Range::Newest(&prefix, TRIES)).await {
        let after = store::history_key(kind, base.generation);
        for stored in read.found.iter().rev().filter(|it| it.key > after) {
            println!("{}", String::from_utf8_lossy(&stored.value).trim_end());
        }
    }
    ExitCode::from(EXIT_RACE)
}
