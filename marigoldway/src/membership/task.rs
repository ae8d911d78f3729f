//! The loop around the core's state machine.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::SystemTime;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;
use tokio::time::MissedTickBehavior;

use marigoldway_core::membership::Event;
use marigoldway_core::membership::Input;
use marigoldway_core::membership::Membership;
use marigoldway_core::membership::MembershipOptions;
use marigoldway_core::membership::Output;
use marigoldway_core::message::Message;
use marigoldway_core::roster::Record;
use marigoldway_core::roster::RosterView;
use marigoldway_net::clock::Clock;
use marigoldway_net::control::Control;
use marigoldway_net::control::Received;
use marigoldway_net::wire::Frame;
use marigoldway_net::wire::membership::MembershipWire;

/// Messages that are taken before the view is published.
const BATCH: usize = 64;

/// `Publishers` holds where the task says what it knows.
pub(super) struct Publishers {
    pub(super) views: watch::Sender<Arc<RosterView>>,
    pub(super) events: broadcast::Sender<Event>,
    pub(super) replaced: watch::Sender<bool>,
}

/// `Task` runs the state machine.
pub(super) struct Task {
    membership: Membership,
    options: MembershipOptions,
    clock: Clock,
    control: Control,
    publishers: Publishers,
    rng: StdRng,
    changed: bool,
}

impl Task {
    pub(super) fn new(
        own: Record,
        contacts: Vec<SocketAddrV4>,
        clock: Clock,
        control: Control,
        publishers: Publishers,
    ) -> Task {
        let options = MembershipOptions::default();
        Task {
            membership: Membership::new(clock.now(), own, contacts, options),
            options,
            clock,
            control,
            publishers,
            rng: StdRng::from_rng(&mut rand::rng()),
            changed: true,
        }
    }

    pub(super) async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut messages: Received<MembershipWire>,
    ) {
        let mut tick = time::interval(self.options.tick);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                // The tick goes first, since it notices that the process slept.
                biased;
                _ = tick.tick() => self.take(Input::Tick),
                input = inputs.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
                message = messages.recv() => match message {
                    Some((from, wire)) => {
                        self.receive(from, wire);
                        self.receive_ready(&mut messages);
                    }
                    None => return,
                },
            }
            if self.changed {
                self.changed = false;
                self.publishers
                    .views
                    .send_replace(Arc::new(self.membership.view()));
            }
        }
    }

    /// Takes messages that wait already, so that many of them cost one view.
    fn receive_ready(&mut self, messages: &mut Received<MembershipWire>) {
        for _ in 0..BATCH {
            let Ok((from, wire)) = messages.try_recv() else {
                return;
            };
            self.receive(from, wire);
        }
    }

    fn receive(&mut self, from: SocketAddrV4, wire: MembershipWire) {
        match Message::try_from(wire) {
            Ok(message) => self.take(Input::Receive { from, message }),
            Err(error) => log::warn!("event=roster-malformed peer={from} reason=\"{error}\""),
        }
    }

    fn take(&mut self, input: Input) {
        let now = self.clock.now();
        for output in self.membership.handle(now, input, &mut self.rng) {
            match output {
                Output::Send { to, message } => {
                    let wire = MembershipWire::from(&message);
                    self.control.send(to, Frame::Membership(wire));
                }
                Output::View => self.changed = true,
                Output::Event(event) => {
                    report(event);
                    if event == Event::Replaced {
                        self.publishers.replaced.send_replace(true);
                    }
                    // Nobody has to listen.
                    let _ = self.publishers.events.send(event);
                }
            }
        }
    }
}

fn report(event: Event) {
    match event {
        Event::Joined => log::info!("event=roster-joined"),
        Event::Marked { id, state } => log::info!("event=roster-mark id={id} state={state:?}"),
        Event::Refuted { version } => log::info!("event=roster-refute version={version}"),
        Event::Slept { gap } => {
            let at = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default();
            log::warn!(
                "event=process-slept gap-ms={} at={}",
                gap.as_millis(),
                at.as_secs()
            );
        }
        Event::Replaced => log::error!("event=roster-replaced"),
        Event::Domain { domain, lost } => {
            log::warn!("event=roster-domain domain={} lost={lost}", domain.0);
        }
        Event::Revision { .. } | Event::Peer(_) => {}
    }
}
