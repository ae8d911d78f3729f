//! Stand-in for the fabric: takes callers' datagrams and hands each to an entry
//! that is drawn at random.
//!
//! Every caller address has one socket towards the entries, so that the entries
//! see a stable address to answer to. Answers go to the caller from the address
//! that the caller sent to.

mod control;
mod service;

use std::io;
use std::net::SocketAddrV4;
use std::str::FromStr;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::JoinSet;

use crate::announce;
use crate::fabric::control::Control;
use crate::fabric::service::Service;
use crate::http;

/// `FabricOptions` says what the fabric connects.
#[derive(Clone, Debug, Default)]
pub struct FabricOptions {
    /// The services and their entries.
    pub services: Vec<ServiceRoute>,
    /// Seed of every random choice.
    pub seed: u64,
    /// Share of the datagrams that is dropped, in both directions.
    pub loss: f64,
    /// Address of the HTTP control, `None` for no control.
    pub control: Option<SocketAddrV4>,
}

/// `ServiceRoute` joins the address of a service to its entries, written
/// `LISTEN=ENTRY,ENTRY`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRoute {
    /// Address that callers send to.
    pub listen: SocketAddrV4,
    /// Addresses of the entries, for this service.
    pub entries: Vec<SocketAddrV4>,
}

impl FromStr for ServiceRoute {
    type Err = String;

    fn from_str(text: &str) -> Result<ServiceRoute, String> {
        let (listen, entries) = text
            .split_once('=')
            .ok_or_else(|| format!("read {text}, expected LISTEN=ENTRY,ENTRY"))?;
        let listen = listen.parse().map_err(|err| format!("{listen}: {err}"))?;
        Ok(ServiceRoute {
            listen,
            entries: addresses(entries)?,
        })
    }
}

/// Parses a list of addresses with commas between. An empty text is no entry.
fn addresses(text: &str) -> Result<Vec<SocketAddrV4>, String> {
    let items = text.split(',').filter(|item| !item.is_empty());
    items
        .map(|item| item.parse().map_err(|err| format!("{item}: {err}")))
        .collect()
}

/// Runs the fabric until the process is ended.
pub async fn run(options: FabricOptions) -> io::Result<()> {
    if options.services.is_empty() || !(0.0..=1.0).contains(&options.loss) {
        let words = "the fabric needs a --service and a --loss from 0 to 1";
        return Err(io::Error::new(io::ErrorKind::InvalidInput, words));
    }

    let mut services = Vec::new();
    for (i, route) in options.services.iter().enumerate() {
        let seed = options.seed.wrapping_add(i as u64);
        let service = Service::bind(route, seed, options.loss)?;
        announce(service.addr())?;
        services.push(Arc::new(service));
    }

    let mut tasks = JoinSet::new();
    for service in &services {
        tasks.spawn(service.clone().forward());
        tasks.spawn(service.clone().expire());
    }
    if let Some(addr) = options.control {
        let listener = TcpListener::bind(addr).await?;
        announce(listener.local_addr()?)?;
        tasks.spawn(http::serve(
            listener,
            Arc::new(Control { services }),
            control::handle,
        ));
    }
    tasks.join_next().await;
    Ok(())
}
