//! The directory: entries of each failure domain, in the platform.
//!
//! A process that none of its contacts answers reads it. One entry of each
//! domain keeps the key of its domain: the one with the lowest id among those
//! that serve. Losing the directory costs nothing but this way of joining.

use std::net::SocketAddrV4;
use std::str;
use std::time::Duration;

use tokio::time;

use marigoldway_core::ids::DomainId;
use marigoldway_core::ids::InstanceId;
use marigoldway_core::roster::Role;
use marigoldway_core::roster::RosterView;
use marigoldway_core::roster::State;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Range;
use marigoldway_net::platform::Swap;
use marigoldway_net::platform::errors::Result;

use crate::membership::Membership;
use crate::membership::ProcessRole;

/// Prefix of the keys.
const PREFIX: &str = "marigoldway/directory/";

/// Time between two looks at the roster.
const PERIOD: Duration = Duration::from_secs(5);

/// Addresses of a domain that are kept at most.
const ADDRESSES: usize = 16;

/// Reads the directory while nobody is known, and keeps it while this process
/// is the entry that has to. Runs until it is dropped.
pub async fn maintain_entry_directory(
    membership: Membership,
    platform: impl Platform,
    seat: ProcessRole,
    own: InstanceId,
    domain: DomainId,
) {
    let mut directory = EntryDirectory::new(platform, seat, own, domain);
    loop {
        time::sleep(PERIOD).await;
        directory.update(&membership).await;
    }
}

/// `EntryDirectory` is the platform's list of entries, as one process uses it.
pub struct EntryDirectory<P> {
    platform: P,
    seat: ProcessRole,
    own: InstanceId,
    domain: DomainId,
    written: Option<String>,
}

impl<P: Platform> EntryDirectory<P> {
    /// Makes the directory of the process `own`, which stands in `domain`.
    pub fn new(
        platform: P,
        seat: ProcessRole,
        own: InstanceId,
        domain: DomainId,
    ) -> EntryDirectory<P> {
        EntryDirectory {
            platform,
            seat,
            own,
            domain,
            written: None,
        }
    }

    /// Looks at the roster once, and reads or writes what it calls for.
    pub async fn update(&mut self, membership: &Membership) {
        let view = membership.views().borrow().clone();
        if is_alone(&view, self.own) {
            return self.read(membership).await;
        }
        if self.seat != ProcessRole::Entry || !is_keeper(&view, self.own, self.domain) {
            self.written = None;
            return;
        }
        let wanted = addresses(&view, self.domain);
        if self.written.as_ref() == Some(&wanted) {
            return;
        }
        match self.write(&wanted).await {
            Ok(()) => self.written = Some(wanted),
            // The next look tries again, and reads what stands first.
            Err(error) => log::warn!("event=directory-write result=\"{error}\""),
        }
    }

    async fn read(&self, membership: &Membership) {
        let read = match self.platform.get(Range::Prefix(PREFIX)).await {
            Ok(read) => read,
            Err(error) => return log::warn!("event=directory-read result=\"{error}\""),
        };
        let contacts: Vec<SocketAddrV4> = read
            .found
            .iter()
            .filter_map(|stored| str::from_utf8(&stored.value).ok())
            .flat_map(str::split_whitespace)
            .filter_map(|address| address.parse().ok())
            .collect();
        log::info!("event=directory-read contacts={}", contacts.len());
        membership.add_contacts(contacts).await;
    }

    async fn write(&self, wanted: &str) -> Result<()> {
        let key = format!("{PREFIX}{}", self.domain.0);
        let read = self.platform.get(Range::Key(&key)).await?;
        let stored = read.found.first();
        if stored.is_some_and(|it| it.value == wanted.as_bytes()) {
            return Ok(());
        }
        let swap = Swap {
            compares: vec![(key.clone(), stored.map_or(0, |it| it.revision))],
            puts: vec![(key, wanted.as_bytes().to_vec())],
            removes: Vec::new(),
            lease: None,
        };
        // A refusal means that another entry wrote, whose view is as good.
        self.platform.compare_and_swap(&swap).await?;
        Ok(())
    }
}

/// Tells whether no entry but this process is known.
fn is_alone(view: &RosterView, own: InstanceId) -> bool {
    view.entries().iter().all(|id| *id == own)
}

fn is_keeper(view: &RosterView, own: InstanceId, domain: DomainId) -> bool {
    let of_domain = |id: &&InstanceId| view.record(**id).map(|it| it.domain) == Some(domain);
    view.entries().iter().find(of_domain) == Some(&own)
}

/// The control addresses of a domain's entries, separated by spaces.
fn addresses(view: &RosterView, domain: DomainId) -> String {
    let addresses: Vec<String> = view
        .records()
        .filter(|it| it.role == Role::Entry && it.domain == domain)
        .filter(|it| it.state == State::Serving)
        .take(ADDRESSES)
        .map(|it| it.control.to_string())
        .collect();
    addresses.join(" ")
}
