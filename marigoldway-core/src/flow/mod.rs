//! This module forwards flows that are identified only by addresses and ports.
//!
//! An entry is a process that receives packets from clients. Any entry may
//! receive any packet. An agent is a process beside one target, which is a server
//! that holds flows. Entries forward packets to agents, and each agent delivers
//! packets to its target.
//!
//! QUIC connection IDs encode the route to a target. The system also forwards
//! flows whose packets only the two endpoints may write, so the packets can't
//! carry a route. A packet of such a flow may arrive at an entry that has never
//! seen the flow. The entry must then find the agent whose target holds the flow:
//!
//! - An [`entry::EntryFlows`] decides for an entry. It remembers which agent holds
//!   a flow, selects an agent for a new flow ([`selection`]), and forwards packets
//!   of unknown flows to one of the flow's two directory agents.
//! - A flow has an order of the agents of its service ([`ring`]). Its directory agents
//!   ([`agents`]) are the first two of them.
//! - Only the first few agents in that order may receive a flow, so every process can
//!   compute which ones may hold it ([`candidates`]).
//! - Agents estimate the capacity of their targets, and placement compares the estimates
//!   ([`capacity`]).
//! - An [`addr_services::AddrServices`] keeps which services an address had within the
//!   lifetime of a flow. The directory agents of all of them are asked. The record of
//!   moved routes ([`route_moves`]) tells it what came before its own start.
//! - An [`agent::AgentFlows`] decides for an agent. It processes every packet to
//!   and from its target, so it knows the flows that the target holds. It registers
//!   each of them with the flow's directory agents.
//! - The decisions under overload are in one folder ([`overload`]).
//!
//! All flow tables hold soft state: they are bounded, and a lost record of a flow
//! is rebuilt from the flow's packets by the processes that know the flow.

pub mod addr_services;
pub mod agent;
pub mod agents;
pub mod candidates;
pub mod capacity;
pub mod drains;
pub mod entry;
pub mod key;
pub mod message;
pub mod overload;
pub mod ring;
pub mod route_moves;
pub mod routes;
pub mod segment;
pub mod selection;
pub(crate) mod service_agents;
pub mod table;
pub mod target;
