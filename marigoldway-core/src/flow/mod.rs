//! Forwarding of flows that are identified only by addresses and ports.
//!
//! QUIC connection IDs encode the route to a target. The system also forwards
//! flows whose packets only the two endpoints may write, so the packets can't
//! carry a route. A packet of such a flow may arrive at an entry that has never
//! seen the flow, and the entry must find the agent that holds it:
//!
//! - An [`entry::EntryFlows`] remembers which agent it sent a flow to, selects
//!   an agent for a new flow ([`selection`]), and forwards packets of unknown
//!   flows to one of the flow's two directory agents.
//! - The directory agents ([`agents`]) of a flow are the two agents of its
//!   service that rank first in a rendezvous hash of the flow's addresses.
//! - An [`agent::AgentFlows`] sees every packet to and from its target, so it
//!   knows the flows that the target holds, and registers each of them with the
//!   flow's directory agents.
//!
//! All tables hold soft state: they are bounded, and the processes that know a
//! flow rebuild its entries from packets.

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
