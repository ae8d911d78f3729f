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

/// Exit code of a command line that can't be understood.
pub const EXIT_USAGE: u8 = 2;

/// Options of the stand-in binary.
#[derive(Debug, Options)]
pub struct StandinOptions {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// The stand-in to run.
    #[options(command)]
    pub command: Option<Command>,
}

/// The stand-ins.
#[derive(Debug, Options)]
pub enum Command {
    /// Takes callers' datagrams and sprays them over the entries.
    #[options(help = "spray callers' datagrams over the entries")]
    Fabric(FabricArgs),
    /// Serves the platform's key-value store.
    #[options(help = "serve the platform's key-value store")]
    Platform(PlatformArgs),
    /// Serves requests as one target of a service.
    #[options(help = "serve requests as a target")]
    Target(TargetArgs),
    /// Runs the system's processes under faults.
    #[options(help = "run the system's processes under faults")]
    Soak(SoakArgs),
}

/// Arguments of `standin fabric`.
#[derive(Debug, Options)]
pub struct FabricArgs {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// A service and its entries, once for each service.
    #[options(
        no_short,
        meta = "LISTEN=ENTRY,...",
        help = "a service and its entries"
    )]
    pub service: Vec<ServiceRoute>,
    /// Seed of every random choice.
    #[options(no_short, help = "seed of the spray", default = "1")]
    pub seed: u64,
    /// Share of the datagrams that is dropped, in both directions.
    #[options(no_short, help = "share of datagrams to drop", default = "0")]
    pub loss: f64,
    /// Address of the HTTP control.
    #[options(no_short, help = "address of the HTTP control")]
    pub control: Option<SocketAddrV4>,
}

/// Arguments of `standin platform`.
#[derive(Debug, Options)]
pub struct PlatformArgs {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address of the store.
    #[options(no_short, required, help = "address to listen at")]
    pub listen: Option<SocketAddrV4>,
}

/// Arguments of `standin target`.
#[derive(Debug, Options)]
pub struct TargetArgs {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address of the target.
    #[options(no_short, required, help = "address to listen at")]
    pub listen: Option<SocketAddrV4>,
    /// Name of the service.
    #[options(no_short, required, help = "name of the service")]
    pub service: String,
    /// Requests that run at a time.
    #[options(no_short, help = "requests that run at a time", default = "4")]
    pub slots: usize,
}

/// Arguments of `standin soak`.
#[derive(Debug, Options)]
pub struct SoakArgs {
    /// Asks for the usage text.
    #[options(help = "print this help")]
    pub help: bool,
    /// The program under test.
    #[options(no_short, required, help = "the program under test")]
    pub binary: PathBuf,
    /// The first seed.
    #[options(no_short, help = "the first seed", default = "1")]
    pub seed: u64,
    /// Seeds that are run one after the other.
    #[options(no_short, help = "seeds to run", default = "1")]
    pub count: u64,
    /// Seconds in which faults begin.
    #[options(no_short, help = "seconds in which faults begin", default = "20")]
    pub seconds: u64,
    /// Entries.
    #[options(no_short, help = "entries", default = "4")]
    pub entries: u8,
    /// Targets, each with its agent.
    #[options(no_short, help = "targets, each with its agent", default = "8")]
    pub targets: u8,
}

/// Runs a soak for each seed. Fails where a promise was broken.
pub async fn soak(args: SoakArgs) -> io::Result<()> {
    let mut broken = 0;
    for seed in args.seed..args.seed + args.count {
        let options = SoakOptions {
            duration: Duration::from_secs(args.seconds),
            entries: args.entries,
            targets: args.targets,
            ..SoakOptions::new(args.binary.clone(), seed)?
        };
        let found = LocalSet::new().run_until(soak::run(&options)).await?;
        if found == 0 {
            std::fs::remove_dir_all(&options.dir)?;
        }
        broken += found;
    }
    if broken > 0 {
        return Err(io::Error::other(format!("{broken} promises broken")));
    }
    Ok(())
}

/// Runs the fabric until the process is ended.
pub async fn fabric(args: FabricArgs) -> io::Result<()> {
    let options = FabricOptions {
        services: args.service,
        seed: args.seed,
        loss: args.loss,
        control: args.control,
    };
    fabric::run(options).await
}

/// Runs the platform until the process is ended.
pub async fn platform(args: PlatformArgs) -> io::Result<()> {
    let listen = required(args.listen)?;
    platform::run(PlatformOptions { listen }).await
}

/// Runs a target until the process is ended.
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
