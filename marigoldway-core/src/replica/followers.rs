//! This module determines which agents follow the store for the other processes.
//!
//! They are computed from the known agents, without any election. Processes that know other agents
//! may disagree for a while: two followers cost only calls, and a process that finds none reads the
//! store itself.

use crate::flow::agents::Agents;
use crate::flow::key::NameKey;
use crate::flow::message::TargetState;
use crate::ids::InstanceId;
use crate::placement::mix;

/// Hash from which the agents of a domain are ordered to select the follower.
const RANK_HASH: u64 = 0x666f_6c6c_6f77;

/// The agents that follow the store, one for each service and failure domain, in the order in which
/// the process `own` in `domain` asks them: those of the own domain first. Different processes
/// start with different ones.
pub fn followers(agents: &Agents, domain: NameKey, own: InstanceId) -> Vec<InstanceId> {
    let mut followers: Vec<(bool, u64, InstanceId)> = Vec::new();
    for service in agents.services() {
        for (place, ring) in &service.domains {
            let follower = ring.walk(RANK_HASH).find(|id| can_follow(agents, *id));
            let Some(id) = follower else {
                continue;
            };
            followers.push((*place != domain, mix(own.to_u64() ^ id.to_u64()), id));
        }
    }
    followers.sort();
    followers.into_iter().map(|(_, _, id)| id).collect()
}

/// Whether the agent `own` follows the store for other processes, as far as it knows.
pub fn is_follower(agents: &Agents, domain: NameKey, own: InstanceId) -> bool {
    followers(agents, domain, own).contains(&own)
}

/// Whether an agent can follow the store: it is registered and won't leave soon.
fn can_follow(agents: &Agents, id: InstanceId) -> bool {
    let record = agents.record(id);
    agents.is_registered(id) && record.is_some_and(|it| it.state == TargetState::Serving)
}
