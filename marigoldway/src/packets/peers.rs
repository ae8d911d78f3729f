//! Data that processes of the system fetch from each other: the configuration document,
//! the list of known agents and the drained failure domains. Each process serves them by HTTP at its data address.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;

use marigoldway_core::flow::agents::Agents;
use marigoldway_core::flow::message::AgentRecord;
use marigoldway_net::platform::errors::Error;
use marigoldway_net::platform::transport;
use marigoldway_net::platform::transport::Patience;
use marigoldway_net::wire::agents;
use marigoldway_net::wire::drains;
use marigoldway_net::wire::packing;

/// Path of the configuration document, which is served packed.
pub(crate) const CONFIG_PATH: &str = "/config";

/// Path of the list of known agents.
pub(crate) const AGENTS_PATH: &str = "/agents";

/// Path of the drained failure domains.
pub(crate) const DRAINS_PATH: &str = "/drains";

/// Time limits of a request to a peer.
const PATIENCE: Patience = Patience {
    head: Duration::from_secs(1),
    pause: Duration::from_secs(1),
    body: Duration::from_secs(6),
};

/// Fetches a path from a peer. Returns `None` if the peer can't be reached, doesn't answer
/// in time or answers with another status than 200.
pub(crate) async fn fetch(peer: SocketAddrV4, path: &str) -> Option<Bytes> {
    fetch_patiently(peer, path, PATIENCE).await.ok().flatten()
}

/// Fetches a path from a peer. Returns `None` if the peer can't be reached or answers with another
/// status than 200.
///
/// # Errors
///
/// [`TimedOut`] if the peer exceeds the limits of `patience`.
pub(crate) async fn fetch_patiently(
    peer: SocketAddrV4,
    path: &str,
    patience: Patience,
) -> Result<Option<Bytes>, TimedOut> {
    let address = SocketAddr::V4(peer);
    let (method, body) = (Method::GET, Bytes::new());
    let exchange = transport::exchange_patiently(address, method, path, body, patience, |_| {});
    match exchange.await {
        Ok(response) if response.status() == StatusCode::OK => Ok(Some(response.into_body())),
        Ok(response) => {
            let status = response.status();
            log::debug!("event=peer-empty peer={peer} path={path} status={status}");
            Ok(None)
        }
        Err(Error::Timeout { .. }) => {
            log::debug!("event=peer-timeout peer={peer} path={path}");
            Err(TimedOut)
        }
        Err(error) => {
            log::debug!("event=peer-failed peer={peer} path={path} error=\"{error}\"");
            Ok(None)
        }
    }
}

/// Fetches the configuration from a peer. Returns `None` as [`fetch`] does, and if the answer can't be
/// unpacked.
pub(crate) async fn fetch_config(peer: SocketAddrV4) -> Option<Bytes> {
    let packed = fetch(peer, CONFIG_PATH).await?;
    match packing::unpack(&packed) {
        Ok(raw) => Some(Bytes::from(raw.into_owned())),
        Err(error) => {
            log::debug!("event=peer-unreadable peer={peer} path={CONFIG_PATH} error=\"{error}\"");
            None
        }
    }
}

/// `TimedOut` is the error for a peer that doesn't answer, or stops sending, in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimedOut;

/// The answer to a request for what a process knows of agents and drained domains. Returns `None`
/// for another path, and for domains that aren't known.
pub(crate) fn answer(agents: &Agents, path: &str) -> Option<Bytes> {
    match path {
        AGENTS_PATH => Some(encode_agents(agents)),
        DRAINS_PATH => {
            let shared = agents.drains().share()?;
            Some(Bytes::from(drains::encode(&shared)))
        }
        _ => None,
    }
}

/// Encodes the records of the known agents, one on each line.
fn encode_agents(agents: &Agents) -> Bytes {
    let lines: Vec<Vec<u8>> = agents.records().map(agents::encode).collect();
    Bytes::from(lines.join(&b'\n'))
}

/// Decodes the records of a list of agents. Lines that can't be decoded are skipped.
pub(crate) fn decode_agents(body: &[u8]) -> Vec<AgentRecord> {
    body.split(|byte| *byte == b'\n')
        .filter_map(|line| agents::decode(line).ok())
        .collect()
}
