//! The list task, which holds the lists of a process and exchanges them with peers.
//!
//! In an entry (a load balancer), the task also receives lists from the watcher, which
//! reads them from the platform (a key-value store), and requests repairs from it: writes
//! of the held list over an older one. An agent, the process beside a target, receives
//! lists only from entries.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;
use tokio::time::MissedTickBehavior;

use marigoldway_core::lists::ListKind;
use marigoldway_core::lists::catalog::Catalog;
use marigoldway_core::lists::document::Revision;
use marigoldway_core::lists::propagation::Message;
use marigoldway_core::lists::propagation::Output;
use marigoldway_core::lists::propagation::Propagation;
use marigoldway_core::lists::propagation::PropagationOptions;
use marigoldway_core::lists::revisions::OfferOutcome;
use marigoldway_core::lists::revisions::Revisions;
use marigoldway_core::membership::Event;
use marigoldway_core::roster::State;
use marigoldway_net::clock::Clock;
use marigoldway_net::control::MessageReceiver;
use marigoldway_net::platform::calls::CallKind;
use marigoldway_net::platform::etcd::EtcdPlatform;
use marigoldway_net::wire::Frame;
use marigoldway_net::wire::lists::ListsWire;

use crate::lists::watcher::ListSnapshot;
use crate::lists::watcher::Repair;
use crate::membership::Membership;
use crate::operator::Status;

/// Time between two updates of the status page.
const STATUS_INTERVAL: Duration = Duration::from_secs(1);

/// `Task` runs the state machine [`Propagation`] and performs its outputs.
pub(super) struct Task {
    propagation: Propagation,
    /// Platform client of the entry, whose calls the status page counts. `None` in an
    /// agent, which notifies no peers of new revisions.
    platform: Option<Arc<EtcdPlatform>>,
    membership: Membership,
    clock: Clock,
    status: Arc<Status>,
    rng: StdRng,
    catalogs: watch::Sender<Option<Arc<Catalog>>>,
    repairs: mpsc::Sender<Repair>,
    /// Revisions in force by control address: those that the heartbeats of the peers
    /// carried, and those of this process. Empty in an agent.
    peer_revisions: IndexMap<SocketAddrV4, Revisions>,
    /// The last edit of each list that was lost to another one of the same generation.
    lost_edits: IndexMap<ListKind, Revision>,
}

impl Task {
    pub(super) fn new(
        platform: Option<Arc<EtcdPlatform>>,
        membership: Membership,
        clock: Clock,
        status: Arc<Status>,
        catalogs: watch::Sender<Option<Arc<Catalog>>>,
        repairs: mpsc::Sender<Repair>,
    ) -> Task {
        Task {
            propagation: Propagation::new(PropagationOptions::default()),
            platform,
            membership,
            clock,
            status,
            rng: StdRng::from_rng(&mut rand::rng()),
            catalogs,
            repairs,
            peer_revisions: IndexMap::new(),
            lost_edits: IndexMap::new(),
        }
    }

    /// Runs until the channel of messages or that of membership events is closed, which
    /// happens at the end of the process.
    pub(super) async fn run(
        mut self,
        mut messages: MessageReceiver<ListsWire>,
        mut snapshots: mpsc::Receiver<ListSnapshot>,
    ) {
        let mut events = self.membership.events();
        let mut tick = time::interval(STATUS_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some((from, wire)) => self.receive(from, wire).await,
                    None => return,
                },
                event = events.recv() => match event {
                    Ok(Event::Revision { from, revision }) => self.on_revision(from, revision).await,
                    // The next heartbeat carries the revision that was missed.
                    Ok(_) | Err(RecvError::Lagged(_)) => (),
                    Err(RecvError::Closed) => return,
                },
                Some(snapshot) = snapshots.recv() => self.on_snapshot(&snapshot).await,
                _ = tick.tick() => self.update_status(),
            }
        }
    }

    async fn receive(&mut self, from: SocketAddrV4, wire: ListsWire) {
        let peers = self.peers();
        let message = Message::from(wire);
        let now = self.clock.now();
        let outputs = self
            .propagation
            .receive(now, from, &message, &peers, &mut self.rng);
        self.apply(outputs).await;
    }

    /// Handles the encoded revisions that a peer's heartbeat carried.
    async fn on_revision(&mut self, from: SocketAddrV4, revision: u64) {
        let revisions = Revisions::from_u64(revision);
        if self.platform.is_some() {
            self.peer_revisions.insert(from, revisions);
        }
        let output = self
            .propagation
            .receive_revisions(self.clock.now(), from, revisions);
        self.apply(output.into_iter().collect()).await;
    }

    async fn on_snapshot(&mut self, snapshot: &ListSnapshot) {
        let peers = self.peers();
        let outputs =
            self.propagation
                .receive_stored(snapshot.kind, &snapshot.text, &peers, &mut self.rng);
        self.apply(outputs).await;
    }

    async fn apply(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let frame = Frame::Lists(ListsWire::from(&message));
                    self.membership.control().send(to, frame);
                }
                Output::Publish => self.publish().await,
                Output::Repair(kind) => self.request_repair(kind),
                Output::Conflict { kind, kept, lost } => self.report_lost(kind, kept, lost),
                Output::Report { kind, outcome } => log_outcome(kind, &outcome),
            }
        }
    }

    /// Publishes the lists in force to the other tasks, on the status page and in the
    /// heartbeats of this process.
    async fn publish(&mut self) {
        let Some(catalog) = self.propagation.held_lists().catalog().cloned() else {
            return;
        };
        let plans = catalog.plans().revision;
        let allowances = catalog.allowances().revision;
        log::info!("event=lists-in-force plans={plans} allowances={allowances}");
        self.status.set_fact("plans", plans.to_string());
        self.status.set_fact("allowances", allowances.to_string());
        self.catalogs.send_replace(Some(catalog));

        let revisions = self.propagation.held_lists().in_force();
        self.membership.set_revision(revisions.to_u64()).await;
    }

    /// Reports a lost edit in the log and on the status page, once: peers may offer it repeatedly.
    fn report_lost(&mut self, kind: ListKind, kept: Revision, lost: Revision) {
        if self.lost_edits.insert(kind, lost) != Some(lost) {
            log::error!("event=list-edit-lost list={kind} lost={lost} kept={kept}");
            let lost = self.lost_edits.iter();
            let lost = lost.map(|(kind, it)| (kind.to_string(), it.to_string()));
            self.status.set_fact("lost-edits", Value::from_iter(lost));
        }
    }

    fn request_repair(&self, kind: ListKind) {
        let Some(text) = self.propagation.held_lists().text(kind).cloned() else {
            return;
        };
        // If the queue is full, the repair is dropped. The watcher rereads the list later,
        // which leads to the same request again.
        let _ = self.repairs.try_send(Repair { kind, text });
    }

    /// Control addresses of the other entries, some of which are notified of a new
    /// revision. Empty in an agent, which notifies no peers.
    fn peers(&self) -> Vec<SocketAddrV4> {
        if self.platform.is_none() {
            return Vec::new();
        }
        let views = self.membership.views();
        let view = views.borrow();
        let own = self.membership.control().address();
        view.entries()
            .iter()
            .filter_map(|id| Some(view.record(*id)?.control))
            .filter(|control| *control != own)
            .collect()
    }

    /// Updates the status page of an entry: the revisions in force at this process
    /// and at the instances whose heartbeats it receives, the live instances, and
    /// the number of platform calls. Does nothing in an agent.
    fn update_status(&mut self) {
        let Some(platform) = &self.platform else {
            return;
        };
        let calls = CallKind::ALL.map(|kind| (kind.as_str(), platform.calls().get(kind)));
        self.status
            .set_fact("platform-calls", Value::from_iter(calls));
        let views = self.membership.views();
        let view = views.borrow();
        let live: Vec<SocketAddrV4> = view
            .records()
            .filter(|record| record.state < State::Down)
            .map(|record| record.control)
            .collect();
        self.peer_revisions
            .retain(|control, _| live.contains(control));
        let own = self.membership.control().address();
        let revisions = self.propagation.held_lists().in_force();
        self.peer_revisions.insert(own, revisions);

        let names = live.iter().map(ToString::to_string);
        self.status.set_fact("live", Value::from_iter(names));
        let peer_revisions = self.peer_revisions.iter().map(|(control, revisions)| {
            let numbers = json!([revisions.plans, revisions.allowances]);
            (control.to_string(), numbers)
        });
        self.status
            .set_fact("lists", Value::from_iter(peer_revisions));
    }
}

/// Logs why a list that was offered to this process was not put in force.
fn log_outcome(kind: ListKind, outcome: &OfferOutcome) {
    match outcome {
        OfferOutcome::Waiting { cause } => {
            log::warn!("event=list-waits list={kind} cause=\"{cause}\"");
        }
        OfferOutcome::Refused { cause } => {
            log::error!("event=list-refused list={kind} cause=\"{cause}\"");
        }
        OfferOutcome::Stale { held } => log::debug!("event=list-stale list={kind} held={held}"),
        OfferOutcome::Accepted => (),
    }
}
