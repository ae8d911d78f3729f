//! Stand-ins for the fabric, the platform and the targets of the system, and a soak test that runs
//! the system's processes. None of them is shipped.
//!
//! Each of the three stand-ins prints a line `listening=ADDR` for every address that it
//! listens on, in the order of its options, so that tests can bind port 0 and read
//! the port. [`cli`] lists the subcommands.

pub mod cli;
pub mod fabric;
mod http;
mod packets;
pub mod platform;
pub mod soak;
pub mod target;

use std::fmt::Display;
use std::io;
use std::io::Write;

/// Prints a listening address for the parent process.
fn announce(addr: impl Display) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "listening={addr}")?;
    out.flush()
}
