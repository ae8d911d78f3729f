//! Users of the deployment: long feeds, orders and uploads.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::task;
use tokio::time;

use crate::packets::client::Client;
use crate::packets::client::Failure;
use crate::packets::client::Flow;
use crate::packets::router::Router;
use crate::soak::fleet::Fleet;
use crate::soak::fleet::ROUTES;
use crate::soak::ledger::Ledger;

/// Time that a user waits for an answer.
const DEADLINE: Duration = Duration::from_secs(3);

/// Users of each kind: long feeds, orders, uploads.
const FEEDS: usize = 24;
const ORDERS: usize = 8;
const UPLOADS: usize = 2;

/// Octets of an order and of an upload.
const ORDER_LEN: usize = 900;
const UPLOAD_LEN: usize = 40_000;

/// Tries of one request at most.
const TRIES: usize = 3;

/// Time between two requests of one user, in milliseconds.
const PAUSE_MS: u64 = 150;

/// `Users` ask until they are stopped.
pub(crate) struct Users {
    client: Rc<Client>,
    ledger: Rc<Ledger>,
    stopped: Rc<Cell<bool>>,
    next: Cell<u64>,
}

impl Users {
    /// Starts every user.
    pub(crate) async fn start(fleet: &Fleet, router: &Rc<Router>) -> io::Result<Rc<Users>> {
        let ledger = fleet.ledger.clone();
        let client = Client::start(fleet.client(1), router.clone(), ledger.clone()).await?;
        let users = Rc::new(Users {
            client,
            ledger,
            stopped: Rc::default(),
            next: Cell::new(0),
        });
        for n in 0..FEEDS {
            task::spawn_local(users.clone().feed(n));
        }
        for n in 0..ORDERS {
            task::spawn_local(users.clone().order(n, ROUTES[1].0, ORDER_LEN));
        }
        for n in 0..UPLOADS {
            task::spawn_local(users.clone().order(n, ROUTES[2].0, UPLOAD_LEN));
        }
        Ok(users)
    }

    /// Stops every user.
    pub(crate) fn stop(&self) {
        self.stopped.set(true);
    }

    /// Whether a request to a port is served.
    pub(crate) async fn try_port(&self, port: u16) -> bool {
        let id = self.id("try");
        self.ledger.ask(&id, false);
        let Ok(flow) = self.client.open(Fleet::server(port)).await else {
            return false;
        };
        let end = Instant::now() + DEADLINE;
        let answer = self.client.exchange(&flow, &id, 0, end).await;
        self.client.close(&flow);
        answer.is_ok()
    }

    fn id(&self, kind: &str) -> String {
        let n = self.next.get() + 1;
        self.next.set(n);
        format!("{kind}-{n}")
    }

    async fn pause(&self, n: usize) {
        time::sleep(Duration::from_millis(PAUSE_MS + 7 * n as u64)).await;
    }

    /// Requests that may be repeated, on a flow that is kept open.
    async fn feed(self: Rc<Self>, n: usize) {
        let mut kept: Option<Rc<Flow>> = None;
        while !self.stopped.get() {
            let end = Instant::now() + DEADLINE;
            let mut served = false;
            for _ in 0..TRIES {
                let (flow, result) = self.feed_once(kept.take(), end).await;
                kept = flow;
                served = result.is_ok();
                if served || result == Err(Failure::Deadline) {
                    break;
                }
            }
            self.ledger.finish(served);
            self.pause(n).await;
        }
    }

    async fn feed_once(
        &self,
        kept: Option<Rc<Flow>>,
        end: Instant,
    ) -> (Option<Rc<Flow>>, Result<(), Failure>) {
        let flow = match kept.filter(|it| it.is_usable()) {
            Some(flow) => flow,
            None => match self.client.open(Fleet::server(ROUTES[0].0)).await {
                Ok(flow) => flow,
                Err(failure) => return (None, Err(failure)),
            },
        };
        let id = self.id("feed");
        self.ledger.ask(&id, false);
        let result = self.client.exchange(&flow, &id, 0, end).await;
        if result.is_err() {
            self.client.abandon(&flow);
            return (None, result);
        }
        (Some(flow), result)
    }

    /// Requests that may run once at most, a flow each.
    async fn order(self: Rc<Self>, n: usize, port: u16, len: usize) {
        while !self.stopped.get() {
            let id = self.id("order");
            self.ledger.ask(&id, true);
            let end = Instant::now() + DEADLINE;
            let mut served = false;
            for _ in 0..TRIES {
                let result = self.order_once(&id, port, len, end).await;
                served = result.is_ok();
                // Only what surely hasn't run is tried again.
                if !matches!(result, Err(Failure::NotOpened | Failure::NotRun)) {
                    break;
                }
            }
            self.ledger.finish(served);
            self.pause(n).await;
        }
    }

    async fn order_once(
        &self,
        id: &str,
        port: u16,
        len: usize,
        end: Instant,
    ) -> Result<(), Failure> {
        let flow = self.client.open(Fleet::server(port)).await?;
        let result = self.client.exchange(&flow, id, len, end).await;
        match result {
            Ok(()) => self.client.close(&flow),
            Err(_) => self.client.abandon(&flow),
        }
        result
    }
}
