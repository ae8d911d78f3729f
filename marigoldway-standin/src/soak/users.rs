//! Simulated users of the deployment, who send feed requests on long-lived flows, orders and
//! uploads.

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
use crate::soak::checker::Checker;
use crate::soak::fleet::Fleet;
use crate::soak::fleet::ROUTES;

/// Time from the start of a request to the deadline of its response, over all its attempts.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of users who send feed requests on a long-lived flow.
const FEED_USERS: usize = 24;
/// Number of users who send orders.
const ORDER_USERS: usize = 8;
/// Number of users who send uploads.
const UPLOAD_USERS: usize = 2;

/// Body length of an order, in octets.
const ORDER_LEN: usize = 900;
/// Body length of an upload, in octets.
const UPLOAD_LEN: usize = 40_000;

/// Maximum number of attempts for a request.
const MAX_ATTEMPTS: usize = 3;

/// Minimum time between the end of a user's request and the start of the next one, in milliseconds.
const PAUSE_MS: u64 = 150;

/// `Users` send requests until they are stopped.
pub(crate) struct Users {
    client: Rc<Client>,
    checker: Rc<Checker>,
    stopped: Rc<Cell<bool>>,
    /// Number in the last request ID, 0 before the first request.
    last_number: Cell<u64>,
}

impl Users {
    /// Binds the client and spawns a task for each user.
    pub(crate) async fn start(fleet: &Fleet, router: &Rc<Router>) -> io::Result<Rc<Users>> {
        let checker = fleet.checker.clone();
        let client = Client::start(fleet.client_addr(1), router.clone(), checker.clone()).await?;
        let users = Rc::new(Users {
            client,
            checker,
            stopped: Rc::default(),
            last_number: Cell::new(0),
        });
        for n in 0..FEED_USERS {
            task::spawn_local(users.clone().run_feed_user(n));
        }
        for n in 0..ORDER_USERS {
            task::spawn_local(users.clone().run_order_user(n, ROUTES[1].0, ORDER_LEN));
        }
        for n in 0..UPLOAD_USERS {
            task::spawn_local(users.clone().run_order_user(n, ROUTES[2].0, UPLOAD_LEN));
        }
        Ok(users)
    }

    /// Makes every user stop after its current request.
    pub(crate) fn stop(&self) {
        self.stopped.set(true);
    }

    /// Sends one request to a port, on a flow of its own, and reports whether it is served.
    pub(crate) async fn probe(&self, port: u16) -> bool {
        let id = self.next_id("try");
        self.checker.add_request(&id, false);
        let Ok(flow) = self.client.open(Fleet::server_addr(port)).await else {
            return false;
        };
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let answer = self.client.exchange(&flow, &id, 0, deadline).await;
        self.client.close(&flow);
        answer.is_ok()
    }

    fn next_id(&self, kind: &str) -> String {
        let n = self.last_number.get() + 1;
        self.last_number.set(n);
        format!("{kind}-{n}")
    }

    async fn pause(&self, n: usize) {
        time::sleep(Duration::from_millis(PAUSE_MS + 7 * n as u64)).await;
    }

    /// Sends requests that may be repeated, on a flow that is kept open between them.
    async fn run_feed_user(self: Rc<Self>, n: usize) {
        let mut idle_flow: Option<Rc<Flow>> = None;
        while !self.stopped.get() {
            let deadline = Instant::now() + REQUEST_TIMEOUT;
            let mut served = false;
            for _ in 0..MAX_ATTEMPTS {
                let (flow, result) = self.send_feed_request(idle_flow.take(), deadline).await;
                idle_flow = flow;
                served = result.is_ok();
                if served || result == Err(Failure::Deadline) {
                    break;
                }
            }
            self.checker.record_outcome(served);
            self.pause(n).await;
        }
    }

    async fn send_feed_request(
        &self,
        idle_flow: Option<Rc<Flow>>,
        deadline: Instant,
    ) -> (Option<Rc<Flow>>, Result<(), Failure>) {
        let flow = match idle_flow.filter(|it| it.is_usable()) {
            Some(flow) => flow,
            None => match self.client.open(Fleet::server_addr(ROUTES[0].0)).await {
                Ok(flow) => flow,
                Err(failure) => return (None, Err(failure)),
            },
        };
        let id = self.next_id("feed");
        self.checker.add_request(&id, false);
        let result = self.client.exchange(&flow, &id, 0, deadline).await;
        if result.is_err() {
            self.client.abandon(&flow);
            return (None, result);
        }
        (Some(flow), result)
    }

    /// Sends requests that may run no more than once, each on a flow of its own.
    async fn run_order_user(self: Rc<Self>, n: usize, port: u16, len: usize) {
        while !self.stopped.get() {
            let id = self.next_id("order");
            self.checker.add_request(&id, true);
            let deadline = Instant::now() + REQUEST_TIMEOUT;
            let mut served = false;
            for _ in 0..MAX_ATTEMPTS {
                let result = self.send_order(&id, port, len, deadline).await;
                served = result.is_ok();
                // Only a request that certainly hasn't run is sent again.
                if !matches!(result, Err(Failure::NotOpened | Failure::NotRun)) {
                    break;
                }
            }
            self.checker.record_outcome(served);
            self.pause(n).await;
        }
    }

    async fn send_order(
        &self,
        id: &str,
        port: u16,
        len: usize,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let flow = self.client.open(Fleet::server_addr(port)).await?;
        let result = self.client.exchange(&flow, id, len, deadline).await;
        match result {
            Ok(()) => self.client.close(&flow),
            Err(_) => self.client.abandon(&flow),
        }
        result
    }
}
