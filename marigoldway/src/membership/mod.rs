//! The membership task, which maintains the roster: the list of all instances.
//!
//! The task owns the membership state machine of the core, and sends and receives its
//! messages over the control channel. It publishes a view of the roster to the other
//! tasks. Call [`start`] once, [`Membership::serve`] when the process accepts flows,
//! [`Membership::leave`] before it stops accepting them, and [`Membership::stop`] just
//! before it ends.

mod entry_directory;
mod task;

use std::future;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use error_stack::Report;
use error_stack::ResultExt;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio::sync::watch;

use marigoldway_core::ids::Incarnation;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::membership::Event;
use marigoldway_core::membership::Input;
use marigoldway_core::membership::MembershipOptions;
use marigoldway_core::roster::FULL_WEIGHT;
use marigoldway_core::roster::Record;
use marigoldway_core::roster::Role;
use marigoldway_core::roster::RosterView;
use marigoldway_core::roster::State;
use marigoldway_net::clock::Clock;
use marigoldway_net::control::Channels;
use marigoldway_net::control::Control;
use marigoldway_net::control::ControlOptions;
use marigoldway_net::control::MessageReceiver;
use marigoldway_net::wire::lists::ListsWire;
use marigoldway_net::wire::relay::RelayWire;
use marigoldway_net::wire::shares::SharesWire;

use crate::errors::Error;
use crate::errors::Result;
use crate::membership::task::Publishers;
use crate::membership::task::Task;
use crate::settings::FleetKeys;
use crate::settings::NetworkSettings;
use crate::settings::ProcessSettings;
use crate::shutdown::Shutdown;

pub use crate::membership::entry_directory::EntryDirectory;
pub use crate::membership::entry_directory::maintain_entry_directory;

/// Start of the count of incarnations: 2026-01-01 UTC, as time since the Unix epoch.
const INCARNATION_EPOCH: Duration = Duration::from_secs(1_767_225_600);

/// Maximum number of inputs from other tasks that wait for the membership task.
const INPUT_QUEUE_LEN: usize = 256;

/// Maximum number of events that wait for a slow receiver; older ones are dropped.
const EVENT_QUEUE_LEN: usize = 1_024;

/// `ProcessRole` is the role of a process in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    /// A load balancer behind the routers.
    Entry,
    /// The process that stands beside a target of this service.
    Agent(ServiceId),
}

/// `MessageQueues` holds the control messages received for the other tasks of the
/// process.
pub struct MessageQueues {
    /// Messages about the lists.
    pub lists: MessageReceiver<ListsWire>,
    /// Messages about shares of the allowances.
    pub shares: MessageReceiver<SharesWire>,
    /// Messages about relayed requests.
    pub relay: MessageReceiver<RelayWire>,
}

/// `Membership` is a handle to the membership task. Clones share the task.
#[derive(Clone)]
pub struct Membership {
    views: watch::Receiver<Arc<RosterView>>,
    inputs: mpsc::Sender<Input>,
    events: broadcast::Sender<Event>,
    control: Control,
    replaced: watch::Receiver<bool>,
}

/// Incarnation of a process that starts at `now`, which distinguishes it from earlier
/// processes of the same instance: tenths of a second since 2026-01-01 UTC, 0 for earlier
/// times.
pub fn incarnation(now: SystemTime) -> Incarnation {
    let since = now.duration_since(UNIX_EPOCH + INCARNATION_EPOCH);
    let tenths = since.unwrap_or_default().as_millis() / 100;
    Incarnation(u32::try_from(tenths).unwrap_or(u32::MAX))
}

/// Opens the control channel and starts the membership task. The roster shows the
/// process as starting until [`Membership::serve`].
///
/// # Errors
///
/// [`Error::Bind`] if the control address can't be bound.
pub async fn start(
    process: &ProcessSettings,
    network: &NetworkSettings,
    keys: &FleetKeys,
    role: ProcessRole,
    incarnation: Incarnation,
    clock: Clock,
) -> Result<(Membership, MessageQueues)> {
    let options = ControlOptions::new(network.control);
    let (control, inbound) = Control::start(options, &keys.control.0)
        .await
        .change_context_lazy(|| Error::Bind(network.control.into()))?;
    let channels = Channels::split(inbound);
    let own = initial_record(process, network, role, incarnation);

    let (view_sender, views) = watch::channel(Arc::default());
    let (inputs, input_queue) = mpsc::channel(INPUT_QUEUE_LEN);
    let events = broadcast::Sender::new(EVENT_QUEUE_LEN);
    let (replaced_sender, replaced) = watch::channel(false);
    let publishers = Publishers {
        views: view_sender,
        events: events.clone(),
        replaced: replaced_sender,
    };
    let task = Task::new(
        own,
        network.contacts.clone(),
        clock,
        control.clone(),
        publishers,
    );
    tokio::spawn(task.run(input_queue, channels.membership));

    let membership = Membership {
        views,
        inputs,
        events,
        control,
        replaced,
    };
    let queues = MessageQueues {
        lists: channels.lists,
        shares: channels.shares,
        relay: channels.relay,
    };
    Ok((membership, queues))
}

fn initial_record(
    process: &ProcessSettings,
    network: &NetworkSettings,
    role: ProcessRole,
    incarnation: Incarnation,
) -> Record {
    let (role, service) = match role {
        ProcessRole::Entry => (Role::Entry, None),
        ProcessRole::Agent(service) => (Role::Agent, Some(service)),
    };
    Record {
        id: network.data,
        incarnation,
        role,
        service,
        domain: process.domain,
        region: process.region,
        control: network.control,
        state: State::Starting,
        version: 0,
        weight: FULL_WEIGHT,
    }
}

impl Membership {
    /// Receiver of the roster's view, which is replaced whenever the roster changes.
    pub fn views(&self) -> watch::Receiver<Arc<RosterView>> {
        self.views.clone()
    }

    /// Control channel, over which other tasks send their messages.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Receiver of the events from now on, such as revisions and loads of peers, changed
    /// states of instances, and suspensions of the process. A receiver that falls too far
    /// behind misses the oldest events.
    pub fn events(&self) -> broadcast::Receiver<Event> {
        self.events.subscribe()
    }

    /// Waits until the process must leave the roster.
    ///
    /// # Errors
    ///
    /// [`Error::Replaced`] once a later incarnation of this instance is known. The
    /// process must end then: the roster no longer holds it, and peers receive no
    /// more messages from it.
    pub async fn wait_for_leave(&self, shutdown: &Shutdown) -> Result<()> {
        tokio::select! {
            () = shutdown.leaving() => Ok(()),
            () = self.wait_replaced() => Err(Report::new(Error::Replaced)),
        }
    }

    async fn wait_replaced(&self) {
        let mut replaced = self.replaced.clone();
        if replaced.wait_for(|replaced| *replaced).await.is_err() {
            // The membership task has ended, and no later incarnation is known.
            future::pending().await
        }
    }

    /// Sets the state of the process in the roster to serving.
    pub async fn serve(&self) {
        self.send_input(Input::State(State::Serving)).await;
    }

    /// Sets the state of the process in the roster to leaving. Call it before the
    /// process stops accepting flows.
    pub async fn leave(&self) {
        self.send_input(Input::State(State::Leaving)).await;
    }

    /// Sets the state of the process in the roster to down. Then waits one tick, so that
    /// the change is sent to peers, and closes the control channel. Call it just before
    /// the process ends.
    pub async fn stop(&self) {
        self.send_input(Input::State(State::Down)).await;
        tokio::time::sleep(MembershipOptions::default().tick).await;
        self.control.close();
    }

    /// Sets the share of new flows that the agent receives, in percent of the full share:
    /// 100 once slow start is over.
    pub async fn set_weight(&self, weight: u16) {
        self.send_input(Input::Weight(weight)).await;
    }

    /// Sends peers the number of flows that the agent holds. Drops the number if the
    /// queue of the membership task is full, since a later number follows.
    pub fn set_flows(&self, flows: u32) {
        let _ = self.inputs.try_send(Input::Flows(flows));
    }

    /// Sends peers the revisions of both lists that the process has in force, encoded as
    /// one number.
    pub async fn set_revision(&self, revision: u64) {
        self.send_input(Input::Revision(revision)).await;
    }

    /// Adds contacts: control addresses of entries through which the process joins.
    pub async fn add_contacts(&self, contacts: Vec<SocketAddrV4>) {
        self.send_input(Input::Contacts(contacts)).await;
    }

    async fn send_input(&self, input: Input) {
        // Sending fails only after the membership task has ended, at the end of the process,
        // which a later incarnation of the instance may cause. Inputs are not needed then.
        let _ = self.inputs.send(input).await;
    }
}
