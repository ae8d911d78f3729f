//! The client of the platform's key-value service.
//!
//! [`Platform`] is what the system needs of it: reads, compare-and-swap, leases
//! and watches. [`etcd::EtcdPlatform`] speaks it over HTTP in the form of etcd's
//! JSON gateway. The service counts every call, a waiting watch as one, so each
//! call is counted by kind in [`calls::CallCounts`].

pub mod backoff;
pub mod calls;
pub mod errors;
pub mod etcd;
pub mod transport;
mod wire;

use std::future::Future;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::platform::errors::Result;

/// `KeyValue` is a key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// Name of the key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The platform's revision at which the value was written.
    pub revision: u64,
}

/// `Read` is what a read found, at one revision of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReadResult {
    /// The keys that were found.
    pub found: Vec<KeyValue>,
    /// The platform's revision at the time of the read.
    pub revision: u64,
}

/// `Range` names the keys of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Range<'a> {
    /// One key.
    Key(&'a str),
    /// Every key that starts with a prefix, the last key first, at most so many.
    Newest(&'a str, u32),
    /// Every key that starts with a prefix.
    Prefix(&'a str),
}

/// `Swap` writes all of `puts` if every key of `compares` still has the
/// revision that was read, 0 standing for a key that is absent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Swap {
    /// Keys and the revisions that they must have.
    pub compares: Vec<(String, u64)>,
    /// Keys and their new values.
    pub puts: Vec<(String, Vec<u8>)>,
    /// Keys to delete.
    pub removes: Vec<String>,
    /// The lease that the written keys end with.
    pub lease: Option<LeaseId>,
}

/// `SwapOutcome` tells what became of a [`Swap`] whose answer arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// All values are written, at this revision of the platform.
    Applied(u64),
    /// A key had another revision and nothing is written.
    Refused,
}

/// `Change` is what a watch has to tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A value was written.
    Put(KeyValue),
    /// A key was deleted, or its lease has ended.
    Deleted {
        /// Name of the key.
        key: String,
        /// The platform's revision at which that happened.
        revision: u64,
    },
    /// The platform has answered: all that was written until then is told.
    UpToDate,
    /// The platform can't be reached; the watch goes on trying.
    Unreachable(errors::Error),
    /// Changes are lost, and the keys have to be read again. The watch ends.
    HistoryLost,
}

/// `LeaseId` is the platform's number of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// `Platform` is the key-value service that the operators run.
///
/// Every call ends within the time limit of the client. A [`Swap`] that ends in
/// an error may or may not have taken effect.
pub trait Platform: Send + Sync + 'static {
    /// Reads keys.
    fn get(&self, range: Range<'_>) -> impl Future<Output = Result<ReadResult>> + Send;

    /// Writes values if nobody else wrote since they were read.
    fn compare_and_swap(&self, swap: &Swap) -> impl Future<Output = Result<SwapOutcome>> + Send;

    /// Opens a lease that ends `ttl` after its last renewal, in whole seconds.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId>> + Send;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`LeaseLost`](errors::Error::LeaseLost) if the lease has ended.
    fn keep_alive(&self, lease: LeaseId) -> impl Future<Output = Result<()>> + Send;

    /// Watches every key that starts with `prefix` for changes from `revision`
    /// on.
    fn watch(&self, prefix: &str, revision: u64) -> impl Future<Output = Result<Watch>> + Send;
}

/// `Watch` hands out changes until the platform or the network ends it.
/// Dropping it ends the call.
#[derive(Debug)]
pub struct Watch {
    changes: mpsc::Receiver<Change>,
    reader: JoinHandle<()>,
}

impl Watch {
    /// Makes a watch of the changes that the task `reader` sends.
    pub fn new(changes: mpsc::Receiver<Change>, reader: JoinHandle<()>) -> Watch {
        Watch { changes, reader }
    }

    /// The next change, or `None` once the watch has ended.
    pub async fn next(&mut self) -> Option<Change> {
        self.changes.recv().await
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.reader.abort();
    }
}
