//! What a follower knows of the moves of routes: the configurations that it has seen, and the record
//! that the store has.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use marigoldway_core::flow::route_moves::Continuity;
use marigoldway_core::flow::route_moves::MoveRecorder;
use marigoldway_core::flow::route_moves::RouteMoves;
use marigoldway_core::replica::epoch::EpochRevision;
use marigoldway_core::time::Timestamp;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::wire::agents;
use marigoldway_platform::config;

use crate::packets::agent_records;
use crate::packets::node::Node;
use crate::packets::store::StoreEvent;

/// `Moves` is the recorder of a follower, with the position of the stored record.
#[derive(Debug)]
pub(crate) struct Moves {
    /// Decides what to record.
    pub(crate) recorder: MoveRecorder,
    /// Revision of the record's key, or 0 if it doesn't exist, in the store's epoch.
    pub(crate) position: EpochRevision,
    /// Wakes the task that writes the record: the recorder has learnt something.
    pub(crate) changed: Rc<Notify>,
}

impl Moves {
    /// Creates an empty state. A move matters for `retention`.
    pub(crate) fn new(retention: Duration) -> Moves {
        Moves {
            recorder: MoveRecorder::new(retention),
            position: EpochRevision::default(),
            changed: Rc::default(),
        }
    }

    /// Applies a change of the operators' keys.
    pub(crate) fn on_config(&mut self, now: Timestamp, event: &StoreEvent) {
        let (stored, continuity) = match event {
            StoreEvent::Snapshot(found, _) => {
                let stored = found.iter().find(|it| it.key == config::CONFIG_KEY);
                (stored, Continuity::Unknown)
            }
            StoreEvent::Put(stored) => (Some(stored), Continuity::Next),
            StoreEvent::Deleted(..) | StoreEvent::NewEpoch(_) | StoreEvent::Confirmed(_) => return,
        };
        let Some(stored) = stored.filter(|it| it.key == config::CONFIG_KEY) else {
            return;
        };
        // Another reader of this process reports what can't be decoded.
        let previous = self.recorder.routes().cloned();
        if let Ok(parsed) = config::parse(&stored.value, previous.as_deref()) {
            let routes = Arc::new(parsed.routes);
            self.recorder
                .on_routes(now, routes, stored.revision, continuity);
            self.changed.notify_one();
        }
    }

    /// Applies a change of the agents' keys, to which the record belongs.
    pub(crate) fn on_agents(&mut self, node: &Node, event: &StoreEvent) {
        let now = node.clock.now();
        match event {
            StoreEvent::NewEpoch(epoch) => {
                self.position = EpochRevision::new(*epoch, 0);
                self.recorder.on_epoch(*epoch);
            }
            StoreEvent::Snapshot(found, _) => {
                let stored = found.iter().find(|it| it.key == agents::MOVES_KEY);
                self.set_stored(node, now, stored);
            }
            StoreEvent::Put(stored) if stored.key == agents::MOVES_KEY => {
                self.set_stored(node, now, Some(stored));
            }
            StoreEvent::Deleted(key, _) if key == agents::MOVES_KEY => {
                self.set_stored(node, now, None);
            }
            StoreEvent::Put(_) | StoreEvent::Deleted(..) | StoreEvent::Confirmed(_) => {}
        }
    }

    /// Applies the record that this process has written.
    pub(crate) fn on_written(&mut self, now: Timestamp, moves: RouteMoves, revision: u64) {
        self.position.revision = revision;
        self.recorder.set_stored(now, Some(moves));
    }

    fn set_stored(&mut self, node: &Node, now: Timestamp, stored: Option<&KeyValue>) {
        // The change that this process has written arrives later than the store's answer.
        let revision = stored.map_or(0, |it| it.revision);
        if stored.is_some() && revision <= self.position.revision {
            return;
        }
        self.position.revision = revision;
        let moves = stored.and_then(|it| agent_records::decode_moves(node, it));
        self.recorder.set_stored(now, moves);
        self.changed.notify_one();
    }
}
