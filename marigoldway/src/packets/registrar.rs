//! Registers an agent in the store by two keys.
//!
//! The agent's record has a lease, whose end deletes the record. The presence key has none:
//! it tells processes that read the store that the agent may be alive though its record is
//! gone.
//!
//! All that the registrar knows of the store belongs to one epoch. In a later one, the store may have
//! lost the keys and the lease, and the ID of the lease may be that of another one. The registrar
//! then drops the lease and registers the agent anew.

mod addrs;
mod epoch;

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time;

use marigoldway_core::flow::message::AgentRecord;
use marigoldway_core::flow::message::Reach;
use marigoldway_core::flow::message::TargetState;
use marigoldway_core::replica::epoch::EpochRevision;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::platform::LeaseId;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Range;
use marigoldway_net::platform::Swap;
use marigoldway_net::platform::SwapOutcome;
use marigoldway_net::platform::backoff::Backoff;
use marigoldway_net::platform::epochs::Epoch;
use marigoldway_net::platform::errors::Error;
use marigoldway_net::platform::errors::Result;
use marigoldway_net::wire::agents;
use marigoldway_platform::store::KvStore;

use crate::packets::agent::Agent;
use crate::packets::node::MAX_RETRY_WAIT;

/// Lifetime of a lease without a renewal. Entries detect a dead agent long before that,
/// since it no longer answers.
const LEASE_TTL: Duration = Duration::from_secs(10);

/// Interval between two renewals of the lease, so that two of them may be lost.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(3_300);

/// Maximum time that a new process waits for the first heartbeat of its target and for
/// its announcement to its peers. It then registers without them if an earlier process of
/// the agent was registered, since the target may hold flows.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval between two checks for the target's first heartbeat and for the announcement.
const FIRST_HEARTBEAT_POLL: Duration = Duration::from_millis(20);

/// Time for which a target has to be absent before the store is updated, which
/// costs a call. The agent itself reports the absence to entries that send it flows.
const ABSENCE_DELAY: Duration = Duration::from_secs(2);

/// `KeyState` is what the registrar knows about the key of the agent's record in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
enum KeyState {
    /// Nothing: the key has to be read before it can be written.
    Unknown,
    /// The key has this revision, or 0 if it doesn't exist.
    Revision(u64),
    /// The key holds this record at this revision.
    Record(AgentRecord, u64),
}

/// `Registrar` keeps the record and the presence key of one agent in the store up to date.
pub(crate) struct Registrar {
    agent: Rc<Agent>,
    store: Rc<KvStore>,
    /// Epoch of all that is known of the store.
    epoch: Epoch,
    /// Notified of each later epoch.
    epochs: watch::Receiver<Epoch>,
    /// Whether the service's addresses must be read before they are written.
    must_read_addrs: bool,
    /// Whether the presence key may be lost, whatever the agent knows of it.
    must_write_presence: bool,
    lease: Option<LeaseId>,
    /// Time of the last grant or renewal of the lease.
    renewed_at: time::Instant,
    /// Key of the record, or empty before the first write.
    key: String,
    key_state: KeyState,
    /// Time since which the target is absent, while the store doesn't show it yet.
    absent_since: Option<time::Instant>,
}

impl Registrar {
    /// Creates a registrar without a lease or a record in the store.
    pub(crate) fn new(agent: Rc<Agent>, store: Rc<KvStore>) -> Registrar {
        Registrar {
            agent,
            epoch: Epoch::default(),
            epochs: store.epochs().subscribe(),
            must_read_addrs: false,
            must_write_presence: false,
            store,
            lease: None,
            renewed_at: time::Instant::now(),
            key: String::new(),
            key_state: KeyState::Unknown,
            absent_since: None,
        }
    }

    /// Keeps the record up to date until the task is dropped at the end of the process.
    pub(crate) async fn run(mut self) {
        let mut backoff = Backoff::default();
        let started = time::Instant::now();
        let may_wait = || self.agent.is_idle() || started.elapsed() < FIRST_HEARTBEAT_TIMEOUT;
        let is_leaving = || self.agent.node.leaving.get();
        while !self.agent.can_register() && !is_leaving() && may_wait() {
            time::sleep(FIRST_HEARTBEAT_POLL).await;
        }
        loop {
            self.enter_epoch().await;
            match self.advance().await {
                Ok(()) => {
                    backoff.reset();
                    self.wait_for_work().await;
                }
                Err(Error::LeaseLost) => {
                    log::info!("event=lease-lost lease={:?}", self.lease.map(|it| it.0));
                    self.agent.node.count("lease-lost");
                    self.agent.on_lapse();
                    self.lease = None;
                    self.key_state = KeyState::Unknown;
                }
                Err(Error::EpochChanged) if self.is_outdated() => {}
                Err(error) => {
                    log::debug!("event=record-delayed error=\"{error}\"");
                    let wait = backoff.next_wait(&mut rand::rng()).min(MAX_RETRY_WAIT);
                    time::sleep(wait).await;
                }
            }
        }
    }

    /// Waits until something may have to be written: the record has changed, the lease is to be
    /// renewed, the target is absent for a while, or the store has reached a later epoch.
    async fn wait_for_work(&mut self) {
        let wake_at = self.renewed_at + RENEWAL_INTERVAL;
        let wake_at = self
            .absent_since
            .map_or(wake_at, |since| wake_at.min(since + ABSENCE_DELAY));
        tokio::select! {
            () = self.agent.record_changed() => {}
            () = time::sleep_until(wake_at) => {}
            // The sender exists as long as the client.
            _ = self.epochs.changed() => {}
        }
    }

    /// Does the work that is due: obtains or renews the lease, deletes an expired presence key, and
    /// writes or deletes the record.
    async fn advance(&mut self) -> Result<()> {
        // An agent that has registered without a target waited for longer than the interval of
        // heartbeats: an earlier target is gone. Before that, a target may live.
        let registered = matches!(self.key_state, KeyState::Record(..));
        if self.agent.has_no_target() || (registered && self.agent.leaves_without_target()) {
            return self.remove_record().await;
        }
        if self.agent.leaves_without_target() {
            self.renewed_at = time::Instant::now();
            self.agent.record_removed.set(true);
            return Ok(());
        }
        self.agent.record_removed.set(false);
        let record = self.agent.record();
        let lease = match self.lease {
            Some(lease) => lease,
            None => {
                let lease = self.store.grant_lease(LEASE_TTL).await?;
                self.check_epoch()?;
                self.renewed_at = time::Instant::now();
                *self.lease.insert(lease)
            }
        };
        if self.renewed_at.elapsed() >= RENEWAL_INTERVAL {
            self.check_epoch()?;
            self.store.keep_alive(lease).await?;
            self.agent.on_renewed();
            self.renewed_at = time::Instant::now();
        }
        self.sweep_presence().await?;
        self.write_addrs(record.service).await?;
        let unregistered = self.agent.take_unregistered();
        if let (Some(at), KeyState::Record(_, revision)) = (unregistered, &self.key_state)
            && at > EpochRevision::new(self.epoch, *revision)
        {
            // The store lacked the key after the last write. The lease may have expired with it.
            self.agent.on_lapse();
            self.key_state = KeyState::Revision(0);
        }
        if let KeyState::Record(written, _) = self.key_state
            && (written == record || self.is_brief_absence(&written, &record))
        {
            return Ok(());
        }
        self.write_record(lease, record).await
    }

    /// Whether the target is absent in `record` but not in `written`, and has been for less than
    /// [`ABSENCE_DELAY`]. Sets `absent_since` when the absence starts, and clears it when it ends.
    fn is_brief_absence(&mut self, written: &AgentRecord, record: &AgentRecord) -> bool {
        let newly_absent = record.state == TargetState::Absent && written.state != record.state;
        if !newly_absent {
            self.absent_since = None;
            return false;
        }
        self.absent_since
            .get_or_insert_with(time::Instant::now)
            .elapsed()
            < ABSENCE_DELAY
    }

    /// Deletes an expired presence key if this agent is the first of its service. The store refuses
    /// that if the agent of the key is registered again.
    async fn sweep_presence(&self) -> Result<()> {
        let Some(key) = self
            .agent
            .presence_keys
            .borrow_mut()
            .take_expired(self.agent.is_first())
        else {
            return Ok(());
        };
        let swap = Swap {
            epoch: self.epoch,
            compares: vec![(key.clone(), 0)],
            removes: vec![agents::presence_key(&key)],
            ..Swap::default()
        };
        let outcome = self.store.compare_and_swap(&swap).await?;
        log::info!("event=mark-removed agent={key} outcome={outcome:?}");
        Ok(())
    }

    /// Deletes the record and the presence key, since there is no target that holds a flow. A
    /// search would otherwise wait for this agent until its lease ends, if it ends without a word.
    /// The registrar registers the agent again if another target starts.
    async fn remove_record(&mut self) -> Result<()> {
        // The lease ends by itself.
        self.renewed_at = time::Instant::now();
        self.lease = None;
        if self.key.is_empty() {
            // An earlier process of this agent may have left its keys.
            self.key = agents::agent_key(&self.agent.record());
        }
        let revision = match self.key_state {
            KeyState::Record(_, revision) | KeyState::Revision(revision) => revision,
            KeyState::Unknown => self.read_revision().await?,
        };
        let mut removes = Vec::new();
        if revision > 0 {
            removes.push(self.key.clone());
        }
        if self.agent.presence_written.get() {
            removes.push(agents::presence_key(&self.key));
        }
        if removes.is_empty() {
            self.agent.record_removed.set(true);
            return Ok(());
        }
        self.key_state = KeyState::Unknown;
        let swap = Swap {
            epoch: self.epoch,
            compares: vec![(self.key.clone(), revision)],
            removes,
            ..Swap::default()
        };
        let outcome = self.store.compare_and_swap(&swap).await?;
        log::info!("event=record-removed key={} outcome={outcome:?}", self.key);
        if let SwapOutcome::Applied(_) = outcome {
            self.key_state = KeyState::Revision(0);
            self.agent.presence_written.set(false);
            self.agent.record_removed.set(true);
        }
        Ok(())
    }

    /// Writes the record under `lease`, unless the key has changed in the store, and with it the
    /// presence key if it is missing or the reach is above [`Reach::Window`]: no entry is told of an agent
    /// without a presence key. If the service has changed, also deletes the keys under the former
    /// service.
    async fn write_record(&mut self, lease: LeaseId, mut record: AgentRecord) -> Result<()> {
        let key = agents::agent_key(&record);
        let mut removes = Vec::new();
        if self.key != key {
            if !self.key.is_empty() {
                removes.push(self.key.clone());
                removes.push(agents::presence_key(&self.key));
            }
            self.key.clone_from(&key);
            // An earlier process may have left its record. If the list didn't show it yet, the store
            // refuses the write, and the revision is read before the next one.
            let listed = self.agent.own_revision().within(self.epoch);
            self.key_state = listed.map_or(KeyState::Unknown, KeyState::Revision);
        }
        let revision = match self.key_state {
            KeyState::Revision(revision) | KeyState::Record(_, revision) => revision,
            KeyState::Unknown => {
                let revision = self.read_revision().await?;
                record = self.agent.record();
                revision
            }
        };
        // If the answer to a write is lost, the store may still apply the write later, but only
        // over this revision and so never over a newer record.
        self.key_state = KeyState::Unknown;
        let value = agents::encode(&record);
        let must_write = self.must_write_presence || record.reach > Reach::Window;
        let is_present = self.agent.presence_written.get() && !must_write;
        let presence = (agents::presence_key(&key), value.clone());
        let swap = Swap {
            epoch: self.epoch,
            compares: vec![(key.clone(), revision)],
            puts: vec![(key, value)],
            removes,
            lease: Some(lease),
            lasting: if is_present {
                Vec::new()
            } else {
                vec![presence]
            },
        };
        if let SwapOutcome::Applied(revision) = self.store.compare_and_swap(&swap).await? {
            let (state, number) = (record.state, record.number);
            log::info!("event=record-written state={state:?} number={number} revision={revision}");
            self.agent.presence_written.set(true);
            self.must_write_presence = false;
            self.key_state = KeyState::Record(record, revision);
            self.agent.on_record_stored(&record);
            self.absent_since = None;
        }
        Ok(())
    }

    /// Reads the revision of the record's key, or 0 if the key doesn't exist. Takes over what the
    /// record of an earlier process says of the target, which the next write replaces.
    async fn read_revision(&self) -> Result<u64> {
        let Some(stored) = self.read_key(&self.key).await? else {
            self.agent.on_unlisted();
            return Ok(0);
        };
        if let Ok(earlier) = agents::decode(&stored.value) {
            self.agent.inherit(&earlier);
        }
        Ok(stored.revision)
    }

    /// Reads a key. Fails if the store has reached a later epoch.
    async fn read_key(&self, key: &str) -> Result<Option<KeyValue>> {
        let mut read = self.store.get(Range::Key(key)).await?;
        if read.epoch != self.epoch {
            return Err(Error::EpochChanged);
        }
        Ok(read.found.pop())
    }
}
