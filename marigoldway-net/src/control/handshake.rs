//! How two processes prove to each other that they hold the control key.
//!
//! Each end sends a [`Hello`] with a fresh nonce. Then each end sends an empty
//! sealed message, which only a holder of the key can make for this pair of
//! nonces. Nothing that a peer says counts before its proof was checked.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use serde::Deserialize;
use serde::Serialize;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::control::Shared;
use crate::control::counting_stream::CountingStream;
use crate::control::seal::Session;
use crate::control::seal::Side;
use crate::errors::Error;
use crate::errors::Result;
use crate::wire;

/// Version of the control protocol.
const VERSION: u8 = 1;

/// Longest message in octets: a page of a list and its frame.
const MESSAGE_LIMIT: usize = 2 << 20;

/// `Socket` carries the messages of a connection.
pub(super) type Socket = WebSocketStream<CountingStream>;

/// `Hello` is the first message of each end.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Hello {
    version: u8,
    nonce: [u8; 16],
    ip: u32,
    port: u16,
}

impl Hello {
    /// Makes the greeting of the process at `address`.
    pub(super) fn new(nonce: [u8; 16], address: SocketAddrV4) -> Hello {
        Hello {
            version: VERSION,
            nonce,
            ip: address.ip().to_bits(),
            port: address.port(),
        }
    }
}

/// `PeerConnection` is a connection whose peer holds the key.
pub(super) struct PeerConnection {
    pub(super) socket: Socket,
    pub(super) session: Session,
    pub(super) peer: SocketAddrV4,
}

/// Limits of a connection, so that a peer can't make this process hold much.
pub(super) fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(4 << 10)
        .write_buffer_size(0)
        .max_message_size(Some(MESSAGE_LIMIT))
        .max_frame_size(Some(MESSAGE_LIMIT))
}

/// Greets the peer, checks its proof and sends our own.
pub(super) async fn authenticate(
    shared: &Shared,
    mut socket: Socket,
    side: Side,
) -> Result<PeerConnection> {
    let own = Hello::new(rand::random(), shared.address);
    write(&mut socket, wire::encode(&own)?).await?;
    let peer: Hello = wire::decode(&read(&mut socket).await?)?;
    if peer.version != VERSION {
        return Err(Error::malformed(format!(
            "version {}, expected {VERSION}",
            peer.version
        )));
    }

    let mut session = Session::new(&shared.key, side, &own, &peer)?;
    write(&mut socket, session.seal(&[])).await?;
    session.open(&read(&mut socket).await?)?;
    Ok(PeerConnection {
        socket,
        session,
        peer: SocketAddrV4::new(Ipv4Addr::from_bits(peer.ip), peer.port),
    })
}

/// Sends one message.
pub(super) async fn write(socket: &mut Socket, octets: Vec<u8>) -> Result<()> {
    socket
        .send(Message::Binary(octets.into()))
        .await
        .map_err(|error| Error::connection(error.to_string()))
}

/// Waits for the next message. Cancelling it loses nothing.
pub(super) async fn read(socket: &mut Socket) -> Result<Bytes> {
    loop {
        match socket.next().await {
            Some(Ok(Message::Binary(octets))) => return Ok(octets),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(Message::Close(_))) | None => return Err(Error::connection("closed")),
            Some(Ok(_)) => return Err(Error::malformed("message is not binary")),
            Some(Err(error)) => return Err(Error::connection(error.to_string())),
        }
    }
}
