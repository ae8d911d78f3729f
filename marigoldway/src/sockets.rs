//! UDP sockets with a large receive buffer.

use std::net::SocketAddr;

use error_stack::ResultExt;

use marigoldway_net::udp::BUFFER_LEN;
use marigoldway_net::udp::Udp;

use crate::errors::Error;
use crate::errors::Result;

/// Binds a UDP socket. Logs a warning if the kernel grants a receive buffer smaller than
/// [`BUFFER_LEN`].
pub(crate) fn bind(addr: SocketAddr) -> Result<Udp> {
    let socket = Udp::bind(addr).change_context_lazy(|| Error::Bind(addr))?;
    let granted = socket.recv_buffer_len();
    if granted < BUFFER_LEN {
        log::warn!("event=small-buffer addr={addr} granted={granted} asked={BUFFER_LEN}");
    }
    Ok(socket)
}
