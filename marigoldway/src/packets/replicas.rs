//! The replicas of a follower, and its answers to their readers.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::time;

use marigoldway_core::flow::agents::Agents;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::replica;
use marigoldway_core::replica::Replica;
use marigoldway_core::replica::epoch::EpochRevision;
use marigoldway_core::replica::followers;
use marigoldway_core::replica::sources::Freshness;
use marigoldway_core::replica::timing::DEMAND_HOLD;
use marigoldway_core::time::Timestamp;
use marigoldway_net::clock::Clock;
use marigoldway_net::wire;
use marigoldway_net::wire::replica::Request;

use crate::packets::demand::Demand;
use crate::packets::moves::Moves;
use crate::packets::server::Answer;

/// Maximum number of demands that a process holds. A follower of a domain has some 200 readers at
/// 1,500 entries in 7 domains, each with one demand. Others are answered at once.
const MAX_HELD: usize = 512;

/// Maximum number of encoded contents that are kept for further readers. Readers lag behind by a
/// change or two as a rule, in two prefixes.
const MAX_CONTENTS: usize = 4;

/// `Standing` is what a process has to do with the replica of a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// The process doesn't know yet whether it is a follower.
    Undecided,
    /// The process is a follower, and keeps the replica up to date.
    Following,
    /// The process isn't a follower.
    NotFollowing,
}

/// `Replicas` holds the replica of each prefix that a follower serves. Other processes have none.
#[derive(Debug)]
pub(crate) struct Replicas {
    /// Age of a confirmation from which on a replica gives no answer.
    lifetime: Duration,
    /// Maximum number of octets of the changes that each replica keeps.
    max_history: usize,
    /// The latest contents of answers, which readers share.
    contents: RefCell<VecDeque<SharedContent>>,
    replicas: RefCell<IndexMap<&'static str, Replica>>,
    /// What readers of each prefix demand.
    demands: RefCell<IndexMap<&'static str, Rc<Demand>>>,
    /// The agents of all services, by the replica of their keys.
    pub(crate) agents: RefCell<Agents>,
    /// The moves of routes.
    pub(crate) moves: RefCell<Moves>,
    /// Standing of this process by prefix. A process that keeps no replicas has none.
    standings: RefCell<IndexMap<&'static str, Standing>>,
    /// Number of demands that are held.
    held: Cell<usize>,
    /// Wakes the demands that are held: a replica was confirmed, or a standing has changed.
    changed: Notify,
    /// Wakes the checks whether this process is a follower.
    roles: Notify,
}

impl Replicas {
    /// No replicas. Those to come give no answer whose confirmation is older than `lifetime`, and keep
    /// changes of `max_history` octets each. Moves of routes matter for `retention`.
    pub(crate) fn new(lifetime: Duration, max_history: usize, retention: Duration) -> Replicas {
        Replicas {
            lifetime,
            max_history,
            contents: RefCell::default(),
            replicas: RefCell::default(),
            demands: RefCell::default(),
            agents: RefCell::default(),
            moves: RefCell::new(Moves::new(retention)),
            standings: RefCell::default(),
            held: Cell::new(0),
            changed: Notify::new(),
            roles: Notify::new(),
        }
    }

    /// Answers a reader that has asked for `path`. A demand is held until the replica has the
    /// confirmation, for at most [`DEMAND_HOLD`].
    pub(crate) fn respond(self: &Rc<Self>, clock: Clock, path: &str) -> Answer {
        let arrived = clock.now();
        let Some(request) = wire::replica::parse_path(path) else {
            return Answer::found(None);
        };
        if let Freshness::AsOf(age) = request.freshness {
            let at = arrived.before(age);
            if let Some(held) = self.awaits(request.prefix, at) {
                self.demand(held).raise(at);
                if self.held.get() < MAX_HELD {
                    let (shared, path) = (self.clone(), path.to_owned());
                    return Answer::held(shared.respond_later(arrived, at, path));
                }
            }
        }
        self.answer(arrived, &request)
    }

    /// Answers a demand that arrived at `arrived`, once there is a confirmation for the time `at`.
    async fn respond_later(
        self: Rc<Self>,
        arrived: Timestamp,
        at: Timestamp,
        path: String,
    ) -> Answer {
        let _held = Held::new(&self.held);
        let Some(request) = wire::replica::parse_path(&path) else {
            return Answer::found(None);
        };
        let confirmed = async {
            while self.awaits(request.prefix, at).is_some() {
                self.changed.notified().await;
            }
        };
        // After the time limit, the reader gets what is known.
        let _ = time::timeout(DEMAND_HOLD, confirmed).await;
        self.answer(arrived, &request)
    }

    /// The prefix of the replica that doesn't have a confirmation for the time `at` yet, but may get
    /// one. `None` if a demand is to be answered now.
    fn awaits(&self, prefix: &str, at: Timestamp) -> Option<&'static str> {
        let standings = self.standings.borrow();
        let (held, standing) = standings.iter().find(|(it, _)| prefix.starts_with(**it))?;
        let replicas = self.replicas.borrow();
        let confirmed = replicas.get(held).and_then(Replica::confirmed);
        let is_pending = *standing != Standing::NotFollowing && confirmed < Some(at);
        is_pending.then_some(*held)
    }

    /// The answer to a request that arrived at `arrived`: its age is that at the arrival. 404 if this
    /// process has no replica of the keys that is up to date.
    fn answer(&self, arrived: Timestamp, request: &Request<'_>) -> Answer {
        match self.encoded_answer(arrived, request) {
            Some(parts) => Answer::Joined(parts),
            None => Answer::found(None),
        }
    }

    /// The encoded age and content of the answer to a request.
    fn encoded_answer(&self, arrived: Timestamp, request: &Request<'_>) -> Option<[Bytes; 2]> {
        let prefix = request.prefix;
        let replicas = self.replicas.borrow();
        let (held, replica) = replicas.iter().find(|(it, _)| prefix.starts_with(**it))?;
        // A reader may know of a later epoch. The store tells whether there is one.
        if request.after.epoch > replica.epoch() {
            self.demand(held).raise(arrived);
        }
        let answer = replica.answer(arrived, prefix, request.after)?;
        let age = wire::replica::encode_age(answer.age);
        let content = self.shared_content(request, &answer)?;
        Some([Bytes::copy_from_slice(&age), content])
    }

    /// The encoded content of an answer, which is encoded once for all readers that lack the same
    /// changes.
    fn shared_content(&self, request: &Request<'_>, answer: &replica::Answer) -> Option<Bytes> {
        let at = EpochRevision::new(answer.epoch, answer.revision);
        let mut contents = self.contents.borrow_mut();
        let mut known = contents.iter();
        if let Some(known) = known.find(|it| it.answers(request, at)) {
            return Some(known.content.clone());
        }
        let content = match wire::replica::encode_content(answer) {
            Ok(content) => Bytes::from(content),
            Err(error) => {
                let prefix = request.prefix;
                log::error!("event=answer-unencodable prefix={prefix} error=\"{error}\"");
                return None;
            }
        };
        if contents.len() >= MAX_CONTENTS {
            contents.pop_front();
        }
        contents.push_back(SharedContent {
            prefix: request.prefix.to_owned(),
            after: request.after,
            at,
            content: content.clone(),
        });
        Some(content)
    }

    /// Checks at once whether this process is a follower: its list of agents was read.
    pub(crate) fn check_roles(&self) {
        self.roles.notify_waiters();
    }

    /// Waits until a check whether this process is a follower is due at once.
    pub(crate) async fn role_check_due(&self) {
        self.roles.notified().await;
    }

    /// Sets the standing of this process. Wakes the demands that are held if it has changed.
    pub(crate) fn set_standing(&self, prefix: &'static str, standing: Standing) {
        let previous = self.standings.borrow_mut().insert(prefix, standing);
        if previous != Some(standing) {
            self.changed.notify_waiters();
        }
    }

    /// The followers of all services, in the order that they have in common. Empty if this process
    /// has no replica of the agents' keys.
    pub(crate) fn followers(&self) -> Vec<InstanceId> {
        followers::ranked(&self.agents.borrow())
    }

    /// What readers of a prefix demand.
    pub(crate) fn demand(&self, prefix: &'static str) -> Rc<Demand> {
        self.demands.borrow_mut().entry(prefix).or_default().clone()
    }

    /// Notes that the replica of a prefix lacks no change as of `as_of`, and answers the demands that
    /// wait for this.
    pub(crate) fn confirm(&self, prefix: &'static str, as_of: Timestamp) {
        self.update(prefix, |it| it.confirm(as_of));
        self.changed.notify_waiters();
    }

    /// Changes the replica of a prefix.
    pub(crate) fn update(&self, prefix: &'static str, update: impl FnOnce(&mut Replica)) {
        let mut replicas = self.replicas.borrow_mut();
        let replica = replicas.entry(prefix);
        update(replica.or_insert_with(|| Replica::new(self.lifetime, self.max_history)));
    }
}

/// `SharedContent` is the encoded content of an answer.
#[derive(Debug)]
struct SharedContent {
    /// Prefix of the keys.
    prefix: String,
    /// What the readers knew.
    after: EpochRevision,
    /// What they know with this answer.
    at: EpochRevision,
    content: Bytes,
}

impl SharedContent {
    /// Whether this is the content of an answer to `request` that leads to `at`.
    fn answers(&self, request: &Request<'_>, at: EpochRevision) -> bool {
        (self.prefix.as_str(), self.after, self.at) == (request.prefix, request.after, at)
    }
}

/// `Held` counts a demand as held until it is dropped, also if the reader leaves.
struct Held<'a>(&'a Cell<usize>);

impl Held<'_> {
    fn new(count: &Cell<usize>) -> Held<'_> {
        count.set(count.get() + 1);
        Held(count)
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
