//! JSON messages of etcd's v3 gateway, limited to the fields that the client uses.
//!
//! The gateway follows the JSON mapping of protocol buffers: octets in base64,
//! 64-bit numbers as strings, and fields with their default value omitted.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;

use crate::platform::Change;
use crate::platform::KeyValue;
use crate::platform::LeaseId;
use crate::platform::Range;
use crate::platform::ReadResult;
use crate::platform::Swap;
use crate::platform::errors::Error;

#[derive(Debug, Serialize)]
pub(crate) struct RangeRequest {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    limit: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    sort_order: Option<&'static str>,
}

impl From<Range<'_>> for RangeRequest {
    fn from(range: Range<'_>) -> RangeRequest {
        let (key, end) = match range {
            Range::Key(key) => (key, None),
            Range::Newest(key, _) | Range::Prefix(key) => (key, Some(prefix_end(key))),
        };
        let limit = match range {
            Range::Newest(_, limit) => Some(limit),
            Range::Key(_) | Range::Prefix(_) => None,
        };
        RangeRequest {
            key: STANDARD.encode(key),
            range_end: end,
            limit: limit.map(|n| n.to_string()),
            sort_order: limit.map(|_| "DESCEND"),
        }
    }
}

/// Returns the first key after all keys that start with `prefix`, in base64.
/// Prefixes end in an ASCII character, so the last octet can be incremented.
fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last = last.saturating_add(1);
    }
    STANDARD.encode(end)
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    revision: StringNumber,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WireKeyValue {
    key: String,
    value: String,
    mod_revision: StringNumber,
}

impl TryFrom<WireKeyValue> for KeyValue {
    type Error = Error;

    fn try_from(kv: WireKeyValue) -> Result<KeyValue, Error> {
        let key = STANDARD.decode(kv.key).map_err(Error::invalid_response)?;
        Ok(KeyValue {
            key: String::from_utf8(key).map_err(Error::invalid_response)?,
            value: STANDARD.decode(kv.value).map_err(Error::invalid_response)?,
            revision: kv.mod_revision.0,
        })
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    header: Header,
    kvs: Vec<WireKeyValue>,
}

impl TryFrom<RangeResponse> for ReadResult {
    type Error = Error;

    fn try_from(response: RangeResponse) -> Result<ReadResult, Error> {
        Ok(ReadResult {
            found: response
                .kvs
                .into_iter()
                .map(KeyValue::try_from)
                .collect::<Result<_, _>>()?,
            revision: response.header.revision.0,
            ..ReadResult::default()
        })
    }
}

#[derive(Debug, Serialize)]
pub(crate) struct TxnRequest {
    compare: Vec<Compare>,
    success: Vec<Operation>,
}

#[derive(Debug, Serialize)]
struct Compare {
    key: String,
    target: &'static str,
    result: &'static str,
    mod_revision: String,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Operation {
    RequestPut(Put),
    RequestDeleteRange(DeleteRange),
}

#[derive(Debug, Serialize)]
struct DeleteRange {
    key: String,
}

#[derive(Debug, Serialize)]
struct Put {
    key: String,
    value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<String>,
}

impl From<&Swap> for TxnRequest {
    fn from(swap: &Swap) -> TxnRequest {
        let compare = swap.compares.iter().map(|(key, revision)| Compare {
            key: STANDARD.encode(key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: revision.to_string(),
        });
        let put = |(key, value): &(String, Vec<u8>), lease: Option<LeaseId>| {
            Operation::RequestPut(Put {
                key: STANDARD.encode(key),
                value: STANDARD.encode(value),
                lease: lease.map(|LeaseId(id)| id.to_string()),
            })
        };
        let leased = swap.puts.iter().map(|it| put(it, swap.lease));
        let puts = leased.chain(swap.lasting.iter().map(|it| put(it, None)));
        let removes = swap.removes.iter().map(|key| {
            Operation::RequestDeleteRange(DeleteRange {
                key: STANDARD.encode(key),
            })
        });
        TxnRequest {
            compare: compare.collect(),
            success: puts.chain(removes).collect(),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    header: Header,
    pub(crate) succeeded: bool,
}

impl TxnResponse {
    pub(crate) fn revision(&self) -> u64 {
        self.header.revision.0
    }
}

#[derive(Debug, Serialize)]
pub(crate) struct GrantRequest {
    /// Lifetime of the lease in seconds.
    #[serde(rename = "TTL")]
    pub(crate) ttl: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub(crate) id: StringNumber,
    /// Remaining lifetime in seconds; 0 if the lease has ended.
    #[serde(rename = "TTL")]
    pub(crate) ttl: StringNumber,
}

#[derive(Debug, Serialize)]
pub(crate) struct KeepAliveRequest {
    #[serde(rename = "ID")]
    pub(crate) id: String,
}

/// `StreamMessage` wraps each message of a response that is a stream.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct StreamMessage<T> {
    pub(crate) result: T,
}

#[derive(Debug, Serialize)]
pub(crate) struct WatchRequest {
    create_request: CreateRequest,
}

#[derive(Debug, Serialize)]
struct CreateRequest {
    key: String,
    range_end: String,
    start_revision: String,
}

impl WatchRequest {
    pub(crate) fn new(prefix: &str, revision: u64) -> WatchRequest {
        WatchRequest {
            create_request: CreateRequest {
                key: STANDARD.encode(prefix),
                range_end: prefix_end(prefix),
                start_revision: revision.to_string(),
            },
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResponse {
    /// Whether the service has ended the watch.
    pub(crate) canceled: bool,
    pub(crate) events: Vec<Event>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Event {
    #[serde(rename = "type")]
    kind: String,
    kv: WireKeyValue,
}

impl Event {
    /// Decodes the event into a change of the watched keys. Fails if the key isn't
    /// base64 of UTF-8, or the value isn't base64.
    pub(crate) fn into_change(self) -> Result<Change, Error> {
        let deleted = self.kind == "DELETE";
        let stored = KeyValue::try_from(self.kv)?;
        if deleted {
            return Ok(Change::Deleted {
                key: stored.key,
                revision: stored.revision,
            });
        }
        Ok(Change::Put(stored))
    }
}

/// `StringNumber` is a 64-bit number that JSON carries as a string.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(try_from = "String")]
pub(crate) struct StringNumber(pub(crate) u64);

impl TryFrom<String> for StringNumber {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<StringNumber, Self::Error> {
        text.parse().map(StringNumber)
    }
}
