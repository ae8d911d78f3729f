//! Keeps an agent's record in the store, under a lease.

use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use marigoldway_core::flow::message::AgentRecord;
use marigoldway_core::flow::message::TargetState;
use marigoldway_net::platform::LeaseId;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Range;
use marigoldway_net::platform::Swap;
use marigoldway_net::platform::SwapOutcome;
use marigoldway_net::platform::backoff::Backoff;
use marigoldway_net::platform::errors::Error;
use marigoldway_net::platform::errors::Result;
use marigoldway_net::wire::agents;
use marigoldway_platform::store::KvStore;

use crate::packets::agent::Agent;
use crate::packets::node::RETRY_MAX;

/// Life of a lease without a renewal. Entries notice a dead agent by its
/// silence long before.
const LEASE_TTL: Duration = Duration::from_secs(10);

/// Time between two renewals: two may be lost.
const RENEWAL: Duration = Duration::from_millis(3_300);

/// Time that a new process waits for its target's first word before it lists
/// itself without one.
const FIRST_WORD: Duration = Duration::from_millis(1_500);

/// Time between two looks whether the target has spoken.
const FIRST_LOOK: Duration = Duration::from_millis(20);

/// Time that a target may be absent before that is worth a call: entries that
/// send it flows are told by the agent itself.
const ABSENCE: Duration = Duration::from_secs(2);

/// What is known of the own key.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Written {
    /// Nothing: it has to be read before it can be written.
    Unknown,
    /// It has this revision, 0 if it isn't there.
    Revision(u64),
    /// It holds this record.
    Record(AgentRecord, u64),
}

/// `Registrar` keeps the record of one agent.
pub(crate) struct Registrar {
    agent: Rc<Agent>,
    store: Rc<KvStore>,
    lease: Option<LeaseId>,
    /// When the lease was last renewed.
    renewed: time::Instant,
    key: String,
    written: Written,
    /// Since when the target is absent.
    absent: Option<time::Instant>,
}

impl Registrar {
    /// Makes a registrar that has written nothing.
    pub(crate) fn new(agent: Rc<Agent>, store: Rc<KvStore>) -> Registrar {
        Registrar {
            agent,
            store,
            lease: None,
            renewed: time::Instant::now(),
            key: String::new(),
            written: Written::Unknown,
            absent: None,
        }
    }

    /// Keeps the record until the process leaves.
    pub(crate) async fn run(mut self) {
        let mut backoff = Backoff::default();
        let started = time::Instant::now();
        while !self.agent.may_list() && started.elapsed() < FIRST_WORD {
            time::sleep(FIRST_LOOK).await;
        }
        loop {
            match self.step().await {
                Ok(()) => {
                    backoff.reset();
                    let until = self.renewed + RENEWAL;
                    let until = self
                        .absent
                        .map_or(until, |since| until.min(since + ABSENCE));
                    tokio::select! {
                        () = self.agent.record_changed() => {}
                        () = time::sleep_until(until) => {}
                    }
                }
                Err(Error::LeaseLost) => {
                    log::info!("event=lease-lost lease={:?}", self.lease.map(|it| it.0));
                    self.agent.node.count("lease-lost");
                    self.lease = None;
                    self.written = Written::Unknown;
                }
                Err(error) => {
                    log::debug!("event=record-delayed error=\"{error}\"");
                    let wait = backoff.next_wait(&mut rand::rng()).min(RETRY_MAX);
                    time::sleep(wait).await;
                }
            }
        }
    }

    /// Does the next thing that is due, if any.
    async fn step(&mut self) -> Result<()> {
        if self.agent.is_over() {
            return self.remove().await;
        }
        let record = self.agent.record();
        let lease = match self.lease {
            Some(lease) => lease,
            None => {
                let lease = self.store.grant_lease(LEASE_TTL).await?;
                self.renewed = time::Instant::now();
                *self.lease.insert(lease)
            }
        };
        if self.renewed.elapsed() >= RENEWAL {
            self.store.keep_alive(lease).await?;
            self.renewed = time::Instant::now();
        }
        self.sweep().await?;
        let unlisted = self.agent.take_unlisted();
        if let (Some(at), Written::Record(_, revision)) = (unlisted, &self.written)
            && at > *revision
        {
            // The lease may have ended with the key.
            self.written = Written::Revision(0);
        }
        if let Written::Record(written, _) = self.written
            && (written == record || self.is_brief(&written, &record))
        {
            return Ok(());
        }
        if !self.agent.marked.get() {
            self.mark(&record).await?;
        }
        self.write(lease, record).await
    }

    /// Writes the mark, which outlives the lease, before the record.
    async fn mark(&mut self, record: &AgentRecord) -> Result<()> {
        let key = agents::presence_key(&agents::agent_key(record));
        let swap = Swap {
            compares: vec![(key.clone(), 0)],
            puts: vec![(key, agents::encode(record))],
            ..Swap::default()
        };
        // Refused where a former process has left one, which says the same.
        let swapped = self.store.compare_and_swap(&swap).await?;
        log::info!("event=mark-written outcome={swapped:?}");
        self.agent.marked.set(true);
        Ok(())
    }

    /// Whether the record only says that the target is absent, and not for long
    /// yet.
    fn is_brief(&mut self, written: &AgentRecord, record: &AgentRecord) -> bool {
        let absent = record.state == TargetState::Absent && written.state != record.state;
        if !absent {
            self.absent = None;
            return false;
        }
        self.absent.get_or_insert_with(time::Instant::now).elapsed() < ABSENCE
    }

    /// Deletes the mark of an agent that is gone for good, unless it is listed.
    async fn sweep(&self) -> Result<()> {
        let Some(key) = self.agent.marks.borrow_mut().take(self.agent.is_first()) else {
            return Ok(());
        };
        let swap = Swap {
            compares: vec![(key.clone(), 0)],
            removes: vec![agents::presence_key(&key)],
            ..Swap::default()
        };
        let swapped = self.store.compare_and_swap(&swap).await?;
        log::info!("event=mark-removed agent={key} outcome={swapped:?}");
        Ok(())
    }

    /// Deletes the record of an agent whose target is gone.
    async fn remove(&mut self) -> Result<()> {
        let Written::Record(_, revision) = self.written else {
            return Ok(());
        };
        self.written = Written::Unknown;
        let swap = Swap {
            compares: vec![(self.key.clone(), revision)],
            removes: vec![self.key.clone(), agents::presence_key(&self.key)],
            ..Swap::default()
        };
        let swapped = self.store.compare_and_swap(&swap).await?;
        log::info!("event=record-removed key={} outcome={swapped:?}", self.key);
        Ok(())
    }

    async fn write(&mut self, lease: LeaseId, record: AgentRecord) -> Result<()> {
        let key = agents::agent_key(&record);
        let mut removes = Vec::new();
        if self.key != key {
            if !self.key.is_empty() {
                removes.push(self.key.clone());
                removes.push(agents::presence_key(&self.key));
            }
            self.key.clone_from(&key);
            // If a former process left its record, the write is refused.
            self.written = Written::Revision(0);
        }
        let revision = match self.written {
            Written::Revision(revision) | Written::Record(_, revision) => revision,
            Written::Unknown => self.read().await?,
        };
        // A write whose answer is lost may be done later: only over this
        // revision, so never over a later record.
        self.written = Written::Unknown;
        let swap = Swap {
            compares: vec![(key.clone(), revision)],
            puts: vec![(key, agents::encode(&record))],
            removes,
            lease: Some(lease),
        };
        if let SwapOutcome::Applied(revision) = self.store.compare_and_swap(&swap).await? {
            let (state, number) = (record.state, record.number);
            log::info!("event=record-written state={state:?} number={number} revision={revision}");
            self.written = Written::Record(record, revision);
            self.absent = None;
        }
        Ok(())
    }

    async fn read(&self) -> Result<u64> {
        let read = self.store.get(Range::Key(&self.key)).await?;
        Ok(read.found.first().map_or(0, |stored| stored.revision))
    }
}
