//! The task that holds the lists of a process and passes them on.

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
use marigoldway_core::lists::propagation::Message;
use marigoldway_core::lists::propagation::Output;
use marigoldway_core::lists::propagation::Propagation;
use marigoldway_core::lists::propagation::PropagationOptions;
use marigoldway_core::lists::revisions::OfferOutcome;
use marigoldway_core::lists::revisions::Revisions;
use marigoldway_core::membership::Event;
use marigoldway_core::roster::State;
use marigoldway_net::clock::Clock;
use marigoldway_net::control::Received;
use marigoldway_net::platform::calls::CallKind;
use marigoldway_net::platform::etcd::EtcdPlatform;
use marigoldway_net::wire::Frame;
use marigoldway_net::wire::lists::ListsWire;

use crate::lists::watcher::Repair;
use crate::lists::watcher::Seen;
use crate::membership::Membership;
use crate::operator::Status;

/// Time between two updates of the status page.
const STATUS_PERIOD: Duration = Duration::from_secs(1);

/// `Task` runs the core's state machine.
pub(super) struct Task {
    propagation: Propagation,
    /// The client of the platform, in an entry, which passes lists on to others.
    platform: Option<Arc<EtcdPlatform>>,
    membership: Membership,
    clock: Clock,
    status: Arc<Status>,
    rng: StdRng,
    catalogs: watch::Sender<Option<Arc<Catalog>>>,
    repairs: mpsc::Sender<Repair>,
    /// Revisions in force at peers, as their heartbeats stated them.
    heard: IndexMap<SocketAddrV4, Revisions>,
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
            heard: IndexMap::new(),
        }
    }

    /// Runs until the process ends.
    pub(super) async fn run(
        mut self,
        mut messages: Received<ListsWire>,
        mut seen: mpsc::Receiver<Seen>,
    ) {
        let mut events = self.membership.events();
        let mut tick = time::interval(STATUS_PERIOD);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = messages.recv() => match message {
                    Some((from, wire)) => self.receive(from, wire).await,
                    None => return,
                },
                event = events.recv() => match event {
                    Ok(Event::Revision { from, revision }) => self.hear(from, revision).await,
                    // The next heartbeat states what was missed.
                    Ok(_) | Err(RecvError::Lagged(_)) => (),
                    Err(RecvError::Closed) => return,
                },
                Some(seen) = seen.recv() => self.read(&seen).await,
                _ = tick.tick() => self.report_peers(),
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
        self.act(outputs).await;
    }

    async fn hear(&mut self, from: SocketAddrV4, revision: u64) {
        let theirs = Revisions::from_u64(revision);
        if self.platform.is_some() {
            self.heard.insert(from, theirs);
        }
        let output = self
            .propagation
            .receive_revisions(self.clock.now(), from, theirs);
        self.act(output.into_iter().collect()).await;
    }

    async fn read(&mut self, seen: &Seen) {
        let peers = self.peers();
        let outputs = self
            .propagation
            .receive_stored(seen.kind, &seen.text, &peers, &mut self.rng);
        self.act(outputs).await;
    }

    async fn act(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let frame = Frame::Lists(ListsWire::from(&message));
                    self.membership.control().send(to, frame);
                }
                Output::Publish => self.publish().await,
                Output::Repair(kind) => self.ask_repair(kind),
                Output::Report { kind, outcome } => report(kind, &outcome),
            }
        }
    }

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

    fn ask_repair(&self, kind: ListKind) {
        let Some(text) = self.propagation.held_lists().text(kind).cloned() else {
            return;
        };
        // A watcher that is busy reads again later and finds the same.
        let _ = self.repairs.try_send(Repair { kind, text });
    }

    /// Entries that a new revision is passed on to. Agents pass nothing on.
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

    /// Tells operators what is in force at the instances whose heartbeats come
    /// here, this one among them, and what the platform was asked.
    fn report_peers(&mut self) {
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
        self.heard.retain(|control, _| live.contains(control));
        let own = self.membership.control().address();
        let revisions = self.propagation.held_lists().in_force();
        self.heard.insert(own, revisions);

        let names = live.iter().map(ToString::to_string);
        self.status.set_fact("live", Value::from_iter(names));
        let heard = self.heard.iter().map(|(control, revisions)| {
            let numbers = json!([revisions.plans, revisions.allowances]);
            (control.to_string(), numbers)
        });
        self.status.set_fact("lists", Value::from_iter(heard));
    }
}

fn report(kind: ListKind, outcome: &OfferOutcome) {
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
