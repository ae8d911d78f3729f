//! Decisions under overload: when more requests arrive than the targets of a service can run.
//!
//! | Module | Decides | Where | From |
//! | --- | --- | --- | --- |
//! | [`overflow`] | whether a new flow goes to another service of its route | entry; the receiving agent confirms it | loads that agents reported; the agent's own slots |
//! | [`occupancy`] | whether a target has capacity that its own service doesn't use | agent | the agent's own slots over time |
//! | [`shedding`] | whether a new flow is reset because its request can't be served in time | the last agent that could accept it | the agent's own queue |
//! | [`order`] | which queued request is admitted next | agent | priority, time left, clients |
//!
//! The slot queue ([`slot_queue`](crate::flow::agent::slot_queue)) keeps the requests. A target that
//! rejects a request is handled where its packets are ([`agent`](crate::flow::agent)): only an
//! opening packet can go to another target, and it does so once.

pub mod occupancy;
pub mod order;
pub mod overflow;
pub mod shedding;
