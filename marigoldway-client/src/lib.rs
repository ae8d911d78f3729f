//! Caller library of the marigoldway load balancer.
//!
//! A [`Client`](client::Client) speaks HTTP/3 to one service. A request comes
//! back whole or with a truthful [`Outcome`](marigoldway_core::request::Outcome),
//! and is sent again only where the rules in [`retry`] allow it. A
//! [`Feed`](feed::Feed) is a stream of events that outlives the connection it
//! began on.
//!
//! Start with [`options`] and [`client`]. The decisions are free of input and
//! output: [`retry`], [`sequence`] and [`sse`].

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
