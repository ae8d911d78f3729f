//! `marigoldway lists`: reads, checks, compares and writes the operators' lists.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use tokio::runtime::Runtime;

use marigoldway_core::lists::ListKind;
use marigoldway_core::lists::allowances::Allowances;
use marigoldway_core::lists::catalog::Catalog;
use marigoldway_core::lists::plans::Plans;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Range;
use marigoldway_net::platform::etcd::EtcdOptions;
use marigoldway_net::platform::etcd::EtcdPlatform;

use crate::cli::EXIT_FAILURE;
use crate::cli::EXIT_OK;
use crate::cli::EXIT_SETTINGS;
use crate::cli::EXIT_USAGE;
use crate::lists::diff;
use crate::lists::put;
use crate::lists::store;
use crate::lists::store::StoredLists;
use crate::lists::wait;

/// Timeout of one call to the platform. It allows for a slow platform, since an
/// operator can wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Arguments of `marigoldway lists`.
#[derive(Debug, Options)]
#[options(help = "LIST is plans or allowances.")]
pub struct ListsArgs {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Asks for the version.
    #[options(help = "print the version")]
    pub version: bool,
    /// The command, or `None` if the command line has none.
    #[options(command)]
    pub command: Option<ListsCommand>,
}

/// The commands of `marigoldway lists`.
#[derive(Debug, Options)]
pub enum ListsCommand {
    /// Prints a list.
    #[options(help = "print LIST as the platform stores it")]
    Get(ListArgs),
    /// Checks that a file of plans and a file of allowances are valid and fit together.
    #[options(help = "check the files PLANS and ALLOWANCES, and change nothing")]
    Check(CheckArgs),
    /// Prints what a file would change in a list.
    #[options(help = "show what FILE would change in LIST")]
    Diff(FileArgs),
    /// Replaces a list by a file if the file is based on the stored revision of the list.
    #[options(help = "replace LIST by FILE if FILE is based on its newest revision")]
    Put(FileArgs),
    /// Prints the newest changes of a list, newest first.
    #[options(help = "print the newest changes of LIST")]
    History(ListArgs),
    /// Waits until a generation of a list is in force at every process.
    #[options(help = "wait until LIST is in force at every process")]
    Wait(WaitArgs),
}

/// Arguments of `marigoldway lists get` and `history`.
#[derive(Debug, Options)]
pub struct ListArgs {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address of the platform.
    #[options(no_short, meta = "ADDR", help = "address of the platform")]
    pub platform: Option<SocketAddrV4>,
    /// Maximum number of changes that `history` prints. `get` ignores it.
    #[options(no_short, help = "changes to print", default = "20")]
    pub count: u32,
    /// The list.
    #[options(free, help = "plans or allowances")]
    pub list: Option<ListKind>,
}

/// Arguments of `marigoldway lists check`.
#[derive(Debug, Options)]
pub struct CheckArgs {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Path of the file of plans.
    #[options(free, help = "file of the plans")]
    pub plans: Option<PathBuf>,
    /// Path of the file of allowances.
    #[options(free, help = "file of the allowances")]
    pub allowances: Option<PathBuf>,
}

/// Arguments of `marigoldway lists diff` and `put`.
#[derive(Debug, Options)]
pub struct FileArgs {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address of the platform.
    #[options(no_short, meta = "ADDR", help = "address of the platform")]
    pub platform: Option<SocketAddrV4>,
    /// Author of the change for the history, `operator` if absent. `diff` ignores it.
    #[options(no_short, meta = "NAME", help = "name for the history")]
    pub author: Option<String>,
    /// The list.
    #[options(free, help = "plans or allowances")]
    pub list: Option<ListKind>,
    /// Path of the file.
    #[options(free, help = "path of the file")]
    pub file: Option<PathBuf>,
}

/// Arguments of `marigoldway lists wait`.
#[derive(Debug, Options)]
pub struct WaitArgs {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Operator addresses of all entries, at which they serve their status pages.
    #[options(
        no_short,
        meta = "ADDR",
        help = "operator address of an entry; name every entry, once each"
    )]
    pub operator: Vec<SocketAddrV4>,
    /// Maximum wait in seconds.
    #[options(no_short, help = "maximum wait in seconds", default = "30")]
    pub limit: u64,
    /// The list.
    #[options(free, help = "plans or allowances")]
    pub list: Option<ListKind>,
    /// Minimum generation to wait for.
    #[options(free, help = "generation to wait for")]
    pub generation: Option<u64>,
}

/// Runs `marigoldway lists` and returns the exit code of the process.
pub fn run(args: ListsArgs) -> ExitCode {
    let Some(command) = args.command else {
        return usage("marigoldway lists needs a command");
    };
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return report_failure(&error),
    };
    runtime.block_on(async {
        match command {
            ListsCommand::Get(args) => get(&args).await,
            ListsCommand::Check(args) => check(&args),
            ListsCommand::Diff(args) => compare(&args).await,
            ListsCommand::Put(args) => write(args).await,
            ListsCommand::History(args) => history(&args).await,
            ListsCommand::Wait(args) => wait_for(&args).await,
        }
    })
}

async fn get(args: &ListArgs) -> ExitCode {
    let (Some(platform), Some(kind)) = (connect(args.platform), args.list) else {
        return usage("--platform ADDR and LIST are needed");
    };
    match StoredLists::read(&platform).await {
        Ok(lists) => match lists.text(kind) {
            Some(text) => {
                print!("{text}");
                ExitCode::from(EXIT_OK)
            }
            None => report_failure(&format!("the platform stores no {kind} yet")),
        },
        Err(error) => report_failure(&error),
    }
}

fn check(args: &CheckArgs) -> ExitCode {
    let (Some(plans), Some(allowances)) = (&args.plans, &args.allowances) else {
        return usage("the files PLANS and ALLOWANCES are needed");
    };
    let (plans_text, allowances_text) = match (read(plans), read(allowances)) {
        (Ok(plans), Ok(allowances)) => (plans, allowances),
        (Err(error), _) | (_, Err(error)) => return report_failure(&error),
    };
    let allowances_list = match Allowances::parse(&allowances_text) {
        Ok(list) => list,
        Err(error) => return report_invalid(allowances, &error),
    };
    let catalog = Plans::parse(&plans_text).and_then(|list| Catalog::new(list, allowances_list));
    match catalog {
        Ok(catalog) => {
            let customers = catalog.plans().customers.len();
            let plans = catalog.allowances().plans.len();
            println!("customers={customers} plans={plans}");
            ExitCode::from(EXIT_OK)
        }
        Err(error) => report_invalid(plans, &error),
    }
}

async fn compare(args: &FileArgs) -> ExitCode {
    let (Some(platform), Some(kind), Some(file)) =
        (connect(args.platform), args.list, args.file.as_ref())
    else {
        return usage("--platform ADDR, LIST and FILE are needed");
    };
    let text = match read(file) {
        Ok(text) => text,
        Err(error) => return report_failure(&error),
    };
    match StoredLists::read(&platform).await {
        Ok(lists) => {
            let stored = lists.text(kind).unwrap_or_default();
            print!("{}", diff::lines(stored, &text));
            ExitCode::from(EXIT_OK)
        }
        Err(error) => report_failure(&error),
    }
}

async fn write(args: FileArgs) -> ExitCode {
    let (Some(platform), Some(kind), Some(file)) = (connect(args.platform), args.list, args.file)
    else {
        return usage("--platform ADDR, LIST and FILE are needed");
    };
    let text = match read(&file) {
        Ok(text) => text,
        Err(error) => return report_failure(&error),
    };
    let author = args.author.unwrap_or_else(|| "operator".to_owned());
    put::run(&platform, kind, &file, &text, &author).await
}

async fn history(args: &ListArgs) -> ExitCode {
    let (Some(platform), Some(kind)) = (connect(args.platform), args.list) else {
        return usage("--platform ADDR and LIST are needed");
    };
    let prefix = store::history_prefix(kind);
    match platform.get(Range::Newest(&prefix, args.count)).await {
        Ok(read) => {
            for stored in &read.found {
                println!("{}", String::from_utf8_lossy(&stored.value).trim_end());
            }
            ExitCode::from(EXIT_OK)
        }
        Err(error) => report_failure(&error),
    }
}

async fn wait_for(args: &WaitArgs) -> ExitCode {
    let (Some(kind), Some(generation)) = (args.list, args.generation) else {
        return usage("LIST and GENERATION are needed");
    };
    if args.operator.is_empty() {
        return usage("--operator ADDR is needed, once for each entry");
    }
    let limit = Duration::from_secs(args.limit);
    wait::run(&args.operator, kind, generation, limit).await
}

fn connect(address: Option<SocketAddrV4>) -> Option<EtcdPlatform> {
    address.map(|address| {
        EtcdPlatform::new(EtcdOptions {
            address: SocketAddr::V4(address),
            timeout: CALL_TIMEOUT,
        })
    })
}

/// Reads a file as text. The error names the file.
fn read(file: &Path) -> Result<String, String> {
    fs::read_to_string(file).map_err(|error: io::Error| format!("{}: {error}", file.display()))
}

/// Prints why the list in `file` is invalid, and returns [`EXIT_SETTINGS`].
pub(super) fn report_invalid(file: &Path, error: &impl std::fmt::Display) -> ExitCode {
    eprintln!("{}: {error}", file.display());
    ExitCode::from(EXIT_SETTINGS)
}

/// Prints the error of a command that failed, and returns [`EXIT_FAILURE`].
pub(super) fn report_failure(error: &impl std::fmt::Display) -> ExitCode {
    eprintln!("marigoldway: {error}");
    ExitCode::from(EXIT_FAILURE)
}

/// Prints what the command line lacks, and returns [`EXIT_USAGE`].
fn usage(message: &str) -> ExitCode {
    eprintln!("marigoldway: {message}\nTry marigoldway lists --help.");
    ExitCode::from(EXIT_USAGE)
}
