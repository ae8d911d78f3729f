//! `marigoldway keys`: fleet keys and development certificates.
//!
//! A route key changes in two steps, so that no flow breaks while processes are
//! restarted one after the other: [`stage`] adds the next key, which decodes
//! but isn't used; once every process has it, [`rotate`] makes it the current
//! key, and the old one still decodes.

mod file;

use std::path::Path;

use error_stack::Report;
use error_stack::ResultExt;
use rand::RngExt;

use crate::errors::Error;
use crate::errors::Result;
use crate::keys::file::write_new;
use crate::keys::file::write_over;
use crate::process::refuse;
use crate::settings::Document;
use crate::settings::Faults;
use crate::settings::FleetKeys;
use crate::settings::KeySource;
use crate::settings::MAX_EPOCH;
use crate::settings::ROUTE_KEY_LEN;
use crate::settings::SECRET_LEN;

/// Name of the certificate's file.
const CERTIFICATE_FILE: &str = "certificate.pem";

/// Name of the private key's file.
const KEY_FILE: &str = "key.pem";

/// Writes new fleet keys to a file that must not exist.
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

/// Adds the next route key to a keys file, in place of a previous one.
pub fn stage(file: &Path) -> Result<()> {
    let document = load(file)?;
    let epoch = document.value("keys", "route-epoch").unwrap_or_default();
    let epoch: u8 = epoch.parse().change_context_lazy(|| unwritten(file))?;
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
    write_over(file, &lines.join("\n"))
}

/// Makes the next route key of a keys file the current one, and the current one
/// the previous.
pub fn rotate(file: &Path) -> Result<()> {
    let document = load(file)?;
    if document.value("keys", "next-epoch").is_none() {
        let report = Report::new(unwritten(file));
        return Err(report.attach(
            "there is no next key: run marigoldway keys stage, hand the file out, then rotate",
        ));
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
    write_over(file, &lines.join("\n"))
}

/// Writes a certificate that signs itself, and its key, to a directory that has
/// neither.
pub fn write_certificate(dir: &Path, name: &str) -> Result<()> {
    let failed = || Error::Write(dir.display().to_string());
    let made = rcgen::generate_simple_self_signed(vec![name.to_owned()]);
    let made = made.change_context_lazy(failed)?;
    std::fs::create_dir_all(dir).change_context_lazy(failed)?;
    write_new(&dir.join(CERTIFICATE_FILE), &made.cert.pem())?;
    write_new(&dir.join(KEY_FILE), &made.signing_key.serialize_pem())
}

/// Reads a keys file that is whole and private.
fn load(file: &Path) -> Result<Document> {
    let check = || -> std::result::Result<Document, Faults> {
        FleetKeys::load(&KeySource::File(file.to_path_buf()), Path::new(""))?;
        Document::load(file)
    };
    check().map_err(refuse)
}

fn unwritten(file: &Path) -> Error {
    Error::Write(file.display().to_string())
}

fn random_hex(octets: usize) -> String {
    let mut rng = rand::rng();
    (0..octets)
        .map(|_| format!("{:02x}", rng.random::<u8>()))
        .collect()
}
