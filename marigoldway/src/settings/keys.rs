//! Fleet keys: secrets that all processes of a deployment share.

use std::env;
use std::fmt;
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::path::PathBuf;

use marigoldway_core::route::RouteKey;
use marigoldway_core::route::RouteKeys;

use crate::settings::document::Document;
use crate::settings::document::Reader;
use crate::settings::document::Section;
use crate::settings::faults::Expected;
use crate::settings::faults::Fault;
use crate::settings::faults::Faults;
use crate::settings::values;

/// Length of a [`Secret`] in octets.
pub const SECRET_LEN: usize = 32;

/// Length of each of the two parts of a route key, cipher and tag, in octets.
pub const ROUTE_KEY_LEN: usize = 16;

/// Maximum key epoch, the number of a route key. A route ID stores the epoch in two bits.
pub const MAX_EPOCH: u8 = 3;

/// Permission bits of group and others; a keys file must have none of them.
const SHARED_MODE: u32 = 0o077;

/// Source of the fleet keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// A keys file that only its owner may access.
    File(PathBuf),
    /// An environment variable that holds the text of a keys file.
    Variable(String),
}

impl TryFrom<&str> for KeySource {
    type Error = Expected;

    fn try_from(text: &str) -> Result<KeySource, Expected> {
        match text.strip_prefix("env:") {
            Some("") => Err(Expected::new(
                "the name of an environment variable after env:",
            )),
            Some(name) => Ok(KeySource::Variable(name.to_owned())),
            None if text.is_empty() => Err(Expected::new("a path, or env:NAME")),
            None => Ok(KeySource::File(PathBuf::from(text))),
        }
    }
}

/// A fleet key. Its `Debug` output hides the octets, so that it never appears in logs.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(pub [u8; SECRET_LEN]);

impl Secret {
    /// Splits the secret into two keys of 16 octets, for components that need two.
    pub fn halves(&self) -> ([u8; SECRET_LEN / 2], [u8; SECRET_LEN / 2]) {
        let half_at = |start| std::array::from_fn(|at| self.0[start + at]);
        (half_at(0), half_at(SECRET_LEN / 2))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Validated keys of a fleet.
#[derive(Clone)]
pub struct FleetKeys {
    /// Keys that encode and decode route IDs.
    pub route: RouteKeys,
    /// Key of the envelope, the header of packets between entries and agents.
    pub envelope: Secret,
    /// Key from which the tokens of stateless resets are derived.
    pub reset: Secret,
    /// Key of idempotency keys.
    pub idempotency: Secret,
    /// Key that authenticates the control channel, the TCP connections between processes.
    pub control: Secret,
}

impl fmt::Debug for FleetKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("FleetKeys(..)")
    }
}

impl FleetKeys {
    /// Reads keys from their source. A relative path refers to `dir`.
    ///
    /// Fails if the keys are invalid, or if group or others have any permission on the file. Faults
    /// never contain a key.
    pub fn load(source: &KeySource, dir: &Path) -> Result<FleetKeys, Faults> {
        let document = match source {
            KeySource::File(path) => {
                let path = dir.join(path);
                check_mode(&path)?;
                Document::load(&path)?
            }
            KeySource::Variable(name) => {
                let file = PathBuf::from(format!("env:{name}"));
                let text = env::var(name)
                    .map_err(|err| Faults(vec![Fault::file(&file, err.to_string(), "keys")]))?;
                Document::parse(&file, &text)?
            }
        };
        FleetKeys::try_from(&document)
    }
}

impl TryFrom<&Document> for FleetKeys {
    type Error = Faults;

    fn try_from(document: &Document) -> Result<FleetKeys, Faults> {
        let mut reader = Reader::new(document);
        let keys = reader.section("keys", read_keys);
        reader
            .finish(keys, "only the section [keys]")
            .map_err(redact)
    }
}

fn read_keys(section: &mut Section<'_>) -> Option<FleetKeys> {
    let epoch = section.required("route-epoch", epoch);
    let cipher = section.required("route-cipher", hex::<ROUTE_KEY_LEN>);
    let tag = section.required("route-tag", hex::<ROUTE_KEY_LEN>);
    let current_key = || Some(RouteKey::new(epoch?, &cipher?, &tag?));
    let second = read_second(section, epoch);
    let mut secret = |key| section.required(key, hex::<SECRET_LEN>).map(Secret);
    let envelope = secret("envelope");
    let reset = secret("reset");
    let idempotency = secret("idempotency");
    let control = secret("control");

    Some(FleetKeys {
        route: RouteKeys::new(current_key()?, second?),
        envelope: envelope?,
        reset: reset?,
        idempotency: idempotency?,
        control: control?,
    })
}

/// Settings keys of one route key.
struct RouteNames {
    epoch: &'static str,
    cipher: &'static str,
    tag: &'static str,
}

/// Settings keys of the previous route key, which only decodes.
const PREVIOUS: RouteNames = RouteNames {
    epoch: "previous-epoch",
    cipher: "previous-cipher",
    tag: "previous-tag",
};

/// Settings keys of the next route key, which only decodes.
const NEXT: RouteNames = RouteNames {
    epoch: "next-epoch",
    cipher: "next-cipher",
    tag: "next-tag",
};

/// Reads the second route key, which is either the previous or the next one. The file may have
/// neither; both together are a fault. The outer option is `None` after a fault, the inner one if
/// there is no second key. `current` is the epoch of the current key.
fn read_second(section: &mut Section<'_>, current: Option<u8>) -> Option<Option<RouteKey>> {
    let previous = read_optional(section, &PREVIOUS, current);
    let next = read_optional(section, &NEXT, current);
    match (previous?, next?) {
        (Some(_), Some(_)) => {
            section.reject(NEXT.epoch, "either the previous key or the next one");
            None
        }
        (previous, next) => Some(previous.or(next)),
    }
}

/// Reads an optional route key. The file must have all three of its values or none, and the epoch
/// must differ from `current`. The outer option is `None` after a fault, the inner one if there is
/// no key.
fn read_optional(
    section: &mut Section<'_>,
    names: &RouteNames,
    current: Option<u8>,
) -> Option<Option<RouteKey>> {
    let parse_epoch = |text: &str| match epoch(text) {
        Ok(epoch) if Some(epoch) == current => {
            Err(Expected::new("an epoch other than route-epoch"))
        }
        result => result,
    };
    let epoch = section.optional(names.epoch, parse_epoch);
    if epoch == Some(None) {
        // Values without their epoch are faults; otherwise they would be ignored silently.
        let reject = |_: &str| Err::<(), _>(Expected::new(format!("{} beside it", names.epoch)));
        let cipher = section.optional(names.cipher, reject);
        let tag = section.optional(names.tag, reject);
        return cipher.and(tag).map(|_| None);
    }
    let cipher = section.required(names.cipher, hex::<ROUTE_KEY_LEN>);
    let tag = section.required(names.tag, hex::<ROUTE_KEY_LEN>);
    Some(Some(RouteKey::new(epoch??, &cipher?, &tag?)))
}

fn epoch(text: &str) -> Result<u8, Expected> {
    values::number(text, 0..=u32::from(MAX_EPOCH)).map(|epoch| epoch as u8)
}

fn hex<const LEN: usize>(text: &str) -> Result<[u8; LEN], Expected> {
    let expected = || Expected::new(format!("{} hexadecimal digits", LEN * 2));
    if text.len() != LEN * 2 || !text.is_ascii() {
        return Err(expected());
    }
    let mut octets = [0; LEN];
    for (i, octet) in octets.iter_mut().enumerate() {
        *octet = u8::from_str_radix(&text[i * 2..i * 2 + 2], 16).map_err(|_| expected())?;
    }
    Ok(octets)
}

/// Removes the text that was read from the faults of a keys file, since it may be a key.
fn redact(mut faults: Faults) -> Faults {
    for fault in &mut faults.0 {
        if !fault.key.is_empty() && fault.read.is_some() {
            fault.read = Some("(not shown)".to_owned());
        }
    }
    faults
}

/// Checks that neither group nor others have any permission on a keys file.
fn check_mode(path: &Path) -> Result<(), Faults> {
    let fault = |read: String, expected| Faults(vec![Fault::file(path, read, expected)]);
    let meta = fs::metadata(path)
        .map_err(|err| fault(err.to_string(), "a keys file created by marigoldway keys"))?;
    let mode = meta.permissions().mode() & 0o777;
    if mode & SHARED_MODE != 0 {
        return Err(fault(format!("mode {mode:04o}"), "mode 0600"));
    }
    Ok(())
}
