//! Client library for services behind the marigoldway load balancer.
//!
//! A [`Client`](client::Client) sends HTTP/3 requests to one service. Each
//! request returns an [`Answer`](answer::Answer). Its
//! [`Outcome`](marigoldway_core::request::Outcome) states whether the request ran,
//! did not run, or may have run. A request is retried only where the rules in
//! [`retry`] allow it. A [`Feed`](feed::Feed) is a stream of events that
//! continues across connections.
//!
//! ```no_run
//! # use std::error::Error;
//! # use rustls::pki_types::CertificateDer;
//! use marigoldway_client::client::Client;
//! use marigoldway_client::options::ClientOptions;
//! use marigoldway_client::request::Request;
//! use marigoldway_core::request::Outcome;
//!
//! # async fn run(roots: Vec<CertificateDer<'static>>) -> Result<(), Box<dyn Error>> {
//! let client = Client::connect(ClientOptions {
//!     servers: vec!["127.1.0.2:4433".parse()?],
//!     name: "localhost".to_owned(),
//!     roots,
//!     token: "demo-token".to_owned(),
//!     ..ClientOptions::default()
//! })
//! .await?;
//!
//! let key = client.keys(1).await?.pop();
//! let order = Request { key, ..Request::post("/order", "order-17") };
//! let answer = client.request(order).await?;
//! match answer.outcome {
//!     Outcome::Done => println!("{:?}", answer.body),
//!     Outcome::NotRun => println!("nothing was ordered: {:?}", answer.reason),
//!     Outcome::Unknown => println!("ask before ordering again"),
//! }
//!
//! let mut feed = client.feed("/feed").await?;
//! while let Ok(event) = feed.next().await {
//!     println!("{:?} {}", event.id, event.data);
//! }
//! # Ok(())
//! # }
//! ```
//!
//! Start with [`options`] and [`client`]. [`retry`], [`sequence`] and [`sse`]
//! perform no I/O.

pub mod answer;
pub mod client;
pub mod counters;
pub mod errors;
mod exchange;
pub mod feed;
mod link;
pub mod options;
pub mod request;
pub mod retry;
pub mod sequence;
pub mod sse;
