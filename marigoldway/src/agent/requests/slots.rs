//! Admits requests to the target, now or after a wait in a queue.
//!
//! A target has a limited number of slots, one for each request that it runs at the
//! same time. A feed (an event stream that stays open for hours) holds a connection but
//! no slot.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use indexmap::IndexMap;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::sleep;

use marigoldway_core::admission::Action;
use marigoldway_core::admission::Admission;
use marigoldway_core::admission::AdmissionOptions;
use marigoldway_core::admission::Arrival;
use marigoldway_core::admission::Completion;
use marigoldway_core::admission::CustomerKey;
use marigoldway_core::admission::Load;
use marigoldway_core::admission::RequestId;
use marigoldway_core::admission::TargetState;
use marigoldway_core::ids::Incarnation;
use marigoldway_core::request::Class;
use marigoldway_core::request::Refusal;
use marigoldway_core::time::Timestamp;
use marigoldway_net::clock::Clock;

use crate::agent::requests::target::Target;

/// Interval between connection attempts to a target that is down.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time after which a customer with an exhausted allowance may retry. The
/// allowance holds the limits of the customer's plan.
const ALLOWANCE_RETRY: Duration = Duration::from_secs(1);

/// Maximum random time added to [`ALLOWANCE_RETRY`], so that callers don't retry at
/// the same time.
const ALLOWANCE_RETRY_JITTER: Duration = Duration::from_secs(3);

/// `Slots` assigns the slots and connections of the target to requests.
pub(crate) struct Slots {
    state: Mutex<State>,
    clock: Clock,
    /// Wakes the timer when a request arrives.
    wake: Notify,
    /// Notifies [`Slots::idle`] when a request may have ended.
    ended: Notify,
}

struct State {
    admission: Admission,
    rng: StdRng,
    /// Receivers of the decisions on waiting requests.
    waiters: IndexMap<RequestId, oneshot::Sender<Result<(), Refusal>>>,
    next_id: u64,
    target_state: TargetState,
}

impl Slots {
    /// Creates the slots of a target and spawns their timer. The target is in slow start:
    /// one slot is open, and more open over time.
    pub(crate) fn new(
        options: AdmissionOptions,
        clock: Clock,
        incarnation: Incarnation,
    ) -> Arc<Slots> {
        let slots = Arc::new(Slots {
            state: Mutex::new(State {
                admission: Admission::new(options, clock.now()),
                rng: StdRng::seed_from_u64(u64::from(incarnation.0)),
                waiters: IndexMap::new(),
                // The target may still run requests of an earlier incarnation (run of
                // this process), so the IDs of those requests must not be used again.
                next_id: u64::from(incarnation.0) << 32,
                target_state: TargetState::Up,
            }),
            clock,
            wake: Notify::new(),
            ended: Notify::new(),
        });
        tokio::spawn(slots.clone().run_timer());
        slots
    }

    /// Returns a request ID that was not used before, in this incarnation or an
    /// earlier one.
    pub(crate) fn next_id(&self) -> RequestId {
        let mut state = self.state();
        let id = RequestId(state.next_id);
        state.next_id += 1;
        id
    }

    /// Waits until the request may start, or returns the reason of its refusal. Dropping
    /// the future removes the request from its queue or releases its slot.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        id: RequestId,
        class: Class,
        customer: CustomerKey,
        deadline: Option<Timestamp>,
    ) -> Result<Slot, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let mut slot = Slot {
            slots: self.clone(),
            id,
            active: true,
        };
        let arrival = Arrival {
            id,
            class,
            customer,
            deadline,
        };
        self.apply(|state, now| {
            state.waiters.insert(id, sender);
            state.admission.arrive(arrival, now, &mut state.rng)
        });
        self.wake.notify_one();

        // A waiter is dropped without a decision only if the process ends.
        let decision = receiver.await.unwrap_or(Err(Refusal::Leaving));
        slot.active = decision.is_ok();
        decision.map(|()| slot)
    }

    /// Refuses new requests from now on. Those that wait still run.
    pub(crate) fn leave(&self) {
        self.state().admission.leave();
    }

    /// Returns the current load.
    pub(crate) fn load(&self) -> Load {
        self.state().admission.load(self.clock.now())
    }

    /// Counts a refusal and returns a random time after which its caller may retry. The
    /// time depends on the load.
    pub(crate) fn retry_after(&self) -> Duration {
        let mut guard = self.state();
        let state = &mut *guard;
        let now = self.clock.now();
        state.admission.retry_after(now, &mut state.rng)
    }

    /// Returns the time after which a customer with an exhausted allowance may
    /// retry. It doesn't depend on the load, so one customer can't delay others.
    pub(crate) fn allowance_retry_after(&self) -> Duration {
        ALLOWANCE_RETRY + ALLOWANCE_RETRY_JITTER.mul_f64(self.state().rng.random::<f64>())
    }

    /// Waits until no request runs or waits and no feed is open.
    pub(crate) async fn idle(&self) {
        loop {
            let ended = self.ended.notified();
            let load = self.load();
            if load.short + load.bulk + load.feeds + load.waiting == 0 {
                return;
            }
            ended.await;
        }
    }

    /// Marks the target as down until it accepts a connection again, and tries to
    /// connect at [`PROBE_INTERVAL`]. Does nothing if the target is already marked as
    /// down.
    pub(crate) fn on_target_down(self: &Arc<Self>, target: Target) {
        if self.set_target_state(TargetState::Down) == TargetState::Down {
            return;
        }
        log::warn!("event=target-down");
        let slots = self.clone();
        tokio::spawn(async move {
            while target.connect().await.is_err() {
                sleep(PROBE_INTERVAL).await;
            }
            slots.set_target_state(TargetState::Up);
            log::info!("event=target-up");
        });
    }

    /// Sets the state of the target and returns the previous one.
    fn set_target_state(&self, target_state: TargetState) -> TargetState {
        let mut previous = target_state;
        self.apply(|state, now| {
            previous = std::mem::replace(&mut state.target_state, target_state);
            state.admission.observe(target_state, now, &mut state.rng)
        });
        previous
    }

    /// Applies a change to admission control and sends the resulting decisions to the
    /// waiting requests.
    fn apply(&self, change: impl FnOnce(&mut State, Timestamp) -> Vec<Action>) {
        let mut state = self.state();
        let actions = change(&mut state, self.clock.now());
        for action in actions {
            let (id, decision) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse { id, reason, .. } => (id, Err(reason)),
                Action::Cancel(_) => continue,
            };
            // If the receiver is gone, its `Slot` was dropped and released.
            if let Some(waiter) = state.waiters.swap_remove(&id) {
                let _ = waiter.send(decision);
            }
        }
        drop(state);
        self.ended.notify_waiters();
    }

    /// Calls [`Admission::tick`] whenever it is due, until the process ends.
    async fn run_timer(self: Arc<Self>) {
        loop {
            let now = self.clock.now();
            let next = self.state().admission.next_tick(now);
            match next {
                Some(next) => {
                    // Adds 1 ms, the resolution of the timer.
                    let pause = next.since(now) + Duration::from_millis(1);
                    tokio::select! {
                        () = sleep(pause) => {}
                        () = self.wake.notified() => {}
                    }
                }
                None => self.wake.notified().await,
            }
            self.apply(|state, now| state.admission.tick(now, &mut state.rng));
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `Slot` is a request's slot of the target, a feed's connection, or a place in the
/// queue. Dropping it releases what it holds.
pub(crate) struct Slot {
    slots: Arc<Slots>,
    id: RequestId,
    /// Whether dropping this value must release the slot.
    active: bool,
}

impl Slot {
    /// Returns the ID of the request that holds the slot.
    pub(crate) fn id(&self) -> RequestId {
        self.id
    }

    /// Releases the slot at the end of its request.
    pub(crate) fn finish(mut self, completion: Completion) {
        self.active = false;
        let id = self.id;
        self.slots
            .apply(|state, now| state.admission.finish(id, completion, now, &mut state.rng));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.active {
            return;
        }
        let id = self.id;
        self.slots.apply(|state, now| {
            state.waiters.swap_remove(&id);
            state.admission.cancel(id);
            state.admission.cancel_accepted(id, now, &mut state.rng)
        });
    }
}
