//! `marigoldway check`: validates a settings file without starting a process.

use std::path::Path;

use crate::errors::Result;
use crate::process::settings_error;
use crate::settings::AgentSettings;
use crate::settings::Document;
use crate::settings::EntrySettings;

/// Validates `file` and prints its role on one line if it is valid.
///
/// A file with a `[target]` or `[tls]` section is read as the settings of an agent for QUIC
/// services, any other file as those of an entry. Fails with all faults of the file.
pub fn run(file: &Path) -> Result<()> {
    let document = Document::load(file).map_err(settings_error)?;
    let name = file.display();
    if document.has_section("target") || document.has_section("tls") {
        let settings = AgentSettings::try_from(&document).map_err(settings_error)?;
        let service = settings.target.service;
        println!("file={name} role=agent service={service} result=ok");
    } else {
        let settings = EntrySettings::try_from(&document).map_err(settings_error)?;
        let services = settings.services.len();
        println!("file={name} role=entry services={services} result=ok");
    }
    Ok(())
}
