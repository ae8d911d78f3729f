//! Opens connections of the control channel, and sends and receives frames over them.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

use socket2::SockRef;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use crate::control::Shared;
use crate::control::counting_stream::CountingStream;
use crate::control::handshake;
use crate::control::handshake::PeerConnection;
use crate::control::handshake::Socket;
use crate::control::seal::Session;
use crate::control::seal::Side;
use crate::errors::Error;
use crate::errors::Result;
use crate::wire;
use crate::wire::Frame;

/// `QueuedFrame` is a frame in a send queue.
#[derive(Clone)]
pub(super) struct QueuedFrame {
    pub(super) frame: Frame,
    pub(super) queued_at: Instant,
}

/// Opens a connection to `peer`, then sends the frames of `queue` and receives frames until the
/// connection ends. Drops and counts the frames that are left in `queue`.
pub(super) async fn dial(
    shared: Arc<Shared>,
    peer: SocketAddrV4,
    mut queue: mpsc::Receiver<QueuedFrame>,
) {
    let opened = time::timeout(shared.options.timeout, connect(&shared, peer)).await;
    match opened.unwrap_or(Err(Error::Timeout)) {
        Ok(connection) => run(&shared, connection, &mut queue).await,
        Err(error) => {
            shared.counters.add_unreachable();
            log::debug!("event=control-unreachable peer={peer} reason=\"{error}\"");
        }
    }
    discard_queue(&shared, peer, queue);
}

/// Connects to `peer` from the IP address of this process's control address, and authenticates
/// the peer.
async fn connect(shared: &Arc<Shared>, peer: SocketAddrV4) -> Result<PeerConnection> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((*shared.address.ip(), 0)))?;
    let stream = socket.connect(peer.into()).await?;
    set_socket_options(&stream, shared)?;

    let counted = CountingStream::new(stream, Arc::clone(shared));
    let url = format!("ws://{peer}/");
    let config = Some(handshake::websocket_config());
    let (socket, _) = tokio_tungstenite::client_async_with_config(url, counted, config)
        .await
        .map_err(|error| Error::connection(error.to_string()))?;
    handshake::authenticate(shared, socket, Side::Dialer).await
}

/// Sets the options of a TCP connection: no delay, since frames are small and urgent, and a
/// user timeout, so that the connection to a peer that disappeared doesn't stay open for
/// minutes.
pub(super) fn set_socket_options(stream: &TcpStream, shared: &Shared) -> Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(shared.options.timeout))?;
    Ok(())
}

/// Sends and receives frames until the connection fails or is idle, or the channel is closed.
pub(super) async fn run(
    shared: &Shared,
    connection: PeerConnection,
    queue: &mut mpsc::Receiver<QueuedFrame>,
) {
    let PeerConnection {
        mut socket,
        mut session,
        peer,
    } = connection;
    let mut closed = shared.closed.subscribe();
    loop {
        let result = tokio::select! {
            queued = queue.recv(), if !queue.is_closed() || !queue.is_empty() => match queued {
                Some(queued) => send(shared, &mut socket, &mut session, &queued).await,
                // The sender was dropped: another connection has the peer's send queue, and
                // this one only receives.
                None => Ok(()),
            },
            message = handshake::read(&mut socket) => match message {
                Ok(octets) => deliver(shared, &mut session, peer, &octets).await,
                Err(error) => Err(error),
            },
            () = time::sleep(shared.options.idle_timeout) => Err(Error::connection("idle")),
            () = wait_closed(&mut closed) => Err(Error::connection("control channel closed")),
        };
        match result {
            Ok(()) => {}
            Err(Error::Malformed { detail }) => {
                shared.counters.add_rejected();
                return log::warn!("event=control-malformed peer={peer} reason=\"{detail}\"");
            }
            Err(Error::NotAuthentic) => {
                shared.counters.add_rejected();
                return log::warn!("event=control-forged peer={peer}");
            }
            Err(error) => {
                return log::debug!("event=control-closed peer={peer} reason=\"{error}\"");
            }
        }
    }
}

/// Waits until the channel is closed.
pub(super) async fn wait_closed(closed: &mut watch::Receiver<bool>) {
    // `Shared` owns the sender, so `wait_for` can't fail.
    let _ = closed.wait_for(|closed| *closed).await;
}

/// Closes the queue of a connection that ended and counts its frames as dropped.
pub(super) fn discard_queue(
    shared: &Shared,
    peer: SocketAddrV4,
    mut queue: mpsc::Receiver<QueuedFrame>,
) {
    queue.close();
    let mut dropped = 0;
    while queue.try_recv().is_ok() {
        dropped += 1;
    }
    shared.counters.add_dropped(dropped);
    shared.remove_closed_queue(peer);
}

/// Seals and sends a frame. Drops and counts a frame above the maximum age.
async fn send(
    shared: &Shared,
    socket: &mut Socket,
    session: &mut Session,
    queued: &QueuedFrame,
) -> Result<()> {
    if queued.queued_at.elapsed() > shared.options.max_frame_age {
        shared.counters.add_stale();
        return Ok(());
    }
    let message = session.seal(&wire::encode(&queued.frame)?);
    time::timeout(shared.options.timeout, handshake::write(socket, message))
        .await
        .unwrap_or(Err(Error::Timeout))?;
    shared.counters.add_frame_out();
    Ok(())
}

/// Verifies and decodes a message, and puts its frame into the receive queue.
async fn deliver(
    shared: &Shared,
    session: &mut Session,
    peer: SocketAddrV4,
    octets: &[u8],
) -> Result<()> {
    let frame = wire::decode(session.open(octets)?)?;
    shared.counters.add_frame_in();
    // While the receive queue is full, this connection reads no message. The peer's send queue
    // then becomes full, and the peer drops and counts frames.
    let delivered = shared.receive_queue.send((peer, frame)).await;
    delivered.map_err(|_| Error::connection("frame receiver was dropped"))
}
