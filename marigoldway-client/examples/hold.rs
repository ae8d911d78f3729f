//! Holds feeds open for a given time and prints the sum of their counters in one
//! line. Exits with a code other than 0 if an event is missing or a feed failed.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::timeout_at;

use marigoldway_client::client::Client;
use marigoldway_client::feed::FeedStats;
use marigoldway_client::options::ClientOptions;

type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

#[derive(Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, meta = "ADDRESS", help = "address of the service")]
    server: Vec<SocketAddr>,
    #[options(
        required,
        meta = "PATH",
        help = "certificate of the service or its CA, PEM"
    )]
    ca: String,
    #[options(meta = "NAME", help = "name in the certificate", default = "localhost")]
    name: String,
    #[options(
        no_short,
        meta = "TOKEN",
        help = "token of the customer",
        default = "demo-token"
    )]
    token: String,
    #[options(meta = "PATH", help = "path of the feed", default = "/feed")]
    path: String,
    #[options(
        meta = "N",
        help = "number of feeds, each on its own connection",
        default = "10"
    )]
    feeds: usize,
    #[options(meta = "SECONDS", help = "time to hold the feeds open", default = "10")]
    time: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match run(&args).await {
        Ok(stats) if stats.gaps == 0 => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("hold failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &Args) -> Result<FeedStats> {
    let options = options(args)?;
    let end = Instant::now() + Duration::from_secs(args.time);
    let mut feeds = JoinSet::new();
    for _ in 0..args.feeds {
        feeds.spawn(hold(options.clone(), args.path.clone(), end));
    }

    let mut total = FeedStats::default();
    let mut silence = Duration::ZERO;
    let mut failed = 0;
    while let Some(stats) = feeds.join_next().await {
        match stats? {
            Ok((stats, longest)) => {
                add(&mut total, &stats);
                silence = silence.max(longest);
            }
            Err(error) => {
                failed += 1;
                eprintln!("feed failed: {error}");
            }
        }
    }
    println!(
        "feeds={} failed={failed} events={} moves={} breaks={} duplicates={} gaps={} silence-ms={}",
        args.feeds,
        total.events,
        total.moves,
        total.breaks,
        total.duplicates,
        total.gaps,
        silence.as_millis()
    );
    if failed > 0 {
        return Err(format!("{failed} feeds failed").into());
    }
    Ok(total)
}

fn options(args: &Args) -> Result<ClientOptions> {
    let roots: std::result::Result<Vec<_>, _> = CertificateDer::pem_file_iter(&args.ca)?.collect();
    Ok(ClientOptions {
        servers: args.server.clone(),
        name: args.name.clone(),
        token: args.token.clone(),
        roots: roots?,
        ..ClientOptions::default()
    })
}

/// Holds one feed open until `end`. Returns its counters and the longest time between
/// two consecutive events.
async fn hold(options: ClientOptions, path: String, end: Instant) -> Result<(FeedStats, Duration)> {
    let client = Client::connect(options).await?;
    let mut feed = client.feed(&path).await?;
    let mut silence = Duration::ZERO;
    let mut last = None;
    while let Ok(event) = timeout_at(end, feed.next()).await {
        event?;
        let now = Instant::now();
        silence = silence.max(now - last.replace(now).unwrap_or(now));
    }
    let stats = feed.stats();
    drop(feed);
    client.close().await;
    Ok((stats, silence))
}

fn add(total: &mut FeedStats, stats: &FeedStats) {
    total.events += stats.events;
    total.moves += stats.moves;
    total.breaks += stats.breaks;
    total.duplicates += stats.duplicates;
    total.gaps += stats.gaps;
}
