//! Command-line parsing and dispatch.
//!
//! The binary exits with one of [`EXIT_OK`], [`EXIT_FAILURE`], [`EXIT_USAGE`], [`EXIT_SETTINGS`]
//! and [`EXIT_RACE`].

use std::env;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use error_stack::Report;
use gumdrop::Options;

use crate::check;
use crate::check_config;
use crate::check_config::CheckConfigArgs;
use crate::errors::Error;
use crate::errors::Result;
use crate::errors::describe;
use crate::explain;
use crate::explain::ExplainArgs;
use crate::keys;
use crate::lists;
use crate::lists::ListsArgs;
use crate::packets;
use crate::process;
use crate::settings;
use crate::settings::Faults;
use crate::settings::values;
use crate::status;

/// Exit code of a command that succeeded.
pub const EXIT_OK: u8 = 0;

/// Exit code of a command that failed while it ran.
pub const EXIT_FAILURE: u8 = 1;

/// Exit code for an invalid command line.
pub const EXIT_USAGE: u8 = 2;

/// Exit code for invalid settings, with which no process was started, and for a configuration
/// document with errors.
pub const EXIT_SETTINGS: u8 = 3;

/// Exit code of a list change that failed because the lists changed concurrently.
pub const EXIT_RACE: u8 = 4;

/// Summary of the exit codes, printed below the usage text.
const EXIT_HELP: &str = "Exit codes: 0 success, 1 runtime failure, 2 usage, \
                         3 invalid settings or configuration, 4 lists changed concurrently";

/// Options that precede the command.
#[derive(Debug, Options)]
#[options(help = "marigoldway: a load balancer for QUIC services")]
pub struct Cli {
    /// Whether to print the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print the version.
    #[options(help = "print the version")]
    pub version: bool,
    /// The command to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// Commands of the binary.
#[derive(Debug, Options)]
pub enum Command {
    /// Runs an entry, a load balancer behind the routers.
    #[options(help = "run an entry with the settings in FILE")]
    Entry(RoleArgs),
    /// Runs an agent, the process beside a target that admits requests to it.
    #[options(help = "run an agent with the settings in FILE")]
    Agent(RoleArgs),
    /// Reads and changes the operators' lists: plans and allowances.
    #[options(help = "read, check, compare and put the operators' lists")]
    Lists(ListsArgs),
    /// Validates a settings file.
    #[options(help = "validate the settings in FILE without starting a process")]
    Check(FileArgs),
    /// Checks a configuration document.
    #[options(help = "check the configuration document in FILE, and compare it with another")]
    CheckConfig(CheckConfigArgs),
    /// Prints the status of a process.
    #[options(help = "print the status of the process at operator address ADDR")]
    Status(AddressArgs),
    /// Traces a request or a flow through logs.
    #[options(help = "trace a request or a flow through the logs in FILES")]
    Explain(ExplainArgs),
    /// Creates fleet keys and development certificates.
    #[options(help = "create fleet keys and development certificates")]
    Keys(KeysArgs),
}

/// Arguments of a command that runs a process.
#[derive(Debug, Options)]
#[options(help = "FILE is the path of the settings.")]
pub struct RoleArgs {
    /// Whether to print the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print the version.
    #[options(help = "print the version")]
    pub version: bool,
    /// Replaces `apply-limit` of the section `[flows]`.
    #[options(
        no_short,
        meta = "TIME",
        parse(try_from_str = "duration"),
        help = "time within which a change takes effect, for a process that forwards flows"
    )]
    pub apply_limit: Option<Duration>,
    /// Path of the settings; required.
    #[options(free, help = "path of the settings")]
    pub file: Option<PathBuf>,
}

/// Arguments of a command that takes one file.
#[derive(Debug, Options)]
#[options(help = "FILE is the path of a file.")]
pub struct FileArgs {
    /// Whether to print the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print the version.
    #[options(help = "print the version")]
    pub version: bool,
    /// Path of the file; required.
    #[options(free, help = "path of the file")]
    pub file: Option<PathBuf>,
}

/// Arguments of a command that queries one process.
#[derive(Debug, Options)]
#[options(help = "ADDR is the operator address in the settings of the process.")]
pub struct AddressArgs {
    /// Whether to print the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print the version.
    #[options(help = "print the version")]
    pub version: bool,
    /// Operator address of the process; required.
    #[options(free, help = "IPv4 address and port")]
    pub addr: Option<SocketAddrV4>,
}

/// Arguments of `marigoldway keys`.
#[derive(Debug, Options)]
#[options(help = "Keys change in two steps: stage and distribute, then rotate and distribute.")]
pub struct KeysArgs {
    /// Whether to print the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print the version.
    #[options(help = "print the version")]
    pub version: bool,
    /// The subcommand to run.
    #[options(command)]
    pub command: Option<KeysCommand>,
}

/// Subcommands of `marigoldway keys`.
#[derive(Debug, Options)]
pub enum KeysCommand {
    /// Creates a keys file.
    #[options(help = "create FILE with new fleet keys; FILE must not exist")]
    New(FileArgs),
    /// Adds the next route key.
    #[options(help = "add the next route key to FILE; it decodes but doesn't encode yet")]
    Stage(FileArgs),
    /// Promotes the next route key to the current one.
    #[options(help = "make the next route key of FILE current; the previous one still decodes")]
    Rotate(FileArgs),
    /// Writes a development certificate.
    #[options(help = "write certificate.pem and key.pem for development")]
    Certificate(CertificateArgs),
}

/// Arguments of `marigoldway keys certificate`.
#[derive(Debug, Options)]
#[options(help = "The certificate is self-signed: for development only.")]
pub struct CertificateArgs {
    /// Whether to print the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Whether to print the version.
    #[options(help = "print the version")]
    pub version: bool,
    /// Output directory; required.
    #[options(no_short, help = "output directory")]
    pub dir: Option<PathBuf>,
    /// Subject alternative name of the certificate.
    #[options(
        no_short,
        help = "subject alternative name of the certificate",
        default = "localhost"
    )]
    pub name: String,
}

/// Parses the command line, runs the command and returns its exit code.
pub fn main() -> ExitCode {
    let args: std::result::Result<Vec<String>, _> = env::args_os()
        .skip(1)
        .map(|arg| arg.into_string())
        .collect();
    let Ok(args) = args else {
        return usage_error("an argument is not valid UTF-8");
    };
    let cli = match Cli::parse_args_default(&args) {
        Ok(cli) => cli,
        Err(err) => return usage_error(&err.to_string()),
    };
    if cli.help_requested() {
        print_help(&cli);
        return ExitCode::from(EXIT_OK);
    }
    if cli.version || cli.command.as_ref().is_some_and(Command::wants_version) {
        println!("marigoldway {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::from(EXIT_OK);
    }
    match cli.command {
        Some(command) => run(command),
        None => usage_error("no command given"),
    }
}

impl Command {
    fn wants_version(&self) -> bool {
        match self {
            Command::Entry(args) | Command::Agent(args) => args.version,
            Command::Check(args) => args.version,
            Command::CheckConfig(args) => args.version,
            Command::Lists(args) => args.version,
            Command::Status(args) => args.version,
            Command::Explain(args) => args.version,
            Command::Keys(args) => {
                args.version
                    || args
                        .command
                        .as_ref()
                        .is_some_and(KeysCommand::wants_version)
            }
        }
    }
}

impl KeysCommand {
    fn wants_version(&self) -> bool {
        match self {
            KeysCommand::New(args) | KeysCommand::Stage(args) | KeysCommand::Rotate(args) => {
                args.version
            }
            KeysCommand::Certificate(args) => args.version,
        }
    }
}

fn run(command: Command) -> ExitCode {
    match command {
        Command::Entry(args) => {
            run_with(args.file, "FILE", |file| run_entry(&file, args.apply_limit))
        }
        Command::Agent(args) => {
            run_with(args.file, "FILE", |file| run_agent(&file, args.apply_limit))
        }
        Command::Check(args) => run_with(args.file, "FILE", |file| check::run(&file)),
        Command::CheckConfig(args) => check_config::run(args),
        Command::Status(args) => run_with(args.addr, "ADDR", status::run),
        Command::Explain(args) => run_explain(args),
        Command::Lists(args) => lists::run(args),
        Command::Keys(args) => match args.command {
            Some(command) => run_keys(command),
            None => usage_error("no keys command given"),
        },
    }
}

/// Runs an entry. It forwards flows of packets if the settings have a `[flows]` section; otherwise
/// it serves QUIC services, for which `apply_limit` has no meaning.
fn run_entry(file: &Path, apply_limit: Option<Duration>) -> Result<()> {
    if settings::has_flows_section(file) {
        return packets::entry(file, apply_limit);
    }
    process::entry(file)
}

/// Runs an agent. It forwards flows of packets if the settings have a `[flows]` section; otherwise
/// it serves a QUIC service, for which `apply_limit` has no meaning.
fn run_agent(file: &Path, apply_limit: Option<Duration>) -> Result<()> {
    if settings::has_flows_section(file) {
        return packets::agent(file, apply_limit);
    }
    process::agent(file)
}

/// Runs `explain`: the first argument is the ID, the others are log files.
fn run_explain(args: ExplainArgs) -> ExitCode {
    let mut arguments = args.words.into_iter();
    let id = arguments.next();
    let files: Vec<PathBuf> = arguments.map(PathBuf::from).collect();
    run_with(id, "ID", |id| explain::run(&id, &files))
}

fn run_keys(command: KeysCommand) -> ExitCode {
    match command {
        KeysCommand::New(args) => run_with(args.file, "FILE", |file| keys::create(&file)),
        KeysCommand::Stage(args) => run_with(args.file, "FILE", |file| keys::stage(&file)),
        KeysCommand::Rotate(args) => run_with(args.file, "FILE", |file| keys::rotate(&file)),
        KeysCommand::Certificate(args) => run_with(args.dir, "--dir", |dir| {
            keys::write_certificate(&dir, &args.name)
        }),
    }
}

/// Runs `command` with a required argument and returns the exit code. A missing argument is a usage
/// error that contains `name`.
fn run_with<T>(argument: Option<T>, name: &str, command: impl FnOnce(T) -> Result<()>) -> ExitCode {
    let Some(argument) = argument else {
        return usage_error(&format!("{name} is missing"));
    };
    match command(argument) {
        Ok(()) => ExitCode::from(EXIT_OK),
        Err(report) => report_failure(&report),
    }
}

/// Prints a failure to standard error and returns its exit code: one line per fault of a settings
/// file with [`EXIT_SETTINGS`], or one line with [`EXIT_FAILURE`] for any other error.
pub(crate) fn report_failure(report: &Report<Error>) -> ExitCode {
    if let Some(faults) = report.downcast_ref::<Faults>() {
        eprintln!("{faults}");
        return ExitCode::from(EXIT_SETTINGS);
    }
    eprintln!("marigoldway: {}", describe(report));
    ExitCode::from(EXIT_FAILURE)
}

/// Parses a time with its unit. Returns what was expected if that fails.
fn duration(text: &str) -> std::result::Result<Duration, String> {
    values::duration(text).map_err(|expected| expected.0)
}

/// Prints an error in the command line and returns its exit code.
pub(crate) fn usage_error(message: &str) -> ExitCode {
    eprintln!("marigoldway: {message}\nTry marigoldway --help.");
    ExitCode::from(EXIT_USAGE)
}

/// Prints the usage text of the innermost command given, then the exit codes.
fn print_help(cli: &Cli) {
    let mut command: &dyn Options = cli;
    let mut name = String::from("marigoldway");
    while let Some(inner) = command.command() {
        name.push(' ');
        name.push_str(command.command_name().unwrap_or_default());
        command = inner;
    }

    println!(
        "Usage: {name} [OPTIONS] [ARGUMENTS]\n\n{}",
        command.self_usage()
    );
    if let Some(list) = command.self_command_list() {
        println!("\nCommands:\n{list}");
    }
    println!("\n{EXIT_HELP}");
}
