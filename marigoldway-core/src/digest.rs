//! Digests: checksums that locate the differences between two rosters.
//!
//! A roster is the set of instance records that a process holds. A hash of the
//! instance ID assigns each record to a bucket, and the digest holds one checksum
//! per bucket. Only the records in buckets whose checksums differ are sent.

use crate::ids::InstanceId;
use crate::message::Digest;
use crate::message::Scope;
use crate::placement::mix;
use crate::roster::Record;
use crate::roster::Role;
use crate::roster::Roster;
use crate::roster::State;

/// Approximate average number of records per bucket, up to [`MAX_BUCKETS`] buckets.
const RECORDS_PER_BUCKET: usize = 8;

/// Maximum number of buckets in a digest.
const MAX_BUCKETS: usize = 256;

impl Scope {
    /// Returns whether the scope includes a record.
    pub fn covers(self, record: &Record) -> bool {
        match self {
            Scope::All => true,
            Scope::Service(service) => {
                record.role == Role::Entry || record.service == Some(service)
            }
        }
    }
}

/// Computes a digest of `roster` with a number of buckets that suits its size.
pub fn digest(roster: &Roster, scope: Scope) -> Digest {
    let buckets = (count(roster, scope) / RECORDS_PER_BUCKET).next_power_of_two();
    digest_with(roster, scope, buckets.min(MAX_BUCKETS))
}

/// Number of records of `roster` in `scope`.
pub fn count(roster: &Roster, scope: Scope) -> usize {
    roster.records().filter(|it| scope.covers(it)).count()
}

/// Computes a digest with `buckets` buckets, which must be a power of two.
pub fn digest_with(roster: &Roster, scope: Scope, buckets: usize) -> Digest {
    let mut sums = vec![0; buckets];
    let mut count = 0;
    for record in roster.records().filter(|it| scope.covers(it)) {
        sums[bucket(record.id, buckets)] ^= fingerprint(record);
        count += 1;
    }
    Digest {
        scope,
        count,
        sums,
        reply: false,
    }
}

/// Checksum over all records of `roster` in `scope`, zero if there are none.
pub fn sum(roster: &Roster, scope: Scope) -> u32 {
    roster
        .records()
        .filter(|it| scope.covers(it))
        .fold(0, |sum, record| sum ^ fingerprint(record))
}

/// Records of `roster` in the scope of `digest`, from the buckets whose checksums
/// differ from `digest`.
pub fn differing<'a>(roster: &'a Roster, digest: &Digest) -> Vec<&'a Record> {
    let buckets = digest.sums.len();
    let own = digest_with(roster, digest.scope, buckets);
    roster
        .records()
        .filter(|it| digest.scope.covers(it))
        .filter(|it| {
            let bucket = bucket(it.id, buckets);
            own.sums[bucket] != digest.sums[bucket]
        })
        .collect()
}

/// Returns whether the checksums of `roster`, in the scope of `digest`, all match.
pub fn agrees(roster: &Roster, digest: &Digest) -> bool {
    digest_with(roster, digest.scope, digest.sums.len()).sums == digest.sums
}

fn bucket(id: InstanceId, buckets: usize) -> usize {
    // The number of buckets is a power of two below 2^32.
    mix(id.to_u64()) as usize & (buckets - 1)
}

/// Hash of all fields of a record except its role, which doesn't change. All
/// processes compute the same hash.
fn fingerprint(record: &Record) -> u32 {
    let state = match record.state {
        State::Starting => 0,
        State::Serving => 1,
        State::Leaving => 2,
        State::Suspect => 3,
        State::Down => 4,
    };
    let service = record.service.map_or(u64::MAX, |it| u64::from(it.0));
    let location = u64::from(record.domain.0) << 8 | u64::from(record.region.0);
    let revision = u64::from(record.incarnation.0) << 32 | u64::from(record.version);
    let parts = [
        record.id.to_u64(),
        revision,
        state << 16 | u64::from(record.weight),
        service,
        location,
        InstanceId(record.control).to_u64(),
    ];
    let hash = parts.into_iter().fold(0, |hash, part| mix(hash ^ part));
    (hash >> 32) as u32
}
