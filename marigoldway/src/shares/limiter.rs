//! Admission of requests and connections by customer, in an agent.

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

/// Maximum wait for a larger share before a connection is refused. A customer
/// that was not active at this agent lately has almost no share, and gets one
/// within a few round trips.
const CONNECTION_WAIT: Duration = Duration::from_millis(400);

/// Maximum wait for a larger share before a bulk request is refused. It exceeds
/// the handover to a new lender, and is short compared with the request itself.
const BULK_WAIT: Duration = Duration::from_secs(5);

/// Low bits of a report's number, which count the reports of one incarnation. The
/// high bits hold the incarnation.
const REPORT_NUMBER_BITS: u32 = 32;

/// `CustomerLimiter` keeps customers within their allowances. Clones share its
/// state.
#[derive(Clone)]
pub struct CustomerLimiter {
    shared: Arc<Shared>,
}

struct Shared {
    enforcement: Mutex<Enforcement>,
    clock: Clock,
    /// Notified when a grant arrives or a permit is released.
    granted: Notify,
}

/// `PermitGuard` holds the permit of a request or connection, and releases it when
/// dropped.
pub struct PermitGuard {
    shared: Arc<Shared>,
    permit: Option<Permit>,
}

impl CustomerLimiter {
    /// Creates the limiter of an agent and starts its task.
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
            granted: Notify::new(),
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

    /// Admits a request. A bulk request beyond the share waits for a larger one, up to
    /// `BULK_WAIT`; a request beyond the rate is refused at once.
    ///
    /// # Errors
    ///
    /// The denial, if the allowance is used up, the customer is unknown, or its plan
    /// lacks the service or class.
    pub async fn admit(&self, customer: &str, class: Class) -> Result<PermitGuard, Denial> {
        self.retry_on_grant(|enforcement, now| enforcement.admit(now, customer, class))
            .await
    }

    /// Admits a connection. One beyond the share waits for a larger one, up to
    /// `CONNECTION_WAIT`.
    ///
    /// # Errors
    ///
    /// The denial, if the allowance is used up, the customer is unknown, or its plan
    /// lacks the service.
    pub async fn connect(&self, customer: &str) -> Result<PermitGuard, Denial> {
        self.retry_on_grant(|enforcement, now| enforcement.connect(now, customer))
            .await
    }

    async fn retry_on_grant(
        &self,
        mut attempt: impl FnMut(&mut Enforcement, Timestamp) -> Result<Permit, Denial>,
    ) -> Result<PermitGuard, Denial> {
        let start = time::Instant::now();
        loop {
            let granted = self.shared.granted.notified();
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
            if time::timeout_at(end, granted).await.is_err() {
                return Err(denial);
            }
        }
    }
}

/// Maximum wait before a refusal, during which a larger share may arrive. An
/// exhausted rate is refused at once: its tokens return only with time, and a
/// waiting request would only occupy slots.
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
            self.shared.granted.notify_waiters();
        }
    }
}

/// `Task` reports demand to the lenders and applies their grants.
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
                    self.report(&view);
                }
                changed = self.catalogs.changed() => {
                    if changed.is_err() {
                        return;
                    }
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
                            self.shared.granted.notify_waiters();
                        }
                        // Agents receive no reports.
                        Ok(SharesMessage::Report(_)) => (),
                        Err(error) => {
                            log::warn!("event=share-malformed peer={from} reason=\"{error}\"");
                        }
                    }
                }
            }
        }
    }

    /// Passes a changed number of agents and changed lists on to the enforcement.
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

    fn report(&self, view: &RosterView) {
        let reports = self.shared.lock().tick(self.shared.clock.now());
        for report in reports {
            self.send(view, &report);
        }
    }

    fn send(&self, view: &RosterView, report: &Report) {
        let lender = lender::lender_of(&report.customer, view.entries());
        let Some(record) = lender.and_then(|id| view.record(id)) else {
            return;
        };
        let frame = Frame::Shares(SharesWire::from(report));
        self.membership.control().send(record.control, frame);
    }
}
