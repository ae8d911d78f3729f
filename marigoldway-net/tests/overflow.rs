//! Datagrams that the kernel drops because a receive buffer is full are counted for the socket
//! of that buffer only.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::net::UdpSocket;

use marigoldway_net::overflow::overflows;
use marigoldway_net::udp::BUFFER_LEN;
use marigoldway_net::udp::Udp;

/// Length of each sent datagram, in octets.
const DATAGRAM_LEN: usize = 1_400;

fn bind() -> (Udp, SocketAddrV4) {
    let socket = Udp::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
    match socket.local_addr().unwrap() {
        SocketAddr::V4(addr) => (socket, addr),
        SocketAddr::V6(addr) => panic!("{addr} is not IPv4"),
    }
}

#[tokio::test]
async fn overflows_full_buffer() {
    let (_full, full) = bind();
    let (_idle, idle) = bind();
    assert_eq!(overflows(&[full, idle]), 0);

    // The payload alone is twice the size of the receive buffer, and nothing reads the socket.
    let sender = UdpSocket::bind("127.0.0.1:0").unwrap();
    for _ in 0..2 * BUFFER_LEN / DATAGRAM_LEN {
        sender.send_to(&[0; DATAGRAM_LEN], full).unwrap();
    }
    assert!(overflows(&[full]) > 0);
    assert!(overflows(&[full, idle]) > 0);
    assert_eq!(overflows(&[idle]), 0);
}
