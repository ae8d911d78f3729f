//! `marigoldway keys`: creates fleet keys and development certificates.
//!
//! Fleet keys are the secrets that all processes of a deployment share. One of them, the route key,
//! encrypts route IDs: QUIC connection IDs that encode the route to a target.
//!
//! A route key changes in two steps, so that a rolling restart interrupts no flow. [`stage`] adds
//! the next key, which decodes route IDs but doesn't encode them yet. Once every process has the
//! next key, [`rotate`] makes it the current one. The old key still decodes.

mod file;

use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;
use rand::RngExt;

use crate::errors::Error;
use crate::errors::Result;
use crate::keys::file::replace;
use crate::keys::file::write_new;
use crate::process::settings_error;
use crate::settings::Document;
use crate::settings::Faults;
use crate::settings::FleetKeys;
use crate::settings::KeySource;
use crate::settings::MAX_EPOCH;
use crate::settings::ROUTE_KEY_LEN;
use crate::settings::SECRET_LEN;

/// File name of the certificate.
const CERTIFICATE_FILE: &str = "certificate.pem";

/// File name of the private key.
const KEY_FILE: &str = "key.pem";

/// Creates `file` with new random fleet keys. Fails if the file exists.
pub fn create(file: &Path) -> Result<()> {
    let mut lines = vec![
        "[keys]".to_owned(),
        "route-epoch = 0".to_owned(),
        format!("route-cipher = {}", random_hex(ROUTE_KEY_LEN)),
        format!("route-tag = {}", random_hex(ROUTE_KEY_LEN)),
    ];
    for name in ["envelope", "reset", "idempotency", "control"] {
        lines.push(format!("{name} = {}", random_hex(SECRET_LEN)));
    }
    lines.push(String::new());
    write_new(file, &lines.join("\n"))
}

/// Adds a random next route key to a keys file. Removes the previous or next key that the file has.
/// The new epoch, the number that tells route keys apart, is the current one plus 1; 0 follows
/// [`MAX_EPOCH`].
pub fn stage(file: &Path) -> Result<()> {
    let document = load(file)?;
    let epoch = document.value("keys", "route-epoch").unwrap_or_default();
    let epoch: u8 = epoch.parse().change_context_lazy(|| write_error(file))?;
    let next = (epoch + 1) % (MAX_EPOCH + 1);

    let mut lines = vec!["[keys]".to_owned()];
    for (key, value) in document.values("keys") {
        if !key.starts_with("previous-") && !key.starts_with("next-") {
            lines.push(format!("{key} = {value}"));
        }
    }
    lines.push(format!("next-epoch = {next}"));
    lines.push(format!("next-cipher = {}", random_hex(ROUTE_KEY_LEN)));
    lines.push(format!("next-tag = {}", random_hex(ROUTE_KEY_LEN)));
    lines.push(String::new());
    replace(file, &lines.join("\n"))
}

/// Makes the next route key of a keys file the current one, and the current key the previous one.
/// Fails if the file has no next key.
pub fn rotate(file: &Path) -> Result<()> {
    let document = load(file)?;
    if document.value("keys", "next-epoch").is_none() {
        let report = Report::new(write_error(file));
        return Err(report
            .attach("no next key: run marigoldway keys stage, distribute the file, then rotate"));
    }

    let mut lines = vec!["[keys]".to_owned()];
    for (key, value) in document.values("keys") {
        let key = if let Some(part) = key.strip_prefix("next-") {
            format!("route-{part}")
        } else if let Some(part) = key.strip_prefix("route-") {
            format!("previous-{part}")
        } else {
            key.to_owned()
        };
        lines.push(format!("{key} = {value}"));
    }
    lines.push(String::new());
    replace(file, &lines.join("\n"))
}

/// Writes a self-signed certificate for `name` and its private key to `dir`, which is created if
/// missing. Fails if either file exists.
pub fn write_certificate(dir: &Path, name: &str) -> Result<()> {
    let write_dir_error = || Error::Write(dir.display().to_string());
    let certified = rcgen::generate_simple_self_signed(vec![name.to_owned()]);
    let certified = certified.change_context_lazy(write_dir_error)?;
    std::fs::create_dir_all(dir).change_context_lazy(write_dir_error)?;
    write_new(&dir.join(CERTIFICATE_FILE), &certified.cert.pem())?;
    write_new(&dir.join(KEY_FILE), &certified.signing_key.serialize_pem())
}

/// Loads a keys file and checks that it is valid and that only its owner may read it.
fn load(file: &Path) -> Result<Document> {
    let check = || -> std::result::Result<Document, Faults> {
        FleetKeys::load(&KeySource::File(file.to_path_buf()), Path::new(""))?;
        Document::load(file)
    };
    check().map_err(settings_error)
}

fn write_error(file: &Path) -> Error {
    Error::Write(file.display().to_string())
}

fn random_hex(octets: usize) -> String {
    let mut rng = rand::rng();
    (0..octets)
        .map(|_| format!("{:02x}", rng.random::<u8>()))
        .collect()
}
