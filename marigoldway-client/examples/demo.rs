//! Sends one request of each class (order, feed and upload) and prints the results,
//! with the targets of the order and of the upload. Exits with a code other than 0 if
//! an answer is missing or wrong.

use std::error::Error;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use gumdrop::Options;
use http::StatusCode;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;

use marigoldway_client::answer::Answer;
use marigoldway_client::client::Client;
use marigoldway_client::errors::Error as ClientError;
use marigoldway_client::options::ClientOptions;
use marigoldway_client::request::Request;

type Result<T> = std::result::Result<T, Box<dyn Error>>;

/// Number of events to read from the price feed.
const EVENTS: usize = 20;

/// Length of the upload in octets.
const UPLOAD_LEN: usize = 256 << 10;

#[derive(Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, meta = "ADDRESS", help = "address of the ordering service")]
    ordering: Vec<SocketAddr>,
    #[options(required, meta = "ADDRESS", help = "address of the intake service")]
    intake: Vec<SocketAddr>,
    #[options(
        required,
        meta = "PATH",
        help = "certificate of the service or its CA, PEM"
    )]
    ca: String,
    #[options(meta = "NAME", help = "name in the certificate", default = "localhost")]
    name: String,
    #[options(meta = "TOKEN", help = "token of the customer", default = "demo-token")]
    token: String,
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = Args::parse_args_default_or_exit();
    match run(&args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("demo failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: &Args) -> Result<()> {
    let ordering = Client::connect(options(args, &args.ordering)?).await?;
    let intake = Client::connect(options(args, &args.intake)?).await?;
    order(&ordering).await?;
    read_prices(&ordering).await?;
    upload(&intake).await?;
    ordering.close().await;
    intake.close().await;
    Ok(())
}

fn options(args: &Args, servers: &[SocketAddr]) -> Result<ClientOptions> {
    let roots: std::result::Result<Vec<_>, _> = CertificateDer::pem_file_iter(&args.ca)?.collect();
    Ok(ClientOptions {
        servers: servers.to_vec(),
        name: args.name.clone(),
        token: args.token.clone(),
        roots: roots?,
        ..ClientOptions::default()
    })
}

/// Sends an order, with an idempotency key if the service issues them.
async fn order(client: &Client) -> Result<()> {
    let key = match client.keys(1).await {
        Ok(mut keys) => keys.pop(),
        Err(ClientError::Refused(answer)) if answer.status == Some(StatusCode::NOT_FOUND) => None,
        Err(error) => return Err(error.into()),
    };
    let request = Request {
        key,
        ..Request::post("/order", "demo-order")
    };
    let answer = client.request(request).await?;
    println!("order {answer}");
    expect_success(&answer)
}

/// Reads `EVENTS` events of the price feed. Fails if events are missing.
async fn read_prices(client: &Client) -> Result<()> {
    let mut feed = client.feed("/feed").await?;
    let mut last = None;
    for _ in 0..EVENTS {
        last = feed.next().await?.id;
    }
    let stats = feed.stats();
    println!(
        "board events={} last={} gaps={}",
        stats.events,
        last.unwrap_or_default(),
        stats.gaps
    );
    if stats.gaps > 0 {
        return Err("events of the price feed are missing".into());
    }
    Ok(())
}

/// Uploads `UPLOAD_LEN` octets, with a deadline of 20 s.
async fn upload(client: &Client) -> Result<()> {
    let request = Request {
        deadline: Some(Duration::from_secs(20)),
        ..Request::post("/upload?ms=300", vec![b'x'; UPLOAD_LEN])
    };
    let answer = client.request(request).await?;
    println!("upload {answer}");
    expect_success(&answer)
}

fn expect_success(answer: &Answer) -> Result<()> {
    if answer.is_success() {
        return Ok(());
    }
    let status = answer.status.as_ref().map_or("none", StatusCode::as_str);
    Err(format!("outcome {}, status {status}", answer.outcome).into())
}
