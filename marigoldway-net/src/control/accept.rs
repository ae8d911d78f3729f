//! Takes connections from peers.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::time;

use crate::control::Shared;
use crate::control::handshake;
use crate::control::handshake::Proved;
use crate::control::link;
use crate::control::meter::Meter;
use crate::control::seal::Side;
use crate::errors::Error;
use crate::errors::Result;

/// Pause after the system refused to accept, for lack of descriptors mostly.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections until the channel is closed.
pub(super) async fn run(shared: Arc<Shared>, listener: TcpListener) {
    let mut closed = shared.closed.subscribe();
    let unproved = Arc::new(Semaphore::new(shared.options.unproved));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = link::ended(&mut closed) => return,
        };
        let Ok((stream, _)) = accepted else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&unproved).try_acquire_owned() else {
            shared.counters.add_rejected();
            continue;
        };

        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            let proved = time::timeout(shared.options.timeout, greet(&shared, stream)).await;
            drop(permit);
            match proved.unwrap_or(Err(Error::Timeout)) {
                Ok(proved) => serve(shared, proved).await,
                Err(error) => {
                    shared.counters.add_rejected();
                    log::debug!("event=control-reject reason=\"{error}\"");
                }
            }
        });
    }
}

async fn greet(shared: &Arc<Shared>, stream: TcpStream) -> Result<Proved> {
    link::prepare(&stream, shared)?;
    let meter = Meter::new(stream, Arc::clone(shared));
    let socket = tokio_tungstenite::accept_async_with_config(meter, Some(handshake::config()))
        .await
        .map_err(|error| Error::malformed(error.to_string()))?;
    handshake::prove(shared, socket, Side::Acceptor).await
}

/// Carries frames both ways. The connection becomes the way to its peer unless
/// there is one already.
async fn serve(shared: Arc<Shared>, proved: Proved) {
    let peer = proved.peer;
    let (sender, mut queue) = mpsc::channel(shared.options.queue);
    shared.links().entry(peer).or_insert(sender);
    link::carry(&shared, proved, &mut queue).await;
    link::finish(&shared, peer, queue);
}
