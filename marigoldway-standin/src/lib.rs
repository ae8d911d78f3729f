//! Stand-ins for the fabric, the platform and the targets; never shipped.
//!
//! Each of the three prints a line `listening=ADDR` for every address that it
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
