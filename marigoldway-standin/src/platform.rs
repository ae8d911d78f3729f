//! Stand-in for the platform's key-value service.

use std::io;
use std::net::SocketAddrV4;

/// `PlatformOptions` says how the platform is served.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address to listen at.
    pub listen: SocketAddrV4,
}

/// Serves the platform until the process is ended.
pub async fn run(options: PlatformOptions) -> io::Result<()> {
    let addr = options.listen;
    Err(io::Error::other(format!("no platform at {addr} yet")))
}
