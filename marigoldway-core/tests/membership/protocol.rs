//! Rosters converge under message loss, process failures, suspensions and
//! network partitions.

use std::time::Duration;

use proptest::prelude::*;

use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::Incarnation;
use marigoldway_core::membership::Event;
use marigoldway_core::membership::Input;
use marigoldway_core::membership::MembershipOptions;
use marigoldway_core::message::Delta;
use marigoldway_core::message::Message;
use marigoldway_core::roster::State;

use crate::fleet::Fleet;
use crate::fleet::instance;
use crate::fleet::record;

/// Longer than any test runs, so that a timeout of this length disables a mechanism.
const NEVER: Duration = Duration::from_secs(1_000_000);

const SECOND: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);

/// Starts a fleet of `entries` entries and `agents` agents in each of `domains`
/// domains, and runs it until all processes hold the same roster.
fn converged_fleet(
    seed: u64,
    options: MembershipOptions,
    domains: u8,
    entries: u32,
    agents: u32,
) -> Fleet {
    let mut fleet = Fleet::new(seed, options);
    fleet.populate(domains, entries, agents);
    let joined = fleet.run_until(300 * SECOND, Fleet::agrees);
    assert!(joined.is_some(), "the fleet didn't converge");
    fleet.run(3 * SECOND);
    fleet.events.clear();
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    #[test]
    fn roster_converges_under_loss_and_duplication(
        seed: u64,
        loss in 0.0..0.3_f64,
        duplicated in 0.0..0.5_f64,
        leaving in 0..3_u32,
    ) {
        let mut fleet = converged_fleet(seed, MembershipOptions::default(), 3, 2, 3);
        fleet.loss = loss;
        fleet.duplicated = duplicated;
        fleet.input(instance(15_000 + leaving), Input::State(State::Leaving));
        fleet.kill(instance(25_000 + leaving));
        fleet.start(record(36_000, Some(1), 3, 2));
        fleet.run(20 * SECOND);
        // Instances are marked and refute the marks while heartbeats are lost.
        // The rosters converge once the loss ends.
        fleet.loss = 0.0;
        let agreed = fleet.run_until(20 * SECOND, Fleet::agrees);
        prop_assert!(agreed.is_some());
        prop_assert!(fleet.all_have_state(instance(15_000 + leaving), State::Leaving));
        prop_assert!(fleet.all_have_state(instance(25_000 + leaving), State::Down));
        prop_assert!(fleet.all_have_state(instance(36_000), State::Serving));
    }
}

#[test]
fn roster_is_stable_without_faults() {
    let mut fleet = converged_fleet(1, MembershipOptions::default(), 3, 4, 6);
    fleet.run(60 * SECOND);
    assert_eq!(
        fleet.events.iter().filter(|(_, it)| is_change(it)).count(),
        0
    );
}

/// Returns whether an event reports a change of the roster or of the process itself.
fn is_change(event: &Event) -> bool {
    !matches!(event, Event::Revision { .. } | Event::Peer(_))
}

#[test]
fn leaving_target_receives_no_flows_after_three_seconds() {
    let mut fleet = converged_fleet(2, MembershipOptions::default(), 3, 10, 5);
    let target = instance(15_000);
    assert!(fleet.places_on(&[target]));
    fleet.input(target, Input::State(State::Leaving));
    let took = fleet.run_until(30 * SECOND, |it| !it.places_on(&[target]));
    assert!(took.unwrap() <= 3 * SECOND, "took {took:?}");
}

#[test]
fn leaving_target_still_receives_flows_with_gossip_off() {
    let mut options = MembershipOptions::default();
    options.gossip.rate = 0;
    options.gossip.burst = 0;
    let mut fleet = Fleet::new(2, options);
    fleet.populate(3, 10, 5);
    fleet.run(60 * SECOND);
    let target = instance(15_000);
    fleet.input(target, Input::State(State::Leaving));
    fleet.run(3 * SECOND);
    assert!(fleet.places_on(&[target]));
}

#[test]
fn dead_target_is_suspect_everywhere_within_three_seconds() {
    let mut fleet = converged_fleet(3, MembershipOptions::default(), 3, 3, 5);
    let target = instance(25_001);
    fleet.kill(target);
    let took = fleet.run_until(30 * SECOND, |it| !it.places_on(&[target]));
    assert!(took.unwrap() <= 3 * SECOND, "took {took:?}");
    assert!(
        fleet
            .run_until(15 * SECOND, |it| it.all_have_state(target, State::Down))
            .is_some()
    );
    let removal = fleet.options.removal_delay + 5 * SECOND;
    fleet.run(removal);
    assert!(
        fleet
            .running()
            .all(|it| it.roster().record(target).is_none())
    );
}

#[test]
fn target_that_dies_during_slow_start_is_suspect_within_three_seconds() {
    let options = MembershipOptions::default();
    let mut fleet = converged_fleet(7, options, 3, 1, 3);
    let dead = instance(15_000);
    // Each step of the slow start raises the version, which must not count as
    // the refutation of a mark.
    for weight in [20, 40, 60, 80, 100] {
        fleet.input(dead, Input::Weight(weight));
        fleet.run(50 * MILLISECOND);
    }
    fleet.kill(dead);
    fleet.run(3 * SECOND);
    assert!(fleet.all_have_state(dead, State::Suspect));
}

#[test]
fn dead_entry_is_marked_down_and_its_agents_stay_serving() {
    // With one entry per domain, its agents get monitors in other domains.
    let mut fleet = converged_fleet(4, MembershipOptions::default(), 3, 1, 3);
    fleet.kill(instance(10_000));
    let is_down = |it: &Fleet| it.all_have_state(instance(10_000), State::Down);
    assert!(fleet.run_until(20 * SECOND, is_down).is_some());
    fleet.run(20 * SECOND);
    for n in 0..3 {
        assert!(fleet.all_have_state(instance(15_000 + n), State::Serving));
        assert!(fleet.places_on(&[instance(15_000 + n)]));
    }
}

#[test]
fn entries_restarted_at_once_recover_the_agents() {
    let mut fleet = converged_fleet(5, MembershipOptions::default(), 3, 1, 3);
    for domain in 1..=3_u8 {
        let mut own = record(u32::from(domain) * 10_000, None, domain, domain.div_ceil(2));
        own.incarnation = Incarnation(2);
        fleet.start(own);
    }
    let is_complete = |it: &Fleet| it.agrees() && it.entries().all(|it| it.roster().len() == 12);
    let took = fleet.run_until(20 * SECOND, is_complete);
    assert!(took.is_some_and(|it| it <= 5 * SECOND), "took {took:?}");
}

#[test]
fn restarted_process_replaces_the_old_incarnation() {
    let mut fleet = converged_fleet(6, MembershipOptions::default(), 3, 1, 3);
    let id = instance(15_000);
    let mut old = fleet.processes.swap_remove(&id).unwrap();
    let mut own = record(15_000, Some(1), 1, 1);
    own.incarnation = Incarnation(2);
    fleet.start(own.clone());
    let is_known = |it: &Fleet| {
        let incarnation =
            |it: &marigoldway_core::roster::Roster| it.record(id).map(|it| it.incarnation);
        it.running()
            .all(|it| incarnation(it.roster()) == Some(Incarnation(2)))
    };
    assert!(fleet.run_until(5 * SECOND, is_known).is_some());

    // The old incarnation resumes and learns from an answer that it is replaced.
    old.frozen = false;
    fleet.processes.insert(id, old);
    fleet.events.clear();
    fleet.run(3 * SECOND);
    assert!(fleet.events.contains(&(id, Event::Replaced)));
}

#[test]
fn frozen_target_resumes_with_a_higher_version() {
    let mut fleet = converged_fleet(7, MembershipOptions::default(), 3, 2, 3);
    let id = instance(15_000);
    fleet.freeze(id);
    fleet.run(12 * SECOND);
    assert!(fleet.all_have_state(id, State::Down));
    let version = fleet
        .entries()
        .next()
        .unwrap()
        .roster()
        .record(id)
        .unwrap()
        .version;
    fleet.thaw(id);
    let took = fleet.run_until(10 * SECOND, |it| it.all_have_state(id, State::Serving));
    assert!(took.is_some_and(|it| it <= 3 * SECOND), "took {took:?}");
    assert!(fleet.processes[&id].membership.own().version > version);
    // No process marked any other instance.
    let marks_another =
        |it: &Event| matches!(it, Event::Marked { id: marked, .. } if *marked != id);
    assert!(!fleet.events.iter().any(|(_, it)| marks_another(it)));
}

/// Number of marks that an entry sets within five seconds after a suspension of ten
/// seconds.
fn marks_after_sleep(options: MembershipOptions) -> usize {
    let mut fleet = converged_fleet(8, options, 3, 1, 3);
    fleet.freeze(instance(10_000));
    fleet.run(10 * SECOND);
    fleet.events.clear();
    fleet.thaw(instance(10_000));
    fleet.run(5 * SECOND);
    let is_by_frozen_entry = |it: &&(_, Event)| it.0 == instance(10_000);
    let marks = fleet.events.iter().filter(is_by_frozen_entry);
    marks
        .filter(|(_, it)| matches!(it, Event::Marked { .. }))
        .count()
}

#[test]
fn frozen_entry_marks_no_instance_after_it_resumes() {
    // Both the domain timeout and the inquiry after a suspension prevent marks, so
    // each mechanism is tested with the other one disabled.
    let neither = MembershipOptions {
        pause_limit: NEVER,
        domain_timeout: NEVER,
        ..MembershipOptions::default()
    };
    let only_inquiry = MembershipOptions {
        domain_timeout: NEVER,
        ..MembershipOptions::default()
    };
    let only_domain_timeout = MembershipOptions {
        pause_limit: NEVER,
        ..MembershipOptions::default()
    };
    assert!(marks_after_sleep(neither) > 0, "the fault doesn't occur");
    assert_eq!(marks_after_sleep(only_inquiry), 0);
    assert_eq!(marks_after_sleep(only_domain_timeout), 0);
    assert_eq!(marks_after_sleep(MembershipOptions::default()), 0);
}

/// Kills all processes of a domain and returns whether entries still place
/// flows there seven seconds later.
fn places_on_dead_domain(options: MembershipOptions) -> bool {
    let mut fleet = converged_fleet(9, options, 3, 4, 12);
    for n in 0..4 {
        fleet.kill(instance(10_000 + n));
    }
    let agents: Vec<_> = (0..12).map(|n| instance(15_000 + n)).collect();
    agents.iter().for_each(|id| fleet.kill(*id));
    fleet.run(7 * SECOND);
    fleet.places_on(&agents)
}

#[test]
fn lost_domain_receives_no_flows() {
    // The ratio of gossip budget to domain size is that of a full-size fleet.
    let mut options = MembershipOptions::default();
    options.gossip.rate = 300;
    options.gossip.burst = 300;
    let without_timeout = MembershipOptions {
        domain_timeout: NEVER,
        ..options
    };
    assert!(
        places_on_dead_domain(without_timeout),
        "the fault doesn't occur"
    );
    assert!(!places_on_dead_domain(options));
}

#[test]
fn cut_region_is_lost_and_heals() {
    let mut fleet = converged_fleet(10, MembershipOptions::default(), 4, 3, 4);
    let far: Vec<_> = (0..4).map(|n| instance(35_000 + n)).collect();
    fleet.cut = vec![DomainId(3), DomainId(4)];
    fleet.run(60 * SECOND);
    for entry in fleet.entries() {
        let is_near = entry.own().domain.0 <= 2;
        let view = entry.view();
        for key in 0..200 {
            let key = marigoldway_core::placement::mix(key);
            let first = view
                .candidates(marigoldway_core::ids::ServiceId(1), key)
                .unwrap()
                .first;
            let domain = view.record(first).unwrap().domain.0;
            assert_eq!(domain <= 2, is_near);
        }
    }

    fleet.cut.clear();
    let healed = fleet.run_until(60 * SECOND, |it| it.agrees() && it.places_on(&far[..1]));
    assert!(
        healed.is_some_and(|it| it <= 20 * SECOND),
        "took {healed:?}"
    );
    for id in far {
        assert!(fleet.all_have_state(id, State::Serving));
    }
}

/// Number of marks within a minute after all processes of a domain were killed.
fn marks_on_lost_domain(options: MembershipOptions) -> usize {
    let mut fleet = converged_fleet(11, options, 3, 4, 40);
    let lost: Vec<_> = (0..4)
        .map(|n| instance(10_000 + n))
        .chain((0..40).map(|n| instance(15_000 + n)))
        .collect();
    lost.iter().for_each(|id| fleet.kill(*id));
    fleet.run(60 * SECOND);
    let is_mark = |event: &Event| matches!(event, Event::Marked { .. });
    fleet.events.iter().filter(|(_, it)| is_mark(it)).count()
}

#[test]
fn lost_domain_is_reported_by_its_counter_and_not_by_marks() {
    let without_timeout = MembershipOptions {
        domain_timeout: NEVER,
        ..MembershipOptions::default()
    };
    let without = marks_on_lost_domain(without_timeout);
    let with = marks_on_lost_domain(MembershipOptions::default());
    assert!(without >= 2 * 44, "the fault doesn't occur: {without}");
    assert!(with < 4, "{with}");
}

#[test]
fn lost_domain_is_removed_and_rejoins() {
    let mut fleet = converged_fleet(12, MembershipOptions::default(), 4, 2, 2);
    fleet.cut = vec![DomainId(3), DomainId(4)];
    let removal = fleet.options.removal_delay + 10 * SECOND;
    fleet.run(removal);
    assert!(fleet.running().all(|it| it.roster().len() == 8));
    fleet.cut.clear();
    let is_complete = |it: &Fleet| it.agrees() && it.running().all(|it| it.roster().len() == 16);
    assert!(fleet.run_until(60 * SECOND, is_complete).is_some());
}

/// Number of marks within two minutes if one of a target's three monitors can't
/// reach it.
fn marks_over_broken_path(max_backoff: u32) -> usize {
    let mut options = MembershipOptions::default();
    options.monitor.max_backoff = max_backoff;
    let mut fleet = converged_fleet(13, options, 3, 1, 3);
    fleet.blocked = vec![(instance(10_000), instance(15_000))];
    fleet.run(120 * SECOND);
    assert!(fleet.all_have_state(instance(15_000), State::Serving) || max_backoff == 1);
    let is_mark = |event: &Event| matches!(event, Event::Marked { .. });
    fleet.events.iter().filter(|(_, it)| is_mark(it)).count()
}

#[test]
fn broken_path_to_one_monitor_backs_off_marks() {
    let without = marks_over_broken_path(1);
    let with = marks_over_broken_path(16);
    assert!(without > 20, "the fault doesn't occur: {without}");
    assert!(with <= 8, "{with}");
}

#[test]
fn joining_entry_receives_a_large_roster_at_once() {
    let mut fleet = Fleet::new(14, MembershipOptions::default());
    fleet.start(record(10_000, None, 1, 1));
    let records = (0..7_000).map(|n| record(20_000 + n, Some(1), 2, 1));
    let message = Message::Delta(Delta {
        records: records.collect(),
        counters: Vec::new(),
    });
    let from = record(20_000, Some(1), 2, 1).control;
    fleet.input(instance(10_000), Input::Receive { from, message });

    // The instances don't run. The time is too short for a monitor to mark them.
    fleet.start(record(10_001, None, 1, 1));
    fleet.run(1_500 * MILLISECOND);
    let joining = &fleet.processes[&instance(10_001)].membership;
    assert_eq!(joining.roster().len(), 7_002);
}
