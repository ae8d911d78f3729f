//! Flows of packets that name nothing but addresses and ports.
//!
//! Beside QUIC, whose connection IDs carry the way to a target, the system
//! forwards flows whose packets only their two ends may write. A packet of such
//! a flow may arrive at an entry that has never seen the flow, so the entry must
//! find the agent that holds it:
//!
//! - an [`entry::EntryFlows`] remembers where it sent a flow, places new flows
//!   ([`selection`]), and asks one of the flow's two homes for one it doesn't
//!   know;
//! - the homes ([`agents`]) are the two agents of the service that win a
//!   rendezvous hash of the flow's addresses;
//! - an [`agent::AgentFlows`] sees every packet in and out of its target, so it
//!   knows the flows that the target holds, and registers each at its homes.
//!
//! Every table is soft: bounded, and rebuilt from packets by those who know.

pub mod agent;
pub mod agents;
pub mod entry;
pub mod key;
pub mod message;
pub mod routes;
pub mod segment;
pub mod selection;
pub mod table;
pub mod target;
