//! Processes join, leave, fail, and are replaced, over real control channels.
//!
//! Membership maintains the roster, the list of all entries (load balancer processes) and
//! agents (the processes beside targets), at each of them.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use indexmap::IndexMap;
use log::LevelFilter;
use tokio::time;

use marigoldway::errors;
use marigoldway::membership;
use marigoldway::membership::EntryDirectory;
use marigoldway::membership::Membership;
use marigoldway::membership::MessageQueues;
use marigoldway::membership::ProcessRole;
use marigoldway::settings::Document;
use marigoldway::settings::FleetKeys;
use marigoldway::settings::KeySource;
use marigoldway::settings::NetworkSettings;
use marigoldway::settings::ProcessSettings;
use marigoldway::shutdown;
use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::ids::RegionId;
use marigoldway_core::ids::ServiceId;
use marigoldway_core::roster::RosterView;
use marigoldway_core::roster::State;
use marigoldway_net::clock::Clock;
use marigoldway_net::platform::KeyValue;
use marigoldway_net::platform::LeaseId;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Range;
use marigoldway_net::platform::ReadResult;
use marigoldway_net::platform::Swap;
use marigoldway_net::platform::SwapOutcome;
use marigoldway_net::platform::Watch;
use marigoldway_net::platform::errors::Error;
use marigoldway_net::platform::errors::Result;
use marigoldway_net::wire::Frame;
use marigoldway_net::wire::lists::ListsWire;

/// Time limit of one wait.
const LIMIT: Duration = Duration::from_secs(30);
const SERVICE: ServiceId = ServiceId(1);

fn keys() -> FleetKeys {
    let secret = "07".repeat(32);
    let route = "09".repeat(16);
    let text = format!(
        "[keys]\nroute-epoch = 1\nroute-cipher = {route}\nroute-tag = {route}\n\
         envelope = {secret}\nreset = {secret}\nidempotency = {secret}\ncontrol = {secret}\n"
    );
    let document = Document::parse(Path::new("keys.ini"), &text).unwrap();
    FleetKeys::try_from(&document).unwrap()
}

fn process_settings(domain: u8) -> ProcessSettings {
    ProcessSettings {
        domain: DomainId(domain),
        region: RegionId(1),
        log_level: LevelFilter::Off,
        keys: KeySource::Variable("NONE".to_owned()),
        operator: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
        statsd: None,
        drain_limit: LIMIT,
    }
}

/// Returns an address whose TCP port was free during the call. Another process may take
/// the port before the caller does.
fn free_address() -> SocketAddrV4 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap().port())
}

/// Returns the network settings of a process with a free address for its control channel.
fn network(contacts: &[SocketAddrV4]) -> NetworkSettings {
    let control = free_address();
    NetworkSettings {
        data: InstanceId(control),
        control,
        contacts: contacts.to_vec(),
        agent_networks: Vec::new(),
    }
}

/// Starts the membership of a process and serves its control channel.
async fn start(
    network: &NetworkSettings,
    role: ProcessRole,
    domain: u8,
) -> (Membership, MessageQueues) {
    let incarnation = membership::incarnation(SystemTime::now());
    let process = process_settings(domain);
    let clock = Clock::start();
    let keys = keys();
    let started = membership::start(&process, network, &keys, role, incarnation, clock);
    let (membership, queues) = started.await.unwrap();
    membership.serve().await;
    (membership, queues)
}

/// Waits until the roster of a process meets a condition. Panics after `LIMIT`.
async fn wait_for(membership: &Membership, condition: impl FnMut(&RosterView) -> bool) {
    let mut condition = condition;
    let mut views = membership.views();
    let changed = views.wait_for(|view| condition(view));
    time::timeout(LIMIT, changed).await.unwrap().unwrap();
}

/// Returns the state of an instance in a roster, or `None` if the roster lacks it.
fn state(view: &RosterView, id: InstanceId) -> Option<State> {
    view.record(id).map(|record| record.state)
}

#[tokio::test]
async fn processes_join_leave_and_fail() {
    let first = network(&[]);
    let contacts = [first.control];
    let networks: Vec<_> = (0..5).map(|_| network(&contacts)).collect();
    let mut all = vec![start(&first, ProcessRole::Entry, 1).await];
    for (network, domain) in networks.iter().zip([1, 2, 1, 2, 2]) {
        let role = match all.len() {
            1 | 2 => ProcessRole::Entry,
            _ => ProcessRole::Agent(SERVICE),
        };
        all.push(start(network, role, domain).await);
    }
    for (membership, _) in &all {
        wait_for(membership, |it| {
            it.records().filter(|it| it.state == State::Serving).count() == 6
        })
        .await;
    }

    let leaving = networks[2].data;
    all[3].0.leave().await;
    for (membership, _) in &all {
        wait_for(membership, |it| state(it, leaving) == Some(State::Leaving)).await;
        assert!(
            membership
                .views()
                .borrow()
                .candidates(SERVICE, 1)
                .unwrap()
                .first
                != leaving
        );
    }

    // One agent closes its control channel without a message, the other announces its
    // end.
    all[4].0.control().close();
    all[5].0.stop().await;
    let (silent, stopped) = (networks[3].data, networks[4].data);
    for (membership, _) in &all[..3] {
        wait_for(membership, |it| state(it, stopped) == Some(State::Down)).await;
        wait_for(membership, |it| state(it, silent) >= Some(State::Suspect)).await;
    }
}

#[tokio::test]
async fn queues_receive_frames_of_other_modules() {
    let first = network(&[]);
    let (one, _queues) = start(&first, ProcessRole::Entry, 1).await;
    let second = network(&[first.control]);
    let (_two, mut queues) = start(&second, ProcessRole::Entry, 1).await;
    one.control()
        .send(second.control, Frame::Lists(ListsWire::Have(7)));
    let received = time::timeout(LIMIT, queues.lists.recv()).await.unwrap();
    assert_eq!(received, Some((first.control, ListsWire::Have(7))));
}

/// `MapPlatform` is a platform that stores keys in a map. It supports neither leases nor
/// watches.
#[derive(Clone, Default)]
struct MapPlatform(Arc<Mutex<IndexMap<String, KeyValue>>>);

impl Platform for MapPlatform {
    async fn get(&self, range: Range<'_>) -> Result<ReadResult> {
        let matches = |key: &str| match range {
            Range::Key(wanted) => key == wanted,
            Range::Prefix(prefix) | Range::Newest(prefix, _) => key.starts_with(prefix),
        };
        let map = self.0.lock().unwrap();
        let found = map.values().filter(|it| matches(&it.key)).cloned();
        Ok(ReadResult {
            found: found.collect(),
            revision: map.len() as u64,
            ..ReadResult::default()
        })
    }

    async fn compare_and_swap(&self, swap: &Swap) -> Result<SwapOutcome> {
        let mut map = self.0.lock().unwrap();
        let revision = |key: &String| map.get(key).map_or(0, |it| it.revision);
        if swap.compares.iter().any(|(key, it)| revision(key) != *it) {
            return Ok(SwapOutcome::Refused);
        }
        for (key, value) in swap.puts.clone() {
            let revision = map.len() as u64 + 1;
            let stored = KeyValue {
                key: key.clone(),
                value,
                revision,
            };
            map.insert(key, stored);
        }
        Ok(SwapOutcome::Applied(map.len() as u64))
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId> {
        Err(Error::LeaseLost)
    }

    async fn keep_alive(&self, _: LeaseId) -> Result<()> {
        Err(Error::LeaseLost)
    }

    async fn watch(&self, _: &str, _: u64) -> Result<Watch> {
        Err(Error::LeaseLost)
    }
}

#[tokio::test]
async fn process_without_contacts_joins_through_the_directory() {
    let first = network(&[]);
    let second = network(&[first.control]);
    let (one, _queues) = start(&first, ProcessRole::Entry, 1).await;
    let (two, _queues) = start(&second, ProcessRole::Entry, 1).await;
    let both_serve = |it: &RosterView| {
        let serving = it.records().filter(|it| it.state == State::Serving);
        serving.count() == 2
    };
    wait_for(&one, both_serve).await;
    wait_for(&two, both_serve).await;

    // The directory of entries at the platform has one key per domain. One of the two entries
    // maintains the key of their domain, in whichever order they check the roster.
    let map = MapPlatform::default();
    let domain = DomainId(1);
    for (membership, network) in [(&one, &first), (&two, &second)] {
        let mut directory =
            EntryDirectory::new(map.clone(), ProcessRole::Entry, network.data, domain);
        directory.update(membership).await;
    }
    assert_eq!(map.0.lock().unwrap().len(), 1);

    let joining = network(&[]);
    let role = ProcessRole::Agent(SERVICE);
    let (three, _queues) = start(&joining, role, 2).await;
    let mut directory = EntryDirectory::new(map, role, joining.data, DomainId(2));
    directory.update(&three).await;
    wait_for(&three, |it| it.entries().len() == 2).await;
    wait_for(&one, |it| state(it, joining.data) == Some(State::Serving)).await;
}

#[tokio::test]
async fn replaced_process_ends_with_an_error() {
    let first = network(&[]);
    let (_entry, _queues) = start(&first, ProcessRole::Entry, 1).await;
    let old = network(&[first.control]);
    let (replaced, _queues) = start(&old, ProcessRole::Agent(SERVICE), 1).await;
    wait_for(&replaced, |it| it.entries().len() == 1).await;

    // The new process has the instance ID of the old one and another control address.
    let new = NetworkSettings {
        data: old.data,
        ..network(&[first.control])
    };
    time::sleep(Duration::from_millis(200)).await;
    let (_replacement, _queues) = start(&new, ProcessRole::Agent(SERVICE), 1).await;
    let (_trigger, shutdown) = shutdown::channel();
    let ended = time::timeout(LIMIT, replaced.wait_for_leave(&shutdown))
        .await
        .unwrap();
    assert_eq!(
        *ended.unwrap_err().current_context(),
        errors::Error::Replaced
    );
}
