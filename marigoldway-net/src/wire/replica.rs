//! Format of the changes of the store's keys that processes read from each other.
//!
//! An answer is its age, followed by its content. Many readers ask for the same content, each at a
//! time of its own, so the content is encoded once for all of them. It is compressed if it is long:
//! a link may take a second for a megabyte.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use marigoldway_core::replica::Answer;
use marigoldway_core::replica::Change;
use marigoldway_core::replica::Content;
use marigoldway_core::replica::Item;
use marigoldway_core::replica::epoch::Epoch;
use marigoldway_core::replica::epoch::EpochRevision;
use marigoldway_core::replica::sources::Freshness;

use crate::errors::Error;
use crate::errors::Result;
use crate::wire;
use crate::wire::packing;

/// Length of an encoded age in octets.
const AGE_LEN: usize = 4;

/// First part of the path at which a follower serves changes.
const PATH: &str = "/changes/";

/// First part of the path by which a reader also demands a confirmation.
const DEMAND_PATH: &str = "/demand/";

/// `AnswerWire` is the CBOR form of an [`Answer`] without its age.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerWire {
    #[serde(rename = "e")]
    epoch: u64,
    #[serde(rename = "r")]
    revision: u64,
    /// Whether the items replace all that the reader has.
    #[serde(rename = "s")]
    snapshot: bool,
    #[serde(rename = "i")]
    items: Vec<ItemWire>,
}

/// `ItemWire` is an item, or a change if the value is missing: the key was deleted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct ItemWire {
    #[serde(rename = "k")]
    key: String,
    #[serde(rename = "v")]
    value: Option<Bytes>,
    #[serde(rename = "r")]
    revision: u64,
}

/// `Request` is what a reader asks of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// Prefix of the keys.
    pub prefix: &'a str,
    /// Epoch that the reader knows, and the revision up to which it has all changes.
    pub after: EpochRevision,
    /// What the reader demands.
    pub freshness: Freshness,
}

impl Request<'_> {
    /// The path of the request.
    pub fn path(&self) -> String {
        let prefix = self.prefix;
        let EpochRevision { epoch, revision } = self.after;
        match self.freshness {
            Freshness::Known => format!("{PATH}{epoch}.{revision}/{prefix}"),
            // Rounded down: the demanded time must not look earlier than it is.
            Freshness::AsOf(age) => {
                let age_ms = age.as_millis();
                format!("{DEMAND_PATH}{age_ms}/{epoch}.{revision}/{prefix}")
            }
        }
    }
}

/// The request whose path this is. Returns `None` for another path.
pub fn parse_path(path: &str) -> Option<Request<'_>> {
    let (freshness, rest) = match path.strip_prefix(PATH) {
        Some(rest) => (Freshness::Known, rest),
        None => {
            let (age, rest) = path.strip_prefix(DEMAND_PATH)?.split_once('/')?;
            (
                Freshness::AsOf(Duration::from_millis(age.parse().ok()?)),
                rest,
            )
        }
    };
    let (after, prefix) = rest.split_once('/')?;
    Some(Request {
        prefix,
        after: parse_after(after)?,
        freshness,
    })
}

/// The epoch and the revision of a request, which a dot separates.
fn parse_after(text: &str) -> Option<EpochRevision> {
    let (epoch, revision) = text.split_once('.')?;
    let epoch = Epoch(epoch.parse().ok()?);
    Some(EpochRevision::new(epoch, revision.parse().ok()?))
}

/// Encodes an answer. Fails if it can't be encoded.
pub fn encode(answer: &Answer) -> Result<Vec<u8>> {
    let mut octets = encode_age(answer.age).to_vec();
    octets.extend(encode_content(answer)?);
    Ok(octets)
}

/// Encodes the age of an answer, the first part of its encoding.
pub fn encode_age(age: Duration) -> [u8; AGE_LEN] {
    // Rounded up: a confirmation must not look newer than it is.
    let age_ms = u32::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX);
    age_ms.to_be_bytes()
}

/// Encodes all of an answer but its age, the second part of its encoding. Fails if it can't be
/// encoded.
pub fn encode_content(answer: &Answer) -> Result<Vec<u8>> {
    packing::pack(wire::encode(&AnswerWire::from(answer))?)
}

/// Decodes an answer. Fails if the octets aren't one, or if its content is longer than
/// [`packing::MAX_LEN`].
pub fn decode(octets: &[u8]) -> Result<Answer> {
    let (age, content) = octets
        .split_first_chunk::<AGE_LEN>()
        .ok_or_else(|| Error::malformed("answer without an age"))?;
    let content: AnswerWire = wire::decode(&packing::unpack(content)?)?;
    let age = Duration::from_millis(u64::from(u32::from_be_bytes(*age)));
    Ok(content.into_answer(age))
}

impl From<&Answer> for AnswerWire {
    fn from(answer: &Answer) -> AnswerWire {
        let (snapshot, items) = match &answer.content {
            Content::Changes(changes) => (false, changes.iter().map(ItemWire::from).collect()),
            Content::Snapshot(items) => (true, items.iter().map(ItemWire::from).collect()),
        };
        AnswerWire {
            epoch: answer.epoch.0,
            revision: answer.revision,
            snapshot,
            items,
        }
    }
}

impl AnswerWire {
    /// The answer of this content with an age.
    fn into_answer(self, age: Duration) -> Answer {
        let items = self.items.into_iter();
        let content = if self.snapshot {
            // A snapshot has no deletions.
            let puts = items.filter_map(|it| match Change::from(it) {
                Change::Put(item) => Some(item),
                Change::Deleted(..) => None,
            });
            Content::Snapshot(puts.collect())
        } else {
            Content::Changes(items.map(Change::from).collect())
        };
        Answer {
            epoch: Epoch(self.epoch),
            revision: self.revision,
            age,
            content,
        }
    }
}

impl From<&Item> for ItemWire {
    fn from(item: &Item) -> ItemWire {
        ItemWire {
            key: item.key.clone(),
            value: Some(item.value.clone()),
            revision: item.revision,
        }
    }
}

impl From<&Change> for ItemWire {
    fn from(change: &Change) -> ItemWire {
        match change {
            Change::Put(item) => ItemWire::from(item),
            Change::Deleted(key, revision) => ItemWire {
                key: key.clone(),
                value: None,
                revision: *revision,
            },
        }
    }
}

impl From<ItemWire> for Change {
    fn from(wire: ItemWire) -> Change {
        match wire.value {
            Some(value) => Change::Put(Item {
                key: wire.key,
                value,
                revision: wire.revision,
            }),
            None => Change::Deleted(wire.key, wire.revision),
        }
    }
}
