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
    let rank = |(place, id): &(NameKey, InstanceId)| {
        (*place != domain, mix(own.to_u64() ^ id.to_u64()), *id)
    };
    sorted(agents, rank)
}

/// The agents that follow the store, in the order in which they ask each other: that is the same in
/// all processes that know the same agents.
pub fn ranked(agents: &Agents) -> Vec<InstanceId> {
    sorted(agents, |(_, id)| (mix(RANK_HASH ^ id.to_u64()), *id))
}

/// The followers with their failure domains, sorted by `rank`.
fn sorted<K: Ord>(
    agents: &Agents,
    rank: impl FnMut(&(NameKey, InstanceId)) -> K,
) -> Vec<InstanceId> {
    let domains = agents.services().flat_map(|service| &service.domains);
    let followers = domains.filter_map(|(domain, ring)| {
        let follower = ring.walk(RANK_HASH).find(|id| can_follow(agents, *id))?;
        Some((*domain, follower))
    });
    let mut followers: Vec<(NameKey, InstanceId)> = followers.collect();
    followers.sort_by_key(rank);
    followers.into_iter().map(|(_, id)| id).collect()
}

/// Whether an agent can follow the store: it is registered and won't leave soon.
fn can_follow(agents: &Agents, id: InstanceId) -> bool {
    let record = agents.record(id);
    agents.is_registered(id) && record.is_some_and(|it| it.state == TargetState::Serving)
}
