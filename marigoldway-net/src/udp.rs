//! UDP sockets that have large kernel buffers and receive datagrams in batches.

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

/// Size of the receive buffer and of the send buffer requested from the kernel, in octets.
/// A burst of handshakes overflows the usual system default of 208 KiB, and each lost
/// Initial packet delays its caller by a second.
pub const BUFFER_LEN: usize = 4 * 1024 * 1024;

/// Length of each buffer of a batch, in octets: the maximum length of the datagrams that the
/// kernel coalesces into one buffer.
const BATCH_BUFFER_LEN: usize = 65_536;

/// `Udp` is a bound, non-blocking UDP socket.
#[derive(Debug)]
pub struct Udp {
    io: UdpSocket,
    state: UdpSocketState,
    recv_buffer_len: usize,
}

impl Udp {
    /// Binds a socket and requests buffers of [`BUFFER_LEN`] octets. The kernel may grant
    /// smaller ones.
    pub fn bind(addr: SocketAddr) -> io::Result<Udp> {
        let socket = Socket::new(Domain::for_address(addr), Type::DGRAM, Some(Protocol::UDP))?;
        socket.set_recv_buffer_size(BUFFER_LEN)?;
        socket.set_send_buffer_size(BUFFER_LEN)?;
        socket.set_nonblocking(true)?;
        socket.bind(&addr.into())?;

        // The kernel reports twice the size that it grants for data.
        let recv_buffer_len = socket.recv_buffer_size()? / 2;
        let io = UdpSocket::from_std(socket.into())?;
        let state = UdpSocketState::new((&io).into())?;
        Ok(Udp {
            io,
            state,
            recv_buffer_len,
        })
    }

    /// Returns the size of the receive buffer that the kernel granted, in octets.
    pub fn recv_buffer_len(&self) -> usize {
        self.recv_buffer_len
    }

    /// Returns the address that the socket is bound to.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.io.local_addr()
    }

    /// Waits for datagrams and replaces the contents of `batch` with them.
    pub async fn recv(&self, batch: &mut Batch) -> io::Result<()> {
        std::future::poll_fn(|cx| self.poll_recv(cx, batch)).await
    }

    /// Polls for datagrams and replaces the contents of `batch` with them.
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

    /// Sends one datagram without waiting.
    ///
    /// Fails with [`ErrorKind::WouldBlock`] if the send buffer is full.
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

    /// Sends one datagram; waits while the send buffer is full.
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

    /// Waits until the send buffer has space.
    pub async fn writable(&self) -> io::Result<()> {
        self.io.writable().await
    }
}

/// `Batch` holds the datagrams of one receive call.
pub struct Batch {
    buffers: Vec<Vec<u8>>,
    meta: [RecvMeta; BATCH_SIZE],
    /// Number of buffers that contain datagrams.
    filled: usize,
}

/// `Received` is one received datagram of a batch.
#[derive(Clone, Copy, Debug)]
pub struct Received<'a> {
    /// The sender's address.
    pub from: SocketAddr,
    /// The ECN codepoint of the IP header.
    pub ecn: Option<EcnCodepoint>,
    /// The payload of the datagram.
    pub contents: &'a [u8],
}

impl Default for Batch {
    fn default() -> Batch {
        Batch {
            buffers: vec![vec![0; BATCH_BUFFER_LEN]; BATCH_SIZE],
            meta: [RecvMeta::default(); BATCH_SIZE],
            filled: 0,
        }
    }
}

impl Batch {
    fn read(&mut self, state: &UdpSocketState, io: &UdpSocket) -> io::Result<()> {
        self.filled = 0;
        let mut buffers = self.buffers.iter_mut();
        let mut slices: [IoSliceMut<'_>; BATCH_SIZE] = std::array::from_fn(|_| {
            let buffer = buffers.next().map_or(&mut [][..], |it| &mut it[..]);
            IoSliceMut::new(buffer)
        });
        self.filled = state.recv(io.into(), &mut slices, &mut self.meta)?;
        Ok(())
    }

    /// Returns the datagrams in the order of receipt. A buffer may contain several
    /// datagrams of one length that the kernel coalesced.
    pub fn datagrams(&self) -> impl Iterator<Item = Received<'_>> {
        let filled = self.buffers.iter().zip(&self.meta).take(self.filled);
        filled.flat_map(|(buffer, meta)| {
            let stride = meta.stride.max(1);
            buffer[..meta.len].chunks(stride).map(|contents| Received {
                from: meta.addr,
                ecn: meta.ecn,
                contents,
            })
        })
    }
}
