//! Stand-in for the fabric, the network in front of the entries. Entries are the processes of the
//! system that receive datagrams of callers. The stand-in forwards each datagram to a random entry.
//!
//! Each caller address has its own socket towards the entries, so that the entries
//! see a stable address to reply to. Replies are sent to the caller from the
//! address that the caller sent to.

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

/// `FabricOptions` are the services and faults of the fabric.
#[derive(Clone, Debug, Default)]
pub struct FabricOptions {
    /// The services and their entries.
    pub services: Vec<ServiceRoute>,
    /// Seed of the random choices; each service adds its index.
    pub seed: u64,
    /// Fraction of the datagrams that is dropped in each direction, from 0 to 1.
    pub loss: f64,
    /// Listening address of the HTTP control interface, `None` for none.
    pub control: Option<SocketAddrV4>,
}

/// `ServiceRoute` maps the address of a service to its entries; its text form is
/// `LISTEN=ENTRY,ENTRY`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRoute {
    /// Address that callers send to.
    pub listen: SocketAddrV4,
    /// Addresses of the entries that receive datagrams of this service.
    pub entries: Vec<SocketAddrV4>,
}

impl FromStr for ServiceRoute {
    type Err = String;

    fn from_str(text: &str) -> Result<ServiceRoute, String> {
        let (listen, entries) = text
            .split_once('=')
            .ok_or_else(|| format!("invalid service {text}, expected LISTEN=ENTRY,ENTRY"))?;
        let listen = listen.parse().map_err(|err| format!("{listen}: {err}"))?;
        Ok(ServiceRoute {
            listen,
            entries: parse_addresses(entries)?,
        })
    }
}

/// Parses a comma-separated list of addresses, which may be empty.
fn parse_addresses(text: &str) -> Result<Vec<SocketAddrV4>, String> {
    let items = text.split(',').filter(|item| !item.is_empty());
    items
        .map(|item| item.parse().map_err(|err| format!("{item}: {err}")))
        .collect()
}

/// Runs the fabric until the process is terminated.
///
/// # Errors
///
/// `InvalidInput` without a service or with a loss outside 0 to 1, or the error of
/// a socket that can't be bound.
pub async fn run(options: FabricOptions) -> io::Result<()> {
    if options.services.is_empty() || !(0.0..=1.0).contains(&options.loss) {
        let message = "the fabric requires a --service and a --loss from 0 to 1";
        return Err(io::Error::new(io::ErrorKind::InvalidInput, message));
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
