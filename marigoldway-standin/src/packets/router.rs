//! Router between the clients and the entries, the processes of the system that receive packets of
//! clients. The hash of a packet's flow selects one of the entries in rotation.

use std::cell::Cell;
use std::cell::RefCell;
use std::hash::Hasher;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use siphasher::sip::SipHasher13;
use tokio::task;
use tokio::time;

use marigoldway_core::flow::key::FlowKey;
use marigoldway_net::platform::transport;

/// Path of an entry's readiness check.
const READY_PATH: &str = "/v1/readyz";

/// Time between two readiness checks of an entry, and the timeout of each.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Number of consecutive failed checks that takes an entry out of rotation.
const MAX_FAILED_CHECKS: u32 = 2;

/// `Router` checks the entries and selects one for each packet.
pub(crate) struct Router {
    entries: RefCell<Vec<Entry>>,
    /// Probability of a packet's loss, from 0 to 1.
    pub(crate) loss: Cell<f64>,
    rng: RefCell<StdRng>,
}

struct Entry {
    listen: SocketAddrV4,
    ready_addr: SocketAddrV4,
    failed_checks: u32,
}

impl Router {
    /// Starts a router for entries, each given by the address that receives
    /// packets and the address of the readiness check. `seed` seeds the random loss of
    /// packets.
    ///
    /// Entries are out of rotation until their first successful check.
    pub(crate) fn start(entries: &[(SocketAddrV4, SocketAddrV4)], seed: u64) -> Rc<Router> {
        let entries = entries.iter().map(|(listen, ready)| Entry {
            listen: *listen,
            ready_addr: *ready,
            failed_checks: MAX_FAILED_CHECKS,
        });
        let router = Rc::new(Router {
            entries: RefCell::new(entries.collect()),
            loss: Cell::new(0.0),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        });
        let count = router.entries.borrow().len();
        for n in 0..count {
            let router = router.clone();
            task::spawn_local(async move { router.run_checks(n).await });
        }
        router
    }

    async fn run_checks(&self, n: usize) {
        loop {
            let addr = self.entries.borrow()[n].ready_addr;
            let result = time::timeout(CHECK_INTERVAL, is_ready(addr)).await;
            self.record_check(n, result == Ok(true));
            time::sleep(CHECK_INTERVAL).await;
        }
    }

    fn record_check(&self, n: usize, ready: bool) {
        let failed_checks = &mut self.entries.borrow_mut()[n].failed_checks;
        *failed_checks = if ready {
            0
        } else {
            (*failed_checks + 1).min(MAX_FAILED_CHECKS)
        };
    }

    /// Selects the entry for a packet of `flow`, or `None` if the packet is lost.
    ///
    /// All entries are in rotation while fewer than half of them are ready. Nearly
    /// all flows move to another entry when the rotation changes.
    ///
    /// Panics if the router has no entries.
    pub(crate) fn choose(&self, flow: &FlowKey) -> Option<SocketAddrV4> {
        if self.rng.borrow_mut().random::<f64>() < self.loss.get() {
            return None;
        }
        let entries = self.entries.borrow();
        let ready: Vec<&Entry> = entries
            .iter()
            .filter(|it| it.failed_checks < MAX_FAILED_CHECKS)
            .collect();
        let all: Vec<&Entry> = entries.iter().collect();
        let rotation = if ready.len() * 2 < all.len() {
            all
        } else {
            ready
        };
        let mut hasher = SipHasher13::new();
        hasher.write_u64(flow.hash());
        let index = hasher.finish() as usize % rotation.len();
        Some(rotation[index].listen)
    }
}

/// Sends a readiness check to an entry, and returns whether the response has status 200.
async fn is_ready(addr: SocketAddrV4) -> bool {
    let response = transport::exchange(addr.into(), Method::GET, READY_PATH, Bytes::new()).await;
    response.is_ok_and(|(status, _)| status == StatusCode::OK)
}
