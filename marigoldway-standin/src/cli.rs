//! Command line of the stand-ins.

use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

use gumdrop::Options;
use tokio::task::LocalSet;

use crate::fabric;
use crate::fabric::FabricOptions;
use crate::fabric::ServiceRoute;
use crate::platform;
use crate::platform::PlatformOptions;
use crate::soak;
use crate::soak::SoakOptions;
use crate::target;
use crate::target::TargetOptions;

/// Exit code of an invalid command line.
pub const EXIT_USAGE: u8 = 2;

/// Options of the stand-in binary.
#[derive(Debug, Options)]
pub struct StandinOptions {
    /// Prints the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// The stand-in to run; without one, the usage text is printed.
    #[options(command)]
    pub command: Option<Command>,
}

/// Subcommands: one for each stand-in, and the soak.
#[derive(Debug, Options)]
pub enum Command {
    /// Forwards each datagram of a caller to a random entry.
    #[options(help = "forward each datagram of a caller to a random entry")]
    Fabric(FabricArgs),
    /// Serves the platform's key-value store.
    #[options(help = "serve the platform's key-value store")]
    Platform(PlatformArgs),
    /// Serves requests as one target of a service.
    #[options(help = "serve requests as a target")]
    Target(TargetArgs),
    /// Runs the system's processes and injects faults.
    #[options(help = "run the system's processes and inject faults")]
    Soak(SoakArgs),
}

/// Arguments of `standin fabric`.
#[derive(Debug, Options)]
pub struct FabricArgs {
    /// Prints the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// A service and its entries; the option is repeated for each service.
    #[options(
        no_short,
        meta = "LISTEN=ENTRY,...",
        help = "address of a service and its entries, repeatable"
    )]
    pub service: Vec<ServiceRoute>,
    /// Seed of the random choice of entries and of the random loss.
    #[options(no_short, help = "seed of the random choices", default = "1")]
    pub seed: u64,
    /// Fraction of the datagrams that is dropped in each direction, from 0 to 1.
    #[options(no_short, help = "fraction of datagrams to drop", default = "0")]
    pub loss: f64,
    /// Listening address of the HTTP control interface.
    #[options(no_short, help = "address of the HTTP control interface")]
    pub control: Option<SocketAddrV4>,
}

/// Arguments of `standin platform`.
#[derive(Debug, Options)]
pub struct PlatformArgs {
    /// Prints the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Listening address of the store.
    #[options(no_short, required, help = "address to listen at")]
    pub listen: Option<SocketAddrV4>,
}

/// Arguments of `standin target`.
#[derive(Debug, Options)]
pub struct TargetArgs {
    /// Prints the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Listening address of the target.
    #[options(no_short, required, help = "address to listen at")]
    pub listen: Option<SocketAddrV4>,
    /// Name of the service.
    #[options(no_short, required, help = "name of the service")]
    pub service: String,
    /// Maximum number of requests that run at the same time.
    #[options(
        no_short,
        help = "maximum number of requests that run at the same time",
        default = "4"
    )]
    pub slots: usize,
}

/// Arguments of `standin soak`.
#[derive(Debug, Options)]
pub struct SoakArgs {
    /// Prints the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Path of the program under test.
    #[options(no_short, required, help = "path of the program under test")]
    pub binary: PathBuf,
    /// Seed of the first run; each further run adds 1.
    #[options(no_short, help = "first seed", default = "1")]
    pub seed: u64,
    /// Number of seeds, run one after the other.
    #[options(no_short, help = "number of seeds to run", default = "1")]
    pub count: u64,
    /// Time during which faults are started, in seconds.
    #[options(
        no_short,
        help = "seconds during which faults are started",
        default = "20"
    )]
    pub seconds: u64,
    /// Number of entries.
    #[options(no_short, help = "number of entries", default = "4")]
    pub entries: u8,
    /// Number of targets, each with an agent of its own, the process that admits its requests.
    #[options(
        no_short,
        help = "number of targets, each with its agent",
        default = "8"
    )]
    pub targets: u8,
    /// Whether the store is also restored from backups.
    #[options(no_short, help = "also restore the store from backups")]
    pub restores: bool,
}

/// Runs a soak for each seed, and removes the directory of each run without a violation.
///
/// # Errors
///
/// The number of violations if there are any, or an error of a soak or of the removal.
pub async fn soak(args: SoakArgs) -> io::Result<()> {
    let mut violations = 0;
    for seed in args.seed..args.seed + args.count {
        let options = SoakOptions {
            duration: Duration::from_secs(args.seconds),
            entries: args.entries,
            targets: args.targets,
            restores: args.restores,
            ..SoakOptions::new(args.binary.clone(), seed)?
        };
        let count = LocalSet::new().run_until(soak::run(&options)).await?;
        if count == 0 {
            std::fs::remove_dir_all(&options.dir)?;
        }
        violations += count;
    }
    if violations > 0 {
        return Err(io::Error::other(format!("{violations} violations")));
    }
    Ok(())
}

/// Runs the fabric until the process is terminated.
pub async fn fabric(args: FabricArgs) -> io::Result<()> {
    let options = FabricOptions {
        services: args.service,
        seed: args.seed,
        loss: args.loss,
        control: args.control,
    };
    fabric::run(options).await
}

/// Runs the platform until the process is terminated.
pub async fn platform(args: PlatformArgs) -> io::Result<()> {
    let listen = required(args.listen)?;
    platform::run(PlatformOptions { listen }).await
}

/// Runs a target until the process is terminated.
pub async fn target(args: TargetArgs) -> io::Result<()> {
    let options = TargetOptions {
        listen: required(args.listen)?,
        service: args.service,
        slots: args.slots,
    };
    target::run(options).await
}

fn required(listen: Option<SocketAddrV4>) -> io::Result<SocketAddrV4> {
    listen.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidInput, "--listen is missing"))
}
