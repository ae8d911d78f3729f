//! One connection of the control channel.

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
use crate::control::handshake;
use crate::control::handshake::Proved;
use crate::control::handshake::Socket;
use crate::control::meter::Meter;
use crate::control::seal::Session;
use crate::control::seal::Side;
use crate::errors::Error;
use crate::errors::Result;
use crate::wire;
use crate::wire::Frame;

/// `Queued` is a frame that waits for its connection.
#[derive(Clone)]
pub(super) struct Queued {
    pub(super) frame: Frame,
    pub(super) since: Instant,
}

/// Opens a connection to `peer` and sends what is queued for it.
pub(super) async fn dial(
    shared: Arc<Shared>,
    peer: SocketAddrV4,
    mut queue: mpsc::Receiver<Queued>,
) {
    let opened = time::timeout(shared.options.timeout, open(&shared, peer)).await;
    match opened.unwrap_or(Err(Error::Timeout)) {
        Ok(proved) => carry(&shared, proved, &mut queue).await,
        Err(error) => {
            shared.counters.add_unreachable();
            log::debug!("event=control-unreachable peer={peer} reason=\"{error}\"");
        }
    }
    finish(&shared, peer, queue);
}

async fn open(shared: &Arc<Shared>, peer: SocketAddrV4) -> Result<Proved> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from((*shared.address.ip(), 0)))?;
    let stream = socket.connect(peer.into()).await?;
    prepare(&stream, shared)?;

    let meter = Meter::new(stream, Arc::clone(shared));
    let url = format!("ws://{peer}/");
    let config = Some(handshake::config());
    let (socket, _) = tokio_tungstenite::client_async_with_config(url, meter, config)
        .await
        .map_err(|error| Error::connection(error.to_string()))?;
    handshake::prove(shared, socket, Side::Dialer).await
}

/// Sets the options of a TCP connection: frames are small and urgent, and a
/// peer that vanished must not hold the connection for minutes.
pub(super) fn prepare(stream: &TcpStream, shared: &Shared) -> Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(shared.options.timeout))?;
    Ok(())
}

/// Carries frames both ways until the connection fails or is idle.
pub(super) async fn carry(shared: &Shared, proved: Proved, queue: &mut mpsc::Receiver<Queued>) {
    let Proved {
        mut socket,
        mut session,
        peer,
    } = proved;
    let mut closed = shared.closed.subscribe();
    loop {
        let step = tokio::select! {
            queued = queue.recv(), if !queue.is_closed() || !queue.is_empty() => match queued {
                Some(queued) => send(shared, &mut socket, &mut session, &queued).await,
                // The channel keeps another way to the peer; this one only reads.
                None => Ok(()),
            },
            message = handshake::read(&mut socket) => match message {
                Ok(octets) => deliver(shared, &mut session, peer, &octets).await,
                Err(error) => Err(error),
            },
            () = time::sleep(shared.options.idle) => Err(Error::connection("idle")),
            () = ended(&mut closed) => Err(Error::connection("closed here")),
        };
        match step {
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
pub(super) async fn ended(closed: &mut watch::Receiver<bool>) {
    // The sender lives in what the tasks share, so waiting can't fail.
    let _ = closed.wait_for(|closed| *closed).await;
}

/// Gives up the queue of a connection that ended.
pub(super) fn finish(shared: &Shared, peer: SocketAddrV4, mut queue: mpsc::Receiver<Queued>) {
    queue.close();
    let mut lost = 0;
    while queue.try_recv().is_ok() {
        lost += 1;
    }
    shared.counters.add_dropped(lost);
    shared.forget(peer);
}

async fn send(
    shared: &Shared,
    socket: &mut Socket,
    session: &mut Session,
    queued: &Queued,
) -> Result<()> {
    if queued.since.elapsed() > shared.options.stale {
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

async fn deliver(
    shared: &Shared,
    session: &mut Session,
    peer: SocketAddrV4,
    octets: &[u8],
) -> Result<()> {
    let frame = wire::decode(session.open(octets)?)?;
    shared.counters.add_frame_in();
    // A full inbox makes the peer wait, whose queue then drops and counts.
    let delivered = shared.inbox.send((peer, frame)).await;
    delivered.map_err(|_| Error::connection("no receiver here"))
}
