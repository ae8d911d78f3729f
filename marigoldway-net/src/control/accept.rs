//! Accepts control connections from other processes.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::time;

use crate::control::Shared;
use crate::control::connection;
use crate::control::counting_stream::CountingStream;
use crate::control::handshake;
use crate::control::handshake::PeerConnection;
use crate::control::seal::Side;
use crate::errors::Error;
use crate::errors::Result;

/// Pause after a failed `accept`. The usual cause is a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections until the channel is closed.
pub(super) async fn run(shared: Arc<Shared>, listener: TcpListener) {
    let mut closed = shared.closed.subscribe();
    let unauthenticated = Arc::new(Semaphore::new(shared.options.max_unauthenticated));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = connection::wait_closed(&mut closed) => return,
        };
        let Ok((stream, _)) = accepted else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&unauthenticated).try_acquire_owned() else {
            shared.counters.add_rejected();
            continue;
        };

        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let connection =
                time::timeout(shared.options.timeout, establish(&shared, stream)).await;
            drop(permit);
            match connection.unwrap_or(Err(Error::Timeout)) {
                Ok(connection) => serve(shared, connection).await,
                Err(error) => {
                    shared.counters.add_rejected();
                    log::debug!("event=control-reject reason=\"{error}\"");
                }
            }
        });
    }
}

/// Upgrades a TCP connection to a WebSocket and authenticates its peer.
async fn establish(shared: &Arc<Shared>, stream: TcpStream) -> Result<PeerConnection> {
    connection::set_socket_options(&stream, shared)?;
    let counted = CountingStream::new(stream, Arc::clone(shared));
    let socket =
        tokio_tungstenite::accept_async_with_config(counted, Some(handshake::websocket_config()))
            .await
            .map_err(|error| Error::malformed(error.to_string()))?;
    handshake::authenticate(shared, socket, Side::Acceptor).await
}

/// Sends and receives frames until the connection ends. If another connection already has the
/// peer's send queue, this connection only receives.
async fn serve(shared: Arc<Shared>, connection: PeerConnection) {
    let peer = connection.peer;
    let (sender, mut queue) = mpsc::channel(shared.options.send_queue);
    shared.send_queues().entry(peer).or_insert(sender);
    connection::run(&shared, connection, &mut queue).await;
    connection::discard_queue(&shared, peer, queue);
}
