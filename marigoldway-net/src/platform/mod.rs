//! Client of the platform's key-value service.
//!
//! [`Platform`] is the interface: reads, compare-and-swap, leases and watches.
//! [`etcd::EtcdPlatform`] implements it over HTTP with etcd's JSON gateway. The
//! service counts every call, and a watch that waits for changes as one call. The
//! client therefore counts its own calls by kind in [`calls::CallCounts`].
//!
//! A revision of the platform is a number that rises with each write. The revision
//! of a key is that of its last write. A platform that is restored from a backup goes back to an
//! earlier revision. Some platforms then start a new epoch, within which revisions are comparable.

pub mod backoff;
pub mod calls;
pub mod epochs;
pub mod errors;
pub mod etcd;
pub mod transport;
mod wire;

use std::future::Future;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::platform::epochs::Epoch;
use crate::platform::errors::Result;

/// `KeyValue` is a stored key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// Name of the key.
    pub key: String,
    /// Decoded value.
    pub value: Vec<u8>,
    /// Revision of the platform at which the value was written.
    pub revision: u64,
}

/// `ReadResult` holds the keys that a read found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadResult {
    /// Keys of the range that exist.
    pub found: Vec<KeyValue>,
    /// Revision of the platform at the time of the read, from which a watch can continue.
    /// If the read takes several calls, that of the first one. For a read of a single key,
    /// some clients only know the key's own revision, or 0 if the key is absent.
    pub revision: u64,
    /// Epoch of all these revisions, or 0 if the platform has no epochs.
    pub epoch: Epoch,
}

/// `Range` selects the keys of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Range<'a> {
    /// Exactly one key.
    Key(&'a str),
    /// Keys that start with a prefix, in descending order of the keys, up to a maximum
    /// number of keys.
    Newest(&'a str, u32),
    /// All keys that start with a prefix.
    Prefix(&'a str),
}

/// `Swap` is an atomic transaction: all of `puts` and `removes` apply if every
/// key of `compares` still has the given revision, where 0 means an absent key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Swap {
    /// Epoch of the revisions in `compares`. In a later one they belong to other writes, so the
    /// swap isn't sent if a later one is known, nor its response taken as a success if it is of
    /// one.
    pub epoch: Epoch,
    /// Keys and their expected revisions.
    pub compares: Vec<(String, u64)>,
    /// Keys and their new values.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Keys to delete.
    pub removes: Vec<String>,
    /// Lease whose end deletes the written keys. Without one, they stay until they are
    /// deleted.
    pub lease: Option<LeaseId>,
    /// Further keys and their new values, which stay whatever the lease.
    pub lasting: Vec<(String, Vec<u8>)>,
}

/// `SwapOutcome` is the result of a [`Swap`] whose response arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// All changes were applied, at this revision of the platform.
    Applied(u64),
    /// A key had another revision and nothing was changed.
    Refused,
}

/// `Change` is one event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A value was written.
    Put(KeyValue),
    /// A key was deleted, or its lease ended.
    Deleted {
        /// Name of the key.
        key: String,
        /// Revision of the platform at which the key was deleted.
        revision: u64,
    },
    /// The platform has responded, and the watch has reported all writes up to then.
    UpToDate,
    /// The platform can't be reached; the watch keeps retrying.
    Unreachable(errors::Error),
    /// Changes were lost, so the keys must be read again. The watch ends.
    HistoryLost,
}

/// `LeaseId` is the number that the platform assigned to a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// `Platform` is the key-value service that the operators run.
///
/// Every call ends within the time limit of the client. A [`Swap`] that ends in
/// an error may or may not have been applied. Any call may end in
/// [`EpochChanged`](errors::Error::EpochChanged) on a platform that has epochs.
pub trait Platform: Send + Sync + 'static {
    /// Reads the keys of a range.
    fn get(&self, range: Range<'_>) -> impl Future<Output = Result<ReadResult>> + Send;

    /// Applies a swap if every compared key still has its expected revision.
    ///
    /// # Errors
    ///
    /// [`LeaseLost`](errors::Error::LeaseLost) if the response tells that the lease of
    /// the swap has ended. [`EpochChanged`](errors::Error::EpochChanged) if the platform
    /// is or may be in a later epoch than the swap: its keys must be read again.
    fn compare_and_swap(&self, swap: &Swap) -> impl Future<Output = Result<SwapOutcome>> + Send;

    /// Grants a lease that ends `ttl` after its last renewal. The etcd client rounds
    /// `ttl` down to whole seconds, with a minimum of one.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId>> + Send;

    /// Renews a lease for the `ttl` of its grant.
    ///
    /// # Errors
    ///
    /// [`LeaseLost`](errors::Error::LeaseLost) if the lease has ended.
    fn keep_alive(&self, lease: LeaseId) -> impl Future<Output = Result<()>> + Send;

    /// Watches all keys that start with `prefix` for changes from `revision` on,
    /// inclusive.
    fn watch(&self, prefix: &str, revision: u64) -> impl Future<Output = Result<Watch>> + Send;
}

/// `Watch` yields changes until it ends. Depending on the client, it ends with the
/// connection, or only after [`Change::HistoryLost`]. Dropping it cancels the call.
#[derive(Debug)]
pub struct Watch {
    changes: mpsc::Receiver<Change>,
    reader: JoinHandle<()>,
}

impl Watch {
    /// Creates a watch on the changes that the task `reader` sends. The watch
    /// aborts the task when it is dropped.
    pub fn new(changes: mpsc::Receiver<Change>, reader: JoinHandle<()>) -> Watch {
        Watch { changes, reader }
    }

    /// Waits for the next change. Returns `None` once the watch has ended.
    pub async fn next(&mut self) -> Option<Change> {
        self.changes.recv().await
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.reader.abort();
    }
}
