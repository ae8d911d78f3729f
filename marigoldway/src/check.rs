//! `marigoldway check`: validates a settings file and starts nothing.

use std::path::Path;

use crate::errors::Result;
use crate::process::refuse;
use crate::settings::AgentSettings;
use crate::settings::Document;
use crate::settings::EntrySettings;

/// Checks a file, as an agent's if it has a section of agents only, else as an
/// entry's.
pub fn run(file: &Path) -> Result<()> {
    let document = Document::load(file).map_err(refuse)?;
    let name = file.display();
    if document.has_section("target") || document.has_section("tls") {
        let settings = AgentSettings::try_from(&document).map_err(refuse)?;
        let service = settings.target.service;
        println!("file={name} role=agent service={service} result=ok");
    } else {
        let settings = EntrySettings::try_from(&document).map_err(refuse)?;
        let services = settings.services.len();
        println!("file={name} role=entry services={services} result=ok");
    }
    Ok(())
}
