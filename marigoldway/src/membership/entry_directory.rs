//! The entry directory: control addresses of entries (the load balancers), stored in the
//! platform, a key-value store, under one key for each failure domain.
//!
//! A process reads the directory while its roster (the list of all instances) has no
//! other live entry, for example because none of its contacts responds. A contact is the
//! control address of an entry through which a process joins. In each domain, the entry
//! with the lowest id among those that are starting or serving maintains the domain's key.
//! The key holds the addresses of the serving entries. If the directory is lost, processes
//! can't join through it. Nothing else depends on it.

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

/// Key prefix of the directory; the number of the failure domain follows.
const KEY_PREFIX: &str = "marigoldway/directory/";

/// Time between two checks of whether the directory must be read or written.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of addresses stored for a domain.
const MAX_ADDRESSES: usize = 16;

/// Reads the directory while no other entry is known. Writes the key of `domain` while
/// this process is the entry that maintains it. Runs until the future is dropped.
pub async fn maintain_entry_directory(
    membership: Membership,
    platform: impl Platform,
    role: ProcessRole,
    own: InstanceId,
    domain: DomainId,
) {
    let mut directory = EntryDirectory::new(platform, role, own, domain);
    loop {
        time::sleep(CHECK_INTERVAL).await;
        directory.update(&membership).await;
    }
}

/// `EntryDirectory` reads and writes the entry directory for one process.
pub struct EntryDirectory<P> {
    platform: P,
    role: ProcessRole,
    own: InstanceId,
    domain: DomainId,
    /// Addresses last written or found under the domain's key; `None` unless this process
    /// maintains the key. The key isn't written again while they are unchanged.
    written: Option<String>,
}

impl<P: Platform> EntryDirectory<P> {
    /// Creates the directory client of the process with instance id `own` in `domain`.
    pub fn new(
        platform: P,
        role: ProcessRole,
        own: InstanceId,
        domain: DomainId,
    ) -> EntryDirectory<P> {
        EntryDirectory {
            platform,
            role,
            own,
            domain,
            written: None,
        }
    }

    /// If the roster has no other entry, reads the directory and adds its addresses as
    /// contacts. Otherwise, if this process is the entry that maintains the domain's key,
    /// writes the domain's addresses if they have changed. Logs failures.
    pub async fn update(&mut self, membership: &Membership) {
        let view = membership.views().borrow().clone();
        if has_no_other_entry(&view, self.own) {
            return self.read(membership).await;
        }
        if self.role != ProcessRole::Entry || !is_maintainer(&view, self.own, self.domain) {
            self.written = None;
            return;
        }
        let addresses = entry_addresses(&view, self.domain);
        if self.written.as_ref() == Some(&addresses) {
            return;
        }
        match self.write(&addresses).await {
            Ok(()) => self.written = Some(addresses),
            // The next check retries, and reads the stored value first.
            Err(error) => log::warn!("event=directory-write result=\"{error}\""),
        }
    }

    async fn read(&self, membership: &Membership) {
        let read = match self.platform.get(Range::Prefix(KEY_PREFIX)).await {
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

    /// Writes the domain's key unless it already has this value.
    async fn write(&self, addresses: &str) -> Result<()> {
        let key = format!("{KEY_PREFIX}{}", self.domain.0);
        let read = self.platform.get(Range::Key(&key)).await?;
        let stored = read.found.first();
        if stored.is_some_and(|it| it.value == addresses.as_bytes()) {
            return Ok(());
        }
        let swap = Swap {
            compares: vec![(key.clone(), stored.map_or(0, |it| it.revision))],
            puts: vec![(key, addresses.as_bytes().to_vec())],
            ..Swap::default()
        };
        // A refused swap is no error: another entry has written the key from its own
        // roster, which is equally valid.
        self.platform.compare_and_swap(&swap).await?;
        Ok(())
    }
}

/// Returns whether the roster has no starting or serving entry other than this process.
/// Entries of a lost domain don't count.
fn has_no_other_entry(view: &RosterView, own: InstanceId) -> bool {
    view.entries().iter().all(|id| *id == own)
}

/// Returns whether this process has the lowest id among the starting and serving entries
/// of `domain`.
fn is_maintainer(view: &RosterView, own: InstanceId, domain: DomainId) -> bool {
    let of_domain = |id: &&InstanceId| view.record(**id).map(|it| it.domain) == Some(domain);
    view.entries().iter().find(of_domain) == Some(&own)
}

/// Control addresses of the serving entries of a domain, separated by spaces: at most
/// [`MAX_ADDRESSES`].
fn entry_addresses(view: &RosterView, domain: DomainId) -> String {
    let addresses: Vec<String> = view
        .records()
        .filter(|it| it.role == Role::Entry && it.domain == domain)
        .filter(|it| it.state == State::Serving)
        .take(MAX_ADDRESSES)
        .map(|it| it.control.to_string())
        .collect();
    addresses.join(" ")
}
