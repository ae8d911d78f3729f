//! The command line.
//!
//! Exit codes: [`EXIT_OK`], [`EXIT_FAILURE`], [`EXIT_USAGE`],
//! [`EXIT_SETTINGS`], and [`EXIT_RACE`].

use std::env;
use std::net::SocketAddrV4;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use error_stack::Report;
use gumdrop::Options;

use crate::check;
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
use crate::status;

/// The command did what it was asked.
pub const EXIT_OK: u8 = 0;

/// The command failed while it ran.
pub const EXIT_FAILURE: u8 = 1;

/// The command line can't be understood.
pub const EXIT_USAGE: u8 = 2;

/// The settings are refused, and nothing was started.
pub const EXIT_SETTINGS: u8 = 3;

/// The lists were changed by someone else meanwhile.
pub const EXIT_RACE: u8 = 4;

/// Exit codes as they stand below the usage text.
const EXIT_HELP: &str = "Exit codes: 0 done, 1 failed while running, 2 usage, \
                         3 settings refused, 4 lists changed meanwhile";

/// Options that stand before the command.
#[derive(Debug, Options)]
#[options(help = "marigoldway: a load balancer for QUIC services")]
pub struct Cli {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Asks for the version.
    #[options(help = "print the version")]
    pub version: bool,
    /// The command to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub enum Command {
    /// Runs an entry.
    #[options(help = "run an entry with the settings in FILE")]
    Entry(FileArgs),
    /// Runs an agent.
    #[options(help = "run an agent with the settings in FILE")]
    Agent(FileArgs),
    /// Works on the operators' lists.
    #[options(help = "read, check, compare and put the operators' lists")]
    Lists(ListsArgs),
    /// Checks settings.
    #[options(help = "check the settings in FILE, and start nothing")]
    Check(FileArgs),
    /// Asks a process what it sees.
    #[options(help = "ask the process with the operator address ADDR what it sees")]
    Status(AddressArgs),
    /// Follows a request through logs.
    #[options(help = "follow a request or a flow through the logs in FILES")]
    Explain(ExplainArgs),
    /// Makes fleet keys and certificates.
    #[options(help = "make fleet keys and development certificates")]
    Keys(KeysArgs),
}

/// Arguments of a command that works on one file.
#[derive(Debug, Options)]
#[options(help = "The file is named by its path.")]
pub struct FileArgs {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Asks for the version.
    #[options(help = "print the version")]
    pub version: bool,
    /// The file.
    #[options(free, help = "path of the file")]
    pub file: Option<PathBuf>,
}

/// Arguments of a command that asks one address.
#[derive(Debug, Options)]
#[options(help = "The address is the operator address of the settings.")]
pub struct AddressArgs {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Asks for the version.
    #[options(help = "print the version")]
    pub version: bool,
    /// The address.
    #[options(free, help = "IPv4 address and port")]
    pub addr: Option<SocketAddrV4>,
}

/// Arguments of `marigoldway keys`.
#[derive(Debug, Options)]
#[options(help = "Keys change in two steps: stage, hand out, rotate, hand out.")]
pub struct KeysArgs {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Asks for the version.
    #[options(help = "print the version")]
    pub version: bool,
    /// What to do with keys.
    #[options(command)]
    pub command: Option<KeysCommand>,
}

/// The commands of `marigoldway keys`.
#[derive(Debug, Options)]
pub enum KeysCommand {
    /// Writes a new keys file.
    #[options(help = "write new fleet keys to FILE, which must not exist")]
    New(FileArgs),
    /// Adds the next route key.
    #[options(help = "add the next route key to FILE; it decodes, but isn't used yet")]
    Stage(FileArgs),
    /// Makes the next route key the current one.
    #[options(help = "use the next route key of FILE; the previous one still decodes")]
    Rotate(FileArgs),
    /// Writes a development certificate.
    #[options(help = "write certificate.pem and key.pem for development")]
    Certificate(CertificateArgs),
}

/// Arguments of `marigoldway keys certificate`.
#[derive(Debug, Options)]
#[options(help = "The certificate signs itself: for development only.")]
pub struct CertificateArgs {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Asks for the version.
    #[options(help = "print the version")]
    pub version: bool,
    /// The directory to write to.
    #[options(no_short, help = "directory to write to")]
    pub dir: Option<PathBuf>,
    /// Name that the certificate carries.
    #[options(
        no_short,
        help = "name that the certificate carries",
        default = "localhost"
    )]
    pub name: String,
}

/// Reads the command line and runs the command.
pub fn main() -> ExitCode {
    let args: std::result::Result<Vec<String>, _> = env::args_os()
        .skip(1)
        .map(|arg| arg.into_string())
        .collect();
    let Ok(args) = args else {
        return usage("an argument is not UTF-8");
    };
    let cli = match Cli::parse_args_default(&args) {
        Ok(cli) => cli,
        Err(err) => return usage(&err.to_string()),
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
        None => usage("a command is missing"),
    }
}

impl Command {
    fn wants_version(&self) -> bool {
        match self {
            Command::Entry(args) | Command::Agent(args) | Command::Check(args) => args.version,
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
        Command::Entry(args) => with(args.file, "FILE", |file| run_entry(&file)),
        Command::Agent(args) => with(args.file, "FILE", |file| run_agent(&file)),
        Command::Check(args) => with(args.file, "FILE", |file| check::run(&file)),
        Command::Status(args) => with(args.addr, "ADDR", status::run),
        Command::Explain(args) => run_explain(args),
        Command::Lists(args) => lists::run(args),
        Command::Keys(args) => match args.command {
            Some(command) => run_keys(command),
            None => usage("a command of keys is missing"),
        },
    }
}

/// Runs an entry for the interface that the settings name.
fn run_entry(file: &Path) -> Result<()> {
    if settings::has_flows_section(file) {
        return packets::entry(file);
    }
    process::entry(file)
}

/// Runs an agent for the interface that the settings name.
fn run_agent(file: &Path) -> Result<()> {
    if settings::has_flows_section(file) {
        return packets::agent(file);
    }
    process::agent(file)
}

/// The first word is the id, the others are files.
fn run_explain(args: ExplainArgs) -> ExitCode {
    let mut words = args.words.into_iter();
    let id = words.next();
    let files: Vec<PathBuf> = words.map(PathBuf::from).collect();
    with(id, "ID", |id| explain::run(&id, &files))
}

fn run_keys(command: KeysCommand) -> ExitCode {
    match command {
        KeysCommand::New(args) => with(args.file, "FILE", |file| keys::create(&file)),
        KeysCommand::Stage(args) => with(args.file, "FILE", |file| keys::stage(&file)),
        KeysCommand::Rotate(args) => with(args.file, "FILE", |file| keys::rotate(&file)),
        KeysCommand::Certificate(args) => with(args.dir, "--dir", |dir| {
            keys::write_certificate(&dir, &args.name)
        }),
    }
}

/// Runs a command with an argument that must be there.
fn with<T>(argument: Option<T>, name: &str, command: impl FnOnce(T) -> Result<()>) -> ExitCode {
    let Some(argument) = argument else {
        return usage(&format!("{name} is missing"));
    };
    match command(argument) {
        Ok(()) => ExitCode::from(EXIT_OK),
        Err(report) => fail(&report),
    }
}

/// Tells of a failure: settings as one line a fault, others as one line.
fn fail(report: &Report<Error>) -> ExitCode {
    if let Some(faults) = report.downcast_ref::<Faults>() {
        eprintln!("{faults}");
        return ExitCode::from(EXIT_SETTINGS);
    }
    eprintln!("marigoldway: {}", describe(report));
    ExitCode::from(EXIT_FAILURE)
}

fn usage(fault: &str) -> ExitCode {
    eprintln!("marigoldway: {fault}\nTry marigoldway --help.");
    ExitCode::from(EXIT_USAGE)
}

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
