//! Carries out the actions that the core decides on.

use marigoldway_core::flow::agent::AgentAction;
use marigoldway_core::flow::key::FlowKey;
use marigoldway_net::wire::flows;
use marigoldway_platform::packet;

use crate::packets::agent::Agent;

impl Agent {
    /// Logs or counts `actions` and carries them out. `flow` and `packet` are those of the current
    /// packet: `None` and empty if the actions don't follow from a packet.
    pub(super) fn execute(
        &self,
        flow: Option<&FlowKey>,
        packet: &mut [u8],
        actions: &[AgentAction],
    ) {
        for action in actions {
            self.log_action(flow, packet, action);
            match action {
                AgentAction::ToTarget => {
                    let target = self.settings.borrow().target;
                    self.node.send_on(&self.outbound, target, packet);
                }
                AgentAction::Release(release) => {
                    let target = self.settings.borrow().target;
                    for queued in &release.packets {
                        self.node.send_on(&self.outbound, target, queued);
                    }
                }
                AgentAction::ReleaseOpening(release) => {
                    let target = self.settings.borrow().target;
                    self.node.send_on(&self.outbound, target, &release.packet);
                }
                AgentAction::MoveOpening(agent, header, _, queued) => {
                    let mut buffer = self.buffer.borrow_mut();
                    flows::write_packet(header, queued, &mut buffer);
                    self.node.send(agent.0, &buffer);
                }
                AgentAction::ToClient => {
                    if let Some(flow) = flow {
                        self.node.send_client(&self.outbound, flow.client, packet);
                    }
                }
                AgentAction::ToAgents(agents, header) => {
                    let mut buffer = self.buffer.borrow_mut();
                    flows::write_packet(header, packet, &mut buffer);
                    for agent in agents {
                        self.node.send(agent.0, &buffer);
                    }
                }
                AgentAction::ToEntry(entry, report) => {
                    self.node.send(entry.0, &flows::encode_flow_report(report));
                }
                AgentAction::SendHello(agents) => {
                    let now = self.node.clock.now();
                    let hello = flows::encode_hello(&self.flows.borrow().hello(now));
                    for agent in agents {
                        self.node.send(agent.0, &hello);
                    }
                }
                AgentAction::Query(agent, entry, query) => {
                    self.node.send(agent.0, &flows::encode_query(*entry, query));
                }
                AgentAction::ToSearcher(searcher, not_held) => {
                    self.node
                        .send(searcher.0, &flows::encode_not_held(not_held));
                }
                AgentAction::ToDirectory(directory_agent, update) => {
                    let datagram = flows::encode_directory_update(update);
                    self.node.send(directory_agent.0, &datagram);
                }
                AgentAction::Reset(reset, _) => {
                    let reset_packet = packet::encode_reset(reset);
                    let client = reset.flow.client;
                    self.node.send_client(&self.outbound, client, &reset_packet);
                }
                AgentAction::Queue
                | AgentAction::OpeningPassedOn
                | AgentAction::OpeningQueued(..)
                | AgentAction::OpeningDropped(_)
                | AgentAction::SearchWaits(..)
                | AgentAction::Request(_)
                | AgentAction::Answered(..)
                | AgentAction::Unanswered(_)
                | AgentAction::TargetReset(..)
                | AgentAction::TimedOut(_)
                | AgentAction::ClientGone(_)
                | AgentAction::Drop(_) => {}
            }
        }
    }
}
