//! The agent's own record: what the registrar writes, and what it learns of the store.

use marigoldway_core::flow::message::AgentRecord;
use marigoldway_core::replica::epoch::EpochRevision;

use crate::packets::agent::Agent;

impl Agent {
    /// The agent's record with the current state of its target.
    pub(crate) fn record(&self) -> AgentRecord {
        self.flows.borrow().hello(self.node.clock.now()).record
    }

    /// Announces the record and wakes the registrar if the record has changed.
    pub(super) fn review_record(&self) {
        let number = self.flows.borrow().record_number();
        if self.announced_number.replace(number) == number {
            return;
        }
        let AgentRecord { state, reach, .. } = self.record();
        log::info!("event=target-state state={state:?} reach={reach:?} number={number}");
        self.send_hello_to_entries(usize::MAX);
        self.record_dirty.notify_one();
    }

    /// Notes that the store has a record of this process.
    pub(crate) fn on_record_stored(&self, record: &AgentRecord) {
        self.flows.borrow_mut().on_record_stored(record.number);
    }

    /// Takes over what the store's record of an earlier process of this agent says of the target.
    pub(crate) fn inherit(&self, earlier: &AgentRecord) {
        let now = self.node.clock.now();
        self.flows.borrow_mut().inherit(now, earlier);
    }

    /// Waits until the record may have to be written to the store again.
    pub(crate) async fn record_changed(&self) {
        self.record_dirty.notified().await;
    }

    /// Takes the revision at which the store's list last lacked the own record. `None`
    /// if it was taken before.
    pub(crate) fn take_unregistered(&self) -> Option<EpochRevision> {
        self.unregistered_at.take()
    }

    /// Notes that the lease of the own record has ended, and announces the agent to its peers again.
    pub(crate) fn on_lapse(&self) {
        let mut flows = self.flows.borrow_mut();
        flows.on_lapse(self.node.clock.now());
        flows.announce_again();
    }

    /// Notes that the store has no record of the agent.
    pub(crate) fn on_unlisted(&self) {
        let now = self.node.clock.now();
        self.flows.borrow_mut().on_unlisted(now);
    }

    /// Notes that the store has renewed the lease of the own record.
    pub(crate) fn on_renewed(&self) {
        self.flows.borrow_mut().on_renewed();
    }
}
