//! The task that knows who is there.
//!
//! It owns the state machine of the core and the control channel, and
//! publishes the roster's view to the packet path. Call [`start`] once, then
//! [`Membership::serve`] when the process takes flows, and
//! [`Membership::leave`] when it stops taking them.

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
use marigoldway_net::control::Received;
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

/// Start of the count of incarnations: 2026-01-01 UTC, in seconds since the
/// Unix epoch.
const INCARNATION_EPOCH: Duration = Duration::from_secs(1_767_225_600);

/// Inputs that wait for the task at most.
const INPUTS: usize = 256;

/// Events that wait for a slow reader at most.
const EVENTS: usize = 1_024;

/// `ProcessRole` says what a process is, as far as the roster is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    /// A balancer.
    Entry,
    /// The process beside a target of a service.
    Agent(ServiceId),
}

/// `MessageQueues` holds the incoming messages of the other parts of the process.
pub struct MessageQueues {
    /// Messages about the lists.
    pub lists: Received<ListsWire>,
    /// Messages about shares of the allowances.
    pub shares: Received<SharesWire>,
    /// Messages about relayed requests.
    pub relay: Received<RelayWire>,
}

/// `Membership` is a handle to the task. Clones share it.
#[derive(Clone)]
pub struct Membership {
    views: watch::Receiver<Arc<RosterView>>,
    inputs: mpsc::Sender<Input>,
    events: broadcast::Sender<Event>,
    control: Control,
    replaced: watch::Receiver<bool>,
}

/// The incarnation of a process that starts at `now`, in tenths of a second.
pub fn incarnation(now: SystemTime) -> Incarnation {
    let since = now.duration_since(UNIX_EPOCH + INCARNATION_EPOCH);
    let tenths = since.unwrap_or_default().as_millis() / 100;
    Incarnation(u32::try_from(tenths).unwrap_or(u32::MAX))
}

/// Opens the control channel and starts the task. The process is listed as
/// starting until it serves.
///
/// Fails if the control address can't be bound.
pub async fn start(
    process: &ProcessSettings,
    network: &NetworkSettings,
    keys: &FleetKeys,
    seat: ProcessRole,
    incarnation: Incarnation,
    clock: Clock,
) -> Result<(Membership, MessageQueues)> {
    let options = ControlOptions::new(network.control);
    let (control, inbound) = Control::start(options, &keys.control.0)
        .await
        .change_context_lazy(|| Error::Bind(network.control.into()))?;
    let channels = Channels::split(inbound);
    let own = record(process, network, seat, incarnation);

    let (view, views) = watch::channel(Arc::default());
    let (inputs, input_queue) = mpsc::channel(INPUTS);
    let events = broadcast::Sender::new(EVENTS);
    let (replace, replaced) = watch::channel(false);
    let publishers = Publishers {
        views: view,
        events: events.clone(),
        replaced: replace,
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

fn record(
    process: &ProcessSettings,
    network: &NetworkSettings,
    seat: ProcessRole,
    incarnation: Incarnation,
) -> Record {
    let (role, service) = match seat {
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
    /// The roster's view, which changes as instances come and go.
    pub fn views(&self) -> watch::Receiver<Arc<RosterView>> {
        self.views.clone()
    }

    /// The control channel, for messages of other parts.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Events from now on: revisions and loads of peers, marks, sleep.
    pub fn events(&self) -> broadcast::Receiver<Event> {
        self.events.subscribe()
    }

    /// Waits until the process is to leave.
    ///
    /// # Errors
    ///
    /// [`Error::Replaced`] once a later life of this instance is known. The
    /// process has to end then: it is no longer listed, and peers hear nothing
    /// more of it.
    pub async fn wait_for_leave(&self, shutdown: &Shutdown) -> Result<()> {
        tokio::select! {
            () = shutdown.leaving() => Ok(()),
            () = self.replaced() => Err(Report::new(Error::Replaced)),
        }
    }

    async fn replaced(&self) {
        let mut replaced = self.replaced.clone();
        if replaced.wait_for(|replaced| *replaced).await.is_err() {
            // The task has ended without being replaced.
            future::pending().await
        }
    }

    /// Has the process listed as serving.
    pub async fn serve(&self) {
        self.input(Input::State(State::Serving)).await;
    }

    /// Has the process listed as leaving. Call it before the process stops to
    /// take flows.
    pub async fn leave(&self) {
        self.input(Input::State(State::Leaving)).await;
    }

    /// Has the process listed as down, for the moment before it ends, and
    /// gives the news time to go out.
    pub async fn stop(&self) {
        self.input(Input::State(State::Down)).await;
        tokio::time::sleep(MembershipOptions::default().tick).await;
        self.control.close();
    }

    /// Changes the share of new flows, 100 for a warm target.
    pub async fn set_weight(&self, weight: u16) {
        self.input(Input::Weight(weight)).await;
    }

    /// Tells peers how many flows the agent holds. Drops the figure if the task
    /// is busy, since the next one follows.
    pub fn set_flows(&self, flows: u32) {
        let _ = self.inputs.try_send(Input::Flows(flows));
    }

    /// Tells peers which revision of the lists the process holds.
    pub async fn set_revision(&self, revision: u64) {
        self.input(Input::Revision(revision)).await;
    }

    /// Adds control addresses of entries to ask while the roster is empty.
    pub async fn add_contacts(&self, contacts: Vec<SocketAddrV4>) {
        self.input(Input::Contacts(contacts)).await;
    }

    async fn input(&self, input: Input) {
        // The task ends with the process or when another life of it is known,
        // and has nothing to be told then.
        let _ = self.inputs.send(input).await;
    }
}
