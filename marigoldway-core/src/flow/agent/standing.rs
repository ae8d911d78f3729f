//! Tells since when the store has listed this agent without interruption.
//!
//! While an agent isn't listed, flows are placed past it. A search that counted it among the agents that
//! precede a holder, as if it had always been there, wouldn't ask the holder. So the record of an agent
//! that is listed again says since when. An agent whose lease has lapsed stays known while it answers
//! probes, so a lapse alone is no interruption.

use std::time::Duration;

use crate::flow::agent::AgentFlows;
use crate::flow::agents::UNREGISTERED_LIFETIME;
use crate::flow::message::AgentRecord;
use crate::time::Timestamp;

impl AgentFlows {
    /// Notes that a message of another process has arrived.
    pub fn on_heard(&mut self, now: Timestamp) {
        self.isolated |= self.is_silent(now);
        self.last_heard = now;
    }

    /// Notes that the store has renewed the lease of the agent's record.
    pub fn on_renewed(&mut self) {
        self.isolated = false;
    }

    /// Notes that the lease of the agent's record has ended. If no other process can have known the
    /// agent by its answers meanwhile, it is listed anew.
    pub fn on_lapse(&mut self, now: Timestamp) {
        if self.isolated || self.is_silent(now) {
            self.list_anew(now);
        }
        self.isolated = false;
    }

    /// Takes over since when the agent is listed from the store's lists of records and of presence
    /// records. Without a record, which its lease keeps from one process to the next, others may have
    /// removed the agent before this process started. Without a presence record, none was ever told
    /// of it.
    pub(super) fn inherit_listing(
        &mut self,
        now: Timestamp,
        records: &[AgentRecord],
        presence: &[AgentRecord],
    ) {
        let own = |it: &&AgentRecord| it.id == self.options.own;
        let (record, present) = (records.iter().find(own), presence.iter().find(own));
        if let Some(known) = record.or(present) {
            self.held_at = self.held_at.or(known.held_at);
        }
        if let Some(record) = record {
            return self.inherit_record(record);
        }
        self.list_anew(now);
        if present.is_none() && !self.has_moved {
            self.held_at = self.listed_at;
        }
        self.update_number(now);
    }

    /// Takes over since when the agent is listed from its record.
    pub(super) fn inherit_record(&mut self, record: &AgentRecord) {
        self.listed_at = self.listed_at.max(record.listed_at);
        self.held_at = self.held_at.or(record.held_at);
    }

    /// Notes that the store has no record of the agent, before it was read with the list.
    pub fn on_unlisted(&mut self, now: Timestamp) {
        if !self.agents.is_loaded() {
            self.list_anew(now);
        }
    }

    fn list_anew(&mut self, now: Timestamp) {
        self.listed_at = Some(self.unix_ms_before(now, Duration::ZERO));
        self.update_number(now);
    }

    /// Whether no message has arrived for as long as others keep an agent that isn't registered.
    fn is_silent(&self, now: Timestamp) -> bool {
        now.since(self.last_heard) > UNREGISTERED_LIFETIME
    }
}
