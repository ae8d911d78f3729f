//! A loopback proxy in front of the store: one for each process, so that each
//! can be cut off, slowed or reset on its own.

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

/// Time between two looks at the state of a link that is held up.
const LOOK: Duration = Duration::from_millis(20);

/// `ProxyMode` says what becomes of what passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProxyMode {
    /// It passes.
    Forward,
    /// It passes after this time.
    Slow(Duration),
    /// Nothing passes either way, and nobody is told.
    Silent,
    /// Questions pass, answers don't.
    OneWay,
    /// Connections are reset.
    Reset,
}

/// Forwards connections of `listener` to `store`, as `link` says.
pub(crate) async fn serve(listener: TcpListener, store: SocketAddrV4, link: Rc<Cell<ProxyMode>>) {
    loop {
        // A connection that ended before it was accepted is its maker's matter.
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        let link = link.clone();
        task::spawn_local(async move {
            // A broken connection is what the proxy is for.
            let _ = forward(near, store, &link).await;
        });
    }
}

async fn forward(near: TcpStream, store: SocketAddrV4, link: &Cell<ProxyMode>) -> io::Result<()> {
    let far = TcpStream::connect(SocketAddr::V4(store)).await?;
    near.set_zero_linger()?;
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    tokio::select! {
        result = copy(near_in, far_out, link, true) => result,
        result = copy(far_in, near_out, link, false) => result,
        () = reset(link) => Ok(()),
    }
}

async fn reset(link: &Cell<ProxyMode>) {
    while link.get() != ProxyMode::Reset {
        time::sleep(LOOK).await;
    }
}

async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    link: &Cell<ProxyMode>,
    question: bool,
) -> io::Result<()> {
    let mut buffer = [0; 4_096];
    loop {
        let len = from.read(&mut buffer).await?;
        if len == 0 {
            return Ok(());
        }
        if let ProxyMode::Slow(span) = link.get() {
            time::sleep(span).await;
        }
        while link.get() == ProxyMode::Silent || (link.get() == ProxyMode::OneWay && !question) {
            time::sleep(LOOK).await;
        }
        to.write_all(&buffer[..len]).await?;
    }
}
