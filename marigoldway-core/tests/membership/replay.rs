//! Replays the traces of `tests/traces` against membership state machines.

use std::time::Duration;

use indexmap::IndexMap;

use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::membership::Input;
use marigoldway_core::membership::MembershipOptions;
use marigoldway_core::roster::State;
use marigoldway_core::time::Timestamp;

use crate::fleet::Fleet;
use crate::fleet::instance;
use crate::fleet::record;
use crate::trace;
use crate::trace::Step;

/// Processes are replaced while a storm warning is out.
const SUNGUR_DANA: &str = include_str!("../traces/sungur_dana_evening.trace");
/// Half of the entries and half of the agents fail together.
const WAQT_SAANJHA: &str = include_str!("../traces/waqt_saanjha_evening.trace");

struct Replay {
    fleet: Fleet,
    /// Instance numbers of the processes by their names in the trace.
    names: IndexMap<String, u32>,
    /// Incarnation of the process that was started last.
    incarnations: u32,
}

impl Replay {
    fn id(&self, name: &str) -> InstanceId {
        let number = self.names.get(name);
        instance(*number.unwrap_or_else(|| panic!("no process {name}")))
    }

    /// Starts a process. A process that starts again under its name keeps its instance.
    fn start(&mut self, name: String, domain: u8, service: Option<u16>) {
        let next = u32::from(domain) * 10_000 + self.names.len() as u32;
        let number = *self.names.entry(name).or_insert(next);
        let mut own = record(number, service, domain, 1);
        self.incarnations += 1;
        own.incarnation.0 = self.incarnations;
        self.fleet.start(own);
    }

    /// Executes a step. Returns false if the step is an expectation that fails.
    fn step(&mut self, step: Step) -> bool {
        match step {
            Step::Start {
                name,
                domain,
                service,
            } => self.start(name, domain, service),
            Step::Leave(name) => {
                let id = self.id(&name);
                self.fleet.input(id, Input::State(State::Leaving));
            }
            Step::Kill(name) => self.fleet.kill(self.id(&name)),
            Step::Freeze(name) => self.fleet.freeze(self.id(&name)),
            Step::Thaw(name) => self.fleet.thaw(self.id(&name)),
            Step::Cut(domain) => self.fleet.cut.push(DomainId(domain)),
            Step::Heal => self.fleet.cut.clear(),
            Step::Loss(loss) => self.fleet.loss = loss,
            Step::ExpectState(name, state) => {
                return self.fleet.all_have_state(self.id(&name), state);
            }
            Step::ExpectPlaced(name) => return self.fleet.places_on(&[self.id(&name)]),
            Step::ExpectUnplaced(name) => return !self.fleet.places_on(&[self.id(&name)]),
            Step::ExpectUnplacedOutside(domain) => return self.avoids(DomainId(domain)),
            Step::ExpectServing(service, count) => return self.serves(service, count),
            Step::ExpectAgreed => return self.fleet.entries_agree(),
        }
        true
    }

    /// Returns whether no entry outside `domain` has an agent of the domain as a
    /// candidate for any of 500 flows of service 1.
    fn avoids(&self, domain: DomainId) -> bool {
        let is_outside = |it: &&_| !self.fleet.is_in_domain(it, domain);
        self.fleet.entries().filter(is_outside).all(|entry| {
            let view = entry.view();
            (0..500).all(|key| {
                let key = marigoldway_core::placement::mix(key);
                let choice = view.candidates(ServiceId(1), key).unwrap();
                let is_inside = |id| view.record(id).map(|it| it.domain) == Some(domain);
                !is_inside(choice.first) && !choice.second.is_some_and(is_inside)
            })
        })
    }

    /// Returns whether every entry holds exactly `count` serving agents of a service.
    fn serves(&self, service: u16, count: usize) -> bool {
        self.fleet
            .entries()
            .all(|it| it.view().serving(ServiceId(service)).count() == count)
    }
}

/// Replays a trace and returns the text of the lines whose expectation failed.
fn replay(text: &str, options: MembershipOptions) -> Vec<String> {
    let mut replay = Replay {
        fleet: Fleet::new(1, options),
        names: IndexMap::new(),
        incarnations: 0,
    };
    let mut failed = Vec::new();
    for line in trace::parse(text).unwrap() {
        let wait = line
            .at
            .saturating_sub(replay.fleet.now.since(Timestamp::ZERO));
        replay.fleet.run(wait);
        if !replay.step(line.step) {
            failed.push(line.text);
        }
    }
    failed
}

/// Options that disable gossip: no process propagates the changes it receives.
fn without_gossip() -> MembershipOptions {
    let mut options = MembershipOptions::default();
    options.gossip.rate = 0;
    options.gossip.burst = 0;
    options
}

/// Options under which monitors never mark a silent instance.
fn without_marks() -> MembershipOptions {
    let mut options = MembershipOptions::default();
    options.monitor.suspect = Duration::from_secs(1_000_000);
    options
}

#[test]
fn replay_of_sungur_dana_holds() {
    let none: Vec<String> = Vec::new();
    assert_eq!(replay(SUNGUR_DANA, MembershipOptions::default()), none);
    assert!(!replay(SUNGUR_DANA, without_gossip()).is_empty());
    assert!(!replay(SUNGUR_DANA, without_marks()).is_empty());
}

#[test]
fn replay_of_waqt_saanjha_holds() {
    let none: Vec<String> = Vec::new();
    assert_eq!(replay(WAQT_SAANJHA, MembershipOptions::default()), none);
    assert!(!replay(WAQT_SAANJHA, without_gossip()).is_empty());
    assert!(!replay(WAQT_SAANJHA, without_marks()).is_empty());
}

#[test]
fn parse_names_the_line_that_is_wrong() {
    let error = trace::parse("00:00:01 leave a\n00:00:00 heal\n").unwrap_err();
    assert_eq!(error, "line 2: 00:00:00 heal");
    assert!(trace::parse("00:00:01 dance a").is_err());
    assert!(trace::parse("soon leave a").is_err());
}
