//! UDP sockets of a process.

use std::net::SocketAddr;

use error_stack::ResultExt;

use marigoldway_net::udp::BUFFER_LEN;
use marigoldway_net::udp::Udp;

use crate::errors::Error;
use crate::errors::Result;

/// Binds a socket and says so if the kernel grants less than it was asked for.
pub(crate) fn bind(addr: SocketAddr) -> Result<Udp> {
    let socket = Udp::bind(addr).change_context_lazy(|| Error::Bind(addr))?;
    let granted = socket.recv_buffer_len();
    if granted < BUFFER_LEN {
        log::warn!("event=small-buffer addr={addr} granted={granted} asked={BUFFER_LEN}");
    }
    Ok(socket)
}
