//! UDP sockets with large buffers and batched receipt.

use std::io;
use std::io::ErrorKind;
use std::io::IoSliceMut;
use std::net::SocketAddr;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use quinn_udp::BATCH_SIZE;
use quinn_udp::EcnCodepoint;
use quinn_udp::RecvMeta;
use quinn_udp::Transmit;
use quinn_udp::UdpSocketState;
use socket2::Domain;
use socket2::Protocol;
use socket2::Socket;
use socket2::Type;
use tokio::io::Interest;
use tokio::net::UdpSocket;

/// Receive and send buffer asked of the kernel, in octets. With the system's
/// usual 208 KiB a burst of handshakes overflows, and each lost Initial costs
/// its caller a second.
pub const BUFFER_LEN: usize = 4 * 1024 * 1024;

/// Room for one receive call of the kernel, in octets: what it may coalesce.
const SLOT_LEN: usize = 65_536;

/// `Udp` is a bound, non-blocking UDP socket.
#[derive(Debug)]
pub struct Udp {
    io: UdpSocket,
    state: UdpSocketState,
    granted: usize,
}

impl Udp {
    /// Binds a socket and asks for buffers of [`BUFFER_LEN`].
    pub fn bind(addr: SocketAddr) -> io::Result<Udp> {
        let socket = Socket::new(Domain::for_address(addr), Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_recv_buffer_size(BUFFER_LEN)?;
        socket.set_send_buffer_size(BUFFER_LEN)?;
        socket.set_nonblocking(true)?;
        socket.bind(&addr.into())?;

        // The kernel reports twice what it grants to data.
        let granted = socket.recv_buffer_size()? / 2;
        let io = UdpSocket::from_std(socket.into())?;
        let state = UdpSocketState::new((&io).into())?;
        Ok(Udp { io, state, granted })
    }

    /// The receive buffer that the kernel granted, in octets.
    pub fn recv_buffer_len(&self) -> usize {
        self.granted
    }

    /// The bound address.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    /// Waits for datagrams and fills `batch` with them.
    pub async fn recv(&self, batch: &mut Batch) -> io::Result<()> {
        std::future::poll_fn(|cx| self.poll_recv(cx, batch)).await
    }

    /// Polls for datagrams and fills `batch` with them.
    pub fn poll_recv(&self, cx: &mut Context<'_>, batch: &mut Batch) -> Poll<io::Result<()>> {
        loop {
            ready!(self.io.poll_recv_ready(cx))?;
            let read = || batch.read(&self.state, &self.io);
            match self.io.try_io(Interest::READABLE, read) {
                Err(err) if err.kind() == ErrorKind::WouldBlock => continue,
                result => return Poll::Ready(result),
            }
        }
    }

    /// Sends one datagram, or fails with [`ErrorKind::WouldBlock`] when the
    /// send buffer is full.
    pub fn try_send(
        &self,
        to: SocketAddr,
        contents: &[u8],
        ecn: Option<EcnCodepoint>,
    ) -> io::Result<()> {
        let transmit = Transmit {
            destination: to,
            ecn,
            contents,
            segment_size: None,
            src_ip: None,
        };
        self.io.try_io(Interest::WRITABLE, || {
            self.state.try_send((&self.io).into(), &transmit)
        })
    }

    /// Sends one datagram, waiting while the send buffer is full.
    pub async fn send(
        &self,
        to: SocketAddr,
        contents: &[u8],
        ecn: Option<EcnCodepoint>,
    ) -> io::Result<()> {
        loop {
            match self.try_send(to, contents, ecn) {
                Err(err) if err.kind() == ErrorKind::WouldBlock => self.io.writable().await?,
                result => return result,
            }
        }
    }

    /// Waits until the socket takes another datagram.
    pub async fn writable(&self) -> io::Result<()> {
        self.io.writable().await
    }
}

/// `Batch` holds the datagrams of one receive call.
pub struct Batch {
    slots: Vec<Vec<u8>>,
    meta: [RecvMeta; BATCH_SIZE],
    filled: usize,
}

/// `Received` is one datagram of a batch.
#[derive(Clone, Copy, Debug)]
pub struct Received<'a> {
    /// The sender's address.
    pub from: SocketAddr,
    /// The congestion mark of the IP header.
    pub ecn: Option<EcnCodepoint>,
    /// The datagram.
    pub contents: &'a [u8],
}

impl Default for Batch {
    fn default() -> Batch {
        Batch {
            slots: vec![vec![0; SLOT_LEN]; BATCH_SIZE],
            meta: [RecvMeta::default(); BATCH_SIZE],
            filled: 0,
        }
    }
}

impl Batch {
    fn read(&mut self, state: &UdpSocketState, io: &UdpSocket) -> io::Result<()> {
        self.filled = 0;
        let mut slots = self.slots.iter_mut();
        let mut slices: [IoSliceMut<'_>; BATCH_SIZE] = std::array::from_fn(|_| {
            let slot = slots.next().map_or(&mut [][..], |slot| &mut slot[..]);
            IoSliceMut::new(slot)
        });
        self.filled = state.recv(io.into(), &mut slices, &mut self.meta)?;
        Ok(())
    }

    /// The datagrams, in the order of their receipt. The kernel may have
    /// coalesced several of one length into a slot.
    pub fn datagrams(&self) -> impl Iterator<Item = Received<'_>> {
        let filled = self.slots.iter().zip(&self.meta).take(self.filled);
        filled.flat_map(|(slot, meta)| {
            let stride = meta.stride.max(1);
            slot[..meta.len].chunks(stride).map(|contents| Received {
                from: meta.addr,
                ecn: meta.ecn,
                contents,
            })
        })
    }
}
