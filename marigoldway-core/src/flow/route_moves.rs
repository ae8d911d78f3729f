//! Keeps which services the routes of addresses have lost lately, as evidence for every entry.
//!
//! A configuration that moves an address to another service leaves open flows where they are. An
//! entry that has seen the change itself asks the former service for them. One that started later
//! can't know of it by its own routes. So the agents that follow the store record each such move in
//! a key of the store, with the version of the configuration up to which the record is complete.
//! Only by a record that is complete up to its own version may an entry take the other services for
//! ruled out. The record survives the loss of all processes.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::flow::key::NameKey;
use crate::flow::routes::Routes;
use crate::replica::epoch::Epoch;
use crate::time::Timestamp;

/// Maximum number of moves in a record. With more of them it counts as incomplete, so that entries
/// ask all services for a while: a value of the store has a limited size.
const MAX_MOVES: usize = 1_000;

/// `RouteMoves` is the record of the moves within the lifetime of a flow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteMoves {
    /// Epoch of the store in which the record was written. It says nothing of other epochs.
    pub epoch: Epoch,
    /// Version of the configuration up to which moves are recorded.
    pub version: u64,
    /// Revision of the configuration's key at that version.
    pub revision: u64,
    /// Whether every move is recorded. If not, any service may hold flows to any address.
    pub complete: bool,
    /// The services that the routes of addresses have lost.
    pub moved: IndexMap<SocketAddrV4, Vec<NameKey>>,
}

/// `RouteBase` holds the services of all routes of one configuration. The store keeps it beside the
/// record, for a follower that goes on after all processes have ended: it has to compare the next
/// configuration with it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RouteBase {
    /// Version of the configuration.
    pub version: u64,
    /// Services by address.
    pub services: IndexMap<SocketAddrV4, Vec<NameKey>>,
}

impl From<&Routes> for RouteBase {
    fn from(routes: &Routes) -> RouteBase {
        let services = routes.by_addr.iter().map(|(addr, route)| {
            let shares = route.shares.iter();
            (*addr, shares.map(|it| it.service).collect())
        });
        RouteBase {
            version: routes.version,
            services: services.collect(),
        }
    }
}

impl RouteBase {
    /// The services that `next` removes from the routes, without routes that it drops: their flows
    /// end.
    fn lost(&self, next: &RouteBase) -> Vec<(SocketAddrV4, NameKey)> {
        let mut lost = Vec::new();
        for (addr, services) in &self.services {
            let Some(kept) = next.services.get(addr) else {
                continue;
            };
            let gone = services.iter().filter(|it| !kept.contains(it));
            lost.extend(gone.map(|service| (*addr, *service)));
        }
        lost
    }
}

/// `Continuity` tells whether a configuration directly follows the one before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Continuity {
    /// There was no other configuration in between.
    Next,
    /// There may have been others in between.
    Unknown,
}

/// `Sequence` is an unbroken sequence of configurations that a process has seen.
#[derive(Debug)]
struct Sequence {
    /// Version of the first configuration.
    first: u64,
    /// When the first configuration was seen.
    since: Timestamp,
    /// Whether the first configuration is known to be the first of all.
    oldest: bool,
    /// The latest configuration.
    latest: Arc<Routes>,
    /// Revision of the configuration's key at the latest one.
    revision: u64,
}

/// `MoveRecorder` decides what the store is to say of moves. Each process that follows the store has
/// one; the first of them writes.
#[derive(Debug)]
pub struct MoveRecorder {
    /// Time after which a move no longer matters: the maximum lifetime of a flow, and the time for
    /// which an entry may still place flows by the former configuration.
    retention: Duration,
    /// Epoch of the store.
    epoch: Epoch,
    sequence: Option<Sequence>,
    /// The record that the store has, or `None` before it was read.
    stored: Option<RouteMoves>,
    /// Moves that were seen here, in configurations or in the store, with the time of that.
    moved: IndexMap<(SocketAddrV4, NameKey), Timestamp>,
}

impl MoveRecorder {
    /// Creates a recorder that has seen nothing. A move matters for `retention`.
    pub fn new(retention: Duration) -> MoveRecorder {
        MoveRecorder {
            retention,
            epoch: Epoch::default(),
            sequence: None,
            stored: None,
            moved: IndexMap::new(),
        }
    }

    /// The latest configuration.
    pub fn routes(&self) -> Option<&Arc<Routes>> {
        self.sequence.as_ref().map(|it| &it.latest)
    }

    /// Notes that the store has reached another epoch. The record is read again.
    pub fn on_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
        self.stored = None;
    }

    /// Applies a configuration that the store has at a revision. Has no effect if its version isn't
    /// higher than the known one.
    pub fn on_routes(
        &mut self,
        now: Timestamp,
        routes: Arc<Routes>,
        revision: u64,
        continuity: Continuity,
    ) {
        let Some(sequence) = &mut self.sequence else {
            self.sequence = Some(Sequence::new(now, routes, revision));
            return;
        };
        if routes.version <= sequence.latest.version {
            return;
        }
        let (old, new) = (&*sequence.latest, &*routes);
        for lost in RouteBase::from(old).lost(&RouteBase::from(new)) {
            self.moved.insert(lost, now);
        }
        match continuity {
            Continuity::Next => {
                sequence.latest = routes;
                sequence.revision = revision;
            }
            Continuity::Unknown => *sequence = Sequence::new(now, routes, revision),
        }
    }

    /// Applies the record of the store, or its absence.
    pub fn set_stored(&mut self, now: Timestamp, stored: Option<RouteMoves>) {
        let stored = stored.unwrap_or_default();
        for (addr, services) in &stored.moved {
            for service in services {
                self.moved.entry((*addr, *service)).or_insert(now);
            }
        }
        self.stored = Some(stored);
    }

    /// Whether the store is known to have no record, while it isn't known whether the first
    /// configuration seen here is the first of all. The caller is to find out before it writes one.
    pub fn lacks_origin(&self) -> bool {
        let is_absent = self.stored.as_ref().is_some_and(|it| it.version == 0);
        let sequence = self.sequence.as_ref();
        is_absent && sequence.is_some_and(|it| !it.oldest && it.first == it.latest.version)
    }

    /// Notes that the store never had a configuration before `version`.
    pub fn on_oldest(&mut self, version: u64) {
        let sequence = self.sequence.as_mut();
        if let Some(sequence) = sequence.filter(|it| it.first == version) {
            sequence.oldest = true;
        }
    }

    /// The complete record that the store has of an earlier configuration than the first one seen
    /// here. The caller is to read the [`RouteBase`] and the configurations since. `None` if nothing
    /// is missing, or if the record is of no use.
    pub fn earlier_record(&self) -> Option<&RouteMoves> {
        let (sequence, stored) = (self.sequence.as_ref()?, self.stored.as_ref()?);
        let is_earlier = stored.version > 0 && stored.version < sequence.first;
        (is_earlier && self.is_complete(stored)).then_some(stored)
    }

    /// Continues the store's record by all configurations that followed that of `base`. Has no effect
    /// if they don't lead to the first one seen here.
    pub fn resume(&mut self, now: Timestamp, base: RouteBase, since: &[Arc<Routes>]) {
        let is_base = self
            .earlier_record()
            .is_some_and(|it| it.version == base.version);
        let Some(sequence) = self.sequence.as_mut().filter(|_| is_base) else {
            return;
        };
        if !since.iter().any(|it| it.version == sequence.first) {
            return;
        }
        let version = base.version;
        let mut former = base;
        for routes in since {
            let next = RouteBase::from(&**routes);
            for lost in former.lost(&next) {
                self.moved.insert(lost, now);
            }
            former = next;
        }
        sequence.first = version;
    }

    /// Whether a record is complete in the present epoch.
    fn is_complete(&self, record: &RouteMoves) -> bool {
        record.complete && record.epoch == self.epoch
    }

    /// The record that is to be written now, or `None` if the store has it.
    pub fn due(&mut self, now: Timestamp) -> Option<RouteMoves> {
        let (sequence, stored) = (self.sequence.as_mut()?, self.stored.as_ref()?);
        let retention = self.retention;
        self.moved.retain(|_, at| now.since(*at) <= retention);
        if self.moved.len() > MAX_MOVES {
            self.moved.clear();
            *sequence = Sequence::new(now, sequence.latest.clone(), sequence.revision);
        }
        if stored.version > sequence.latest.version {
            return None;
        }
        let follows =
            stored.complete && stored.epoch == self.epoch && stored.version >= sequence.first;
        let mut due = RouteMoves {
            epoch: self.epoch,
            version: sequence.latest.version,
            revision: sequence.revision,
            complete: follows || sequence.is_complete(now, retention),
            moved: IndexMap::new(),
        };
        for (addr, service) in self.moved.keys() {
            due.moved.entry(*addr).or_default().push(*service);
        }
        due.moved.values_mut().for_each(|it| it.sort_unstable());
        (due != *stored).then_some(due)
    }
}

impl Sequence {
    fn new(now: Timestamp, first: Arc<Routes>, revision: u64) -> Sequence {
        Sequence {
            first: first.version,
            since: now,
            oldest: false,
            latest: first,
            revision,
        }
    }

    /// Whether all moves that matter were seen in this sequence.
    fn is_complete(&self, now: Timestamp, retention: Duration) -> bool {
        self.oldest || now.since(self.since) > retention
    }
}
