//! Issues idempotency keys, and stores the outcomes of the requests that use them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::sync::oneshot;

use marigoldway_core::admission::RequestId;
use marigoldway_core::duplicates::Claim;
use marigoldway_core::duplicates::Digest;
use marigoldway_core::duplicates::Duplicates;
use marigoldway_core::duplicates::DuplicatesOptions;
use marigoldway_core::duplicates::Settled;
use marigoldway_core::idempotency::IdempotencyKey;
use marigoldway_core::idempotency::Issuer;
use marigoldway_core::idempotency::KeySigner;
use marigoldway_core::idempotency::Owner;
use marigoldway_core::idempotency::Serial;
use marigoldway_core::request::Refusal;
use marigoldway_core::request::UnknownReason;
use marigoldway_core::route::Route;
use marigoldway_net::clock::Clock;

use crate::agent::requests::reply::Answer;

/// Time for which a key is valid after it is issued.
const KEY_LIFETIME: Duration = Duration::from_secs(600);

/// Maximum number of keys that a caller may request at a time.
pub(crate) const MAX_ISSUED_KEYS: usize = 1_000;

/// `Keys` issues keys and permits only the first attempt with each to run its request.
pub(crate) struct Keys {
    signer: KeySigner,
    clock: Clock,
    state: Mutex<State>,
}

struct State {
    issuer: Issuer,
    /// Keys that were used, with their outcomes.
    table: Duplicates<Answer>,
    /// Later attempts, which wait for the outcome of the first attempt with their key.
    waiters: IndexMap<RequestId, oneshot::Sender<Settled<Answer>>>,
}

/// `ClaimResult` tells how to handle an attempt.
pub(crate) enum ClaimResult {
    /// Run the request.
    Run(RunPermit),
    /// Wait for the outcome of the first attempt.
    Wait(oneshot::Receiver<Settled<Answer>>),
    /// Return the outcome of an earlier attempt, or the reason why this one isn't run.
    Settled(Settled<Answer>),
}

impl Keys {
    /// Creates the issuer of the agent with the route `own_route`, and an empty table.
    /// Keys are signed with `secret`.
    pub(crate) fn new(own_route: &Route, secret: &[u8; 32], clock: Clock) -> Arc<Keys> {
        let issuer = Issuer::new(
            own_route.agent,
            own_route.incarnation,
            own_route.service,
            KEY_LIFETIME,
        );
        Arc::new(Keys {
            signer: KeySigner::new(secret),
            clock,
            state: Mutex::new(State {
                issuer,
                table: Duplicates::new(DuplicatesOptions::default()),
                waiters: IndexMap::new(),
            }),
        })
    }

    /// Issues `count` keys and returns them as text, one per line.
    pub(crate) fn issue(&self, count: usize) -> String {
        let mut state = self.state();
        let now = self.clock.now();
        (0..count)
            .map(|_| self.signer.encode(&state.issuer.issue(now)) + "\n")
            .collect()
    }

    /// Decodes a key and returns the owner of its request. Fails with
    /// [`Refusal::KeyInvalid`] if it can't be decoded.
    pub(crate) fn decode(&self, text: &str) -> Result<(IdempotencyKey, Owner), Refusal> {
        let key = self.signer.decode(text);
        let key = key.map_err(|_| Refusal::KeyInvalid)?;
        let owner = self.state().issuer.owner(&key, self.clock.now());
        Ok((key, owner))
    }

    /// Registers the attempt `id` with a key that this process issued and that has not
    /// expired. `digest` identifies the contents of the request.
    pub(crate) fn claim(
        self: &Arc<Self>,
        key: &IdempotencyKey,
        digest: Digest,
        id: RequestId,
    ) -> ClaimResult {
        let mut state = self.state();
        match state.table.claim(key, digest, id, self.clock.now()) {
            Claim::Run => ClaimResult::Run(RunPermit {
                keys: self.clone(),
                serial: key.serial,
            }),
            Claim::Wait => {
                let (sender, receiver) = oneshot::channel();
                state.waiters.insert(id, sender);
                ClaimResult::Wait(receiver)
            }
            Claim::Settled(settled) => ClaimResult::Settled(settled),
        }
    }

    /// Stores the final outcome of a key and sends it to the waiting attempts. Has no effect
    /// if the key is already settled.
    fn settle(&self, serial: Serial, settled: &Settled<Answer>) {
        let octets = match settled {
            Settled::Done(answer) => answer.body.len(),
            Settled::NotRun(_) | Settled::Unknown(_) => 0,
        };
        let mut state = self.state();
        for id in state.table.settle(serial, settled, octets) {
            if let Some(waiter) = state.waiters.swap_remove(&id) {
                // The receiver is gone if the attempt's caller disconnected.
                let _ = waiter.send(settled.clone());
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// `RunPermit` allows its holder to run the request of a key. Dropping it settles the
/// key as unknown, unless it is already settled.
pub(crate) struct RunPermit {
    keys: Arc<Keys>,
    serial: Serial,
}

impl RunPermit {
    /// Stores the final outcome of the request and sends it to waiting attempts.
    pub(crate) fn settle(self, settled: &Settled<Answer>) {
        self.keys.settle(self.serial, settled);
    }
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        // Has no effect on a settled key. For any other, the request may have run.
        let unknown = Settled::Unknown(UnknownReason::AnswerBroken);
        self.keys.settle(self.serial, &unknown);
    }
}
