//! Loopback TCP proxy in front of the store. Each process has its own, so that
//! the connections of one process can be blocked, delayed or reset alone.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task;
use tokio::time;

/// Interval at which blocked connections check whether the block has ended, and all connections
/// whether they are to be reset.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// `ProxyMode` is how a proxy treats data on its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProxyMode {
    /// Forwards data in both directions.
    Forward,
    /// Forwards each read after this delay.
    Slow(Duration),
    /// Blocks both directions and leaves the connections open.
    Silent,
    /// Forwards requests and blocks responses.
    OneWay,
    /// Resets open and new connections.
    Reset,
}

/// Forwards connections of `listener` to `store`. A change of `mode` applies to open
/// connections too.
pub(crate) async fn serve(listener: TcpListener, store: SocketAddrV4, mode: Rc<Cell<ProxyMode>>) {
    loop {
        // The accept fails if the client has reset the connection, which the client handles itself.
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let mode = mode.clone();
        task::spawn_local(async move {
            // Errors are expected: the proxy breaks connections on purpose.
            let _ = forward(client, store, &mode).await;
        });
    }
}

async fn forward(client: TcpStream, store: SocketAddrV4, mode: &Cell<ProxyMode>) -> io::Result<()> {
    let upstream = TcpStream::connect(SocketAddr::V4(store)).await?;
    client.set_zero_linger()?;
    let (client_in, client_out) = client.into_split();
    let (upstream_in, upstream_out) = upstream.into_split();
    tokio::select! {
        result = copy(client_in, upstream_out, mode, true) => result,
        result = copy(upstream_in, client_out, mode, false) => result,
        () = wait_for_reset(mode) => Ok(()),
    }
}

/// Returns once the mode is [`ProxyMode::Reset`].
async fn wait_for_reset(mode: &Cell<ProxyMode>) {
    while mode.get() != ProxyMode::Reset {
        time::sleep(POLL_INTERVAL).await;
    }
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mode: &Cell<ProxyMode>,
    is_request: bool,
) -> io::Result<()> {
    let mut buffer = [0; 4_096];
    loop {
        let len = from.read(&mut buffer).await?;
        if len == 0 {
            return Ok(());
        }
        if let ProxyMode::Slow(delay) = mode.get() {
            time::sleep(delay).await;
        }
        while mode.get() == ProxyMode::Silent || (mode.get() == ProxyMode::OneWay && !is_request) {
            time::sleep(POLL_INTERVAL).await;
        }
        to.write_all(&buffer[..len]).await?;
    }
}
