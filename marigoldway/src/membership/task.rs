//! The task that runs the core's membership state machine.
//!
//! The state machine maintains the roster, the list of all instances. The task passes it
//! ticks, inputs of other tasks and received messages, and performs its outputs.

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
use marigoldway_net::control::MessageReceiver;
use marigoldway_net::wire::Frame;
use marigoldway_net::wire::membership::MembershipWire;

/// Maximum number of queued messages that are handled after a received one, before the
/// roster's view is published.
const MAX_BATCH_LEN: usize = 64;

/// `Publishers` holds the channels on which the task publishes the roster's view,
/// events, and whether a later incarnation has replaced the process.
pub(super) struct Publishers {
    pub(super) views: watch::Sender<Arc<RosterView>>,
    pub(super) events: broadcast::Sender<Event>,
    pub(super) replaced: watch::Sender<bool>,
}

/// `Task` runs the membership state machine and performs its outputs.
pub(super) struct Task {
    membership: Membership,
    options: MembershipOptions,
    clock: Clock,
    control: Control,
    publishers: Publishers,
    rng: StdRng,
    /// Whether the roster's view has changed since it was last published.
    view_changed: bool,
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
            view_changed: true,
        }
    }

    /// Runs until the channel of inputs or that of messages is closed.
    pub(super) async fn run(
        mut self,
        mut inputs: mpsc::Receiver<Input>,
        mut messages: MessageReceiver<MembershipWire>,
    ) {
        let mut tick = time::interval(self.options.tick);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                // The tick comes first, since it detects that the process was suspended.
                biased;
                _ = tick.tick() => self.handle(Input::Tick),
                input = inputs.recv() => match input {
                    Some(input) => self.handle(input),
                    None => return,
                },
                message = messages.recv() => match message {
                    Some((from, wire)) => {
                        self.receive(from, wire);
                        self.receive_queued(&mut messages);
                    }
                    None => return,
                },
            }
            if self.view_changed {
                self.view_changed = false;
                self.publishers
                    .views
                    .send_replace(Arc::new(self.membership.view()));
            }
        }
    }

    /// Handles up to [`MAX_BATCH_LEN`] messages that are already queued, so that all of
    /// them need only one new view.
    fn receive_queued(&mut self, messages: &mut MessageReceiver<MembershipWire>) {
        for _ in 0..MAX_BATCH_LEN {
            let Ok((from, wire)) = messages.try_recv() else {
                return;
            };
            self.receive(from, wire);
        }
    }

    fn receive(&mut self, from: SocketAddrV4, wire: MembershipWire) {
        match Message::try_from(wire) {
            Ok(message) => self.handle(Input::Receive { from, message }),
            Err(error) => log::warn!("event=roster-malformed peer={from} reason=\"{error}\""),
        }
    }

    fn handle(&mut self, input: Input) {
        let now = self.clock.now();
        for output in self.membership.handle(now, input, &mut self.rng) {
            match output {
                Output::Send { to, message } => {
                    let wire = MembershipWire::from(&message);
                    self.control.send(to, Frame::Membership(wire));
                }
                Output::View => self.view_changed = true,
                Output::Event(event) => {
                    log_event(event);
                    if event == Event::Replaced {
                        self.publishers.replaced.send_replace(true);
                    }
                    // Sending fails if no task has subscribed to events, which is no error.
                    let _ = self.publishers.events.send(event);
                }
            }
        }
    }
}

fn log_event(event: Event) {
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
