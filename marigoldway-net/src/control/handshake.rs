//! Mutual authentication of two processes by the control key.
//!
//! Each end sends a [`Hello`] with a fresh nonce. Then each end sends an empty
//! sealed message, its proof: only a holder of the key can create this message
//! for this pair of nonces. Nothing that a peer sends is trusted before the
//! peer's proof is verified.

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
const PROTOCOL_VERSION: u8 = 1;

/// Maximum length of a message in octets. A frame with the whole text of a list is shorter.
const MAX_MESSAGE_LEN: usize = 2 << 20;

/// `Socket` is the WebSocket of a connection. Its stream counts the octets sent and received
/// over TCP.
pub(super) type Socket = WebSocketStream<CountingStream>;

/// `Hello` is the first message of each end, with the end's nonce and control address.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Hello {
    version: u8,
    nonce: [u8; 16],
    ip: u32,
    port: u16,
}

impl Hello {
    /// Creates the hello of the process that listens on `address`.
    pub(super) fn new(nonce: [u8; 16], address: SocketAddrV4) -> Hello {
        Hello {
            version: PROTOCOL_VERSION,
            nonce,
            ip: address.ip().to_bits(),
            port: address.port(),
        }
    }
}

/// `PeerConnection` is a connection whose peer proved that it holds the control key.
pub(super) struct PeerConnection {
    pub(super) socket: Socket,
    pub(super) session: Session,
    pub(super) peer: SocketAddrV4,
}

/// Returns the WebSocket settings: limits on buffers and messages, which bound the memory that
/// a peer can occupy.
pub(super) fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(4 << 10)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_MESSAGE_LEN))
        .max_frame_size(Some(MAX_MESSAGE_LEN))
}

/// Exchanges hellos, sends this end's proof and verifies the peer's proof.
///
/// Fails if the connection fails, a message is malformed, the protocol versions differ or the
/// peer's proof is invalid.
pub(super) async fn authenticate(
    shared: &Shared,
    mut socket: Socket,
    side: Side,
) -> Result<PeerConnection> {
    let own = Hello::new(rand::random(), shared.address);
    write(&mut socket, wire::encode(&own)?).await?;
    let peer: Hello = wire::decode(&read(&mut socket).await?)?;
    if peer.version != PROTOCOL_VERSION {
        return Err(Error::malformed(format!(
            "control protocol version {}, expected {PROTOCOL_VERSION}",
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

/// Waits for the next binary message. Fails if the connection fails or is closed, or if the
/// peer sends a text message. Cancel safe: no message is lost.
pub(super) async fn read(socket: &mut Socket) -> Result<Bytes> {
    loop {
        match socket.next().await {
            Some(Ok(Message::Binary(octets))) => return Ok(octets),
            Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
            Some(Ok(Message::Close(_))) | None => {
                return Err(Error::connection("closed"));
            }
            Some(Ok(_)) => return Err(Error::malformed("WebSocket message is not binary")),
            Some(Err(error)) => return Err(Error::connection(error.to_string())),
        }
    }
}
