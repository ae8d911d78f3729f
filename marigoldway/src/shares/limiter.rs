//! Admission of requests and connections by customer, in an agent.
//!
//! An agent admits what fits a customer's share, the part of the customer's allowance that
//! the agent may use. The agent reports its demand for a customer to the customer's
//! lender, an entry, which grants it a share for a limited time.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time;
use tokio::time::MissedTickBehavior;

use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::request::Class;
use marigoldway_core::request::Refusal;
use marigoldway_core::roster::RosterView;
use marigoldway_core::roster::State;
use marigoldway_core::share::Report;
use marigoldway_core::share::ShareOptions;
use marigoldway_core::share::enforcement::Denial;
use marigoldway_core::share::enforcement::Enforcement;
use marigoldway_core::share::enforcement::Permit;
use marigoldway_core::share::lender;
use marigoldway_core::time::Timestamp;
use marigoldway_net::clock::Clock;
use marigoldway_net::control::MessageReceiver;
use marigoldway_net::wire::Frame;
use marigoldway_net::wire::shares::SharesMessage;
use marigoldway_net::wire::shares::SharesWire;

use crate::lists::Catalogs;
use crate::membership::Membership;
use crate::shares::TICK_INTERVAL;

/// Maximum wait for a larger share before a connection is refused. A customer that was
/// not active at this agent lately has almost no share there. It gets a larger one within
/// a few round trips.
const CONNECTION_WAIT: Duration = Duration::from_millis(400);

/// Maximum wait for a larger share before a bulk request is refused. It exceeds
/// [`ShareOptions::handover`], for which a new lender only renews shares, and is short
/// compared with the request itself.
const BULK_WAIT: Duration = Duration::from_secs(5);

/// Number of low bits of a report's number. They count the reports of one incarnation,
/// which is one run of the agent. The high bits hold the incarnation.
const REPORT_NUMBER_BITS: u32 = 32;

/// `CustomerLimiter` keeps customers within their allowances at one agent. Clones share
/// its state.
#[derive(Clone)]
pub struct CustomerLimiter {
    shared: Arc<Shared>,
}

struct Shared {
    enforcement: Mutex<Enforcement>,
    clock: Clock,
    /// Notified when a grant arrives or a permit is released.
    capacity_changed: Notify,
}

/// `PermitGuard` holds the permit of a request or connection, and releases it when
/// dropped.
pub struct PermitGuard {
    shared: Arc<Shared>,
    permit: Option<Permit>,
}

impl CustomerLimiter {
    /// Creates the limiter of an agent of `service`, and starts the task that exchanges
    /// reports and grants with the lenders.
    pub fn start(
        membership: Membership,
        messages: MessageReceiver<SharesWire>,
        catalogs: Catalogs,
        clock: Clock,
        service: ServiceId,
        incarnation: Incarnation,
    ) -> CustomerLimiter {
        let number = u64::from(incarnation.0) << REPORT_NUMBER_BITS;
        let enforcement = Enforcement::new(ShareOptions::default(), service, number);
        let shared = Arc::new(Shared {
            enforcement: Mutex::new(enforcement),
            clock,
            capacity_changed: Notify::new(),
        });
        let task = Task {
            shared: shared.clone(),
            membership,
            catalogs,
            service,
        };
        tokio::spawn(task.run(messages));
        CustomerLimiter { shared }
    }

    /// Admits a request. A bulk request beyond the share waits up to `BULK_WAIT` for a
    /// larger share. A request beyond the rate is refused at once.
    ///
    /// # Errors
    ///
    /// The denial, if the allowance is used up, the customer is unknown, its plan lacks the
    /// service or class, or no lists are in force.
    pub async fn admit(&self, customer: &str, class: Class) -> Result<PermitGuard, Denial> {
        self.retry_on_capacity_change(|enforcement, now| enforcement.admit(now, customer, class))
            .await
    }

    /// Admits a connection. A connection beyond the share waits up to `CONNECTION_WAIT`
    /// for a larger share.
    ///
    /// # Errors
    ///
    /// The denial, if the allowance is used up, the customer is unknown, its plan lacks the
    /// service, or no lists are in force.
    pub async fn connect(&self, customer: &str) -> Result<PermitGuard, Denial> {
        self.retry_on_capacity_change(|enforcement, now| enforcement.connect(now, customer))
            .await
    }

    /// Calls `attempt` at once, and again after each grant or released permit. Returns the
    /// last denial once its wait limit has passed since the first attempt.
    async fn retry_on_capacity_change(
        &self,
        mut attempt: impl FnMut(&mut Enforcement, Timestamp) -> Result<Permit, Denial>,
    ) -> Result<PermitGuard, Denial> {
        let start = time::Instant::now();
        loop {
            let capacity_changed = self.shared.capacity_changed.notified();
            let now = self.shared.clock.now();
            let denial = match attempt(&mut self.shared.lock(), now) {
                Ok(permit) => {
                    return Ok(PermitGuard {
                        shared: self.shared.clone(),
                        permit: Some(permit),
                    });
                }
                Err(denial) => denial,
            };
            let end = start + wait_limit(&denial);
            if time::timeout_at(end, capacity_changed).await.is_err() {
                return Err(denial);
            }
        }
    }
}

/// Maximum wait before a refusal, during which a larger share may arrive. It is zero for
/// every other refusal than those for connections and bulk requests. A request beyond the
/// rate is refused at once: the tokens of the rate return only with time, and a waiting
/// request would only occupy slots.
fn wait_limit(denial: &Denial) -> Duration {
    match denial.refusal {
        Refusal::CustomerConnections => CONNECTION_WAIT,
        Refusal::BulkLimit => BULK_WAIT,
        _ => Duration::ZERO,
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Enforcement> {
        // The state is consistent after every operation, so a panic elsewhere can't
        // corrupt it.
        self.enforcement
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.shared.lock().release(permit);
            self.shared.capacity_changed.notify_waiters();
        }
    }
}

/// `Task` reports the demand for each customer to the customer's lender and applies the
/// grants.
struct Task {
    shared: Arc<Shared>,
    membership: Membership,
    catalogs: Catalogs,
    service: ServiceId,
}

impl Task {
    async fn run(mut self, mut messages: MessageReceiver<SharesWire>) {
        let mut views = self.membership.views();
        let mut tick = time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = tick.tick() => {
                    let view = views.borrow_and_update().clone();
                    self.apply_changes(&view);
                    self.send_reports(&view);
                }
                changed = self.catalogs.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    // `changed` marks the lists as seen, and `apply_changes` skips seen lists.
                    self.catalogs.mark_changed();
                    let view = views.borrow_and_update().clone();
                    self.apply_changes(&view);
                }
                message = messages.recv() => {
                    let Some((from, wire)) = message else {
                        return;
                    };
                    match SharesMessage::try_from(wire) {
                        Ok(SharesMessage::Grant(grant)) => {
                            let now = self.shared.clock.now();
                            self.shared.lock().grant(now, &grant);
                            self.shared.capacity_changed.notify_waiters();
                        }
                        // Reports are ignored: only entries answer them.
                        Ok(SharesMessage::Report(_)) => (),
                        Err(error) => {
                            log::warn!("event=share-malformed peer={from} reason=\"{error}\"");
                        }
                    }
                }
            }
        }
    }

    /// Passes the number of agents of the service that aren't down, and changed lists, on to
    /// the enforcement.
    fn apply_changes(&mut self, view: &RosterView) {
        let now = self.shared.clock.now();
        let agents = view
            .records()
            .filter(|record| record.service == Some(self.service) && record.state < State::Down);
        self.shared.lock().set_agents(now, agents.count());

        if self.catalogs.has_changed().unwrap_or(false)
            && let Some(catalog) = self.catalogs.borrow_and_update().clone()
        {
            self.shared.lock().set_catalog(now, catalog);
        }
    }

    /// Sends the reports that are due.
    fn send_reports(&self, view: &RosterView) {
        let reports = self.shared.lock().tick(self.shared.clock.now());
        for report in reports {
            self.send_report(view, &report);
        }
    }

    /// Sends a report to the lender of its customer. Drops the report if the roster has no
    /// lender.
    fn send_report(&self, view: &RosterView, report: &Report) {
        let lender = lender::lender_of(&report.customer, view.entries());
        let Some(record) = lender.and_then(|id| view.record(id)) else {
            return;
        };
        let frame = Frame::Shares(SharesWire::from(report));
        self.membership.control().send(record.control, frame);
    }
}
