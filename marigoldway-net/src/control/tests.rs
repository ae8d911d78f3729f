//! A session opens only what the other end sealed, once and in order.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use crate::control::handshake::Hello;
use crate::control::seal::Session;
use crate::control::seal::Side;

const KEY: [u8; 32] = [7; 32];

fn sessions() -> (Session, Session) {
    let hello = |nonce, port| {
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        Hello::new([nonce; 16], address)
    };
    let (one, two) = (hello(1, 10), hello(2, 20));
    (
        Session::new(&KEY, Side::Dialer, &one, &two).unwrap(),
        Session::new(&KEY, Side::Acceptor, &two, &one).unwrap(),
    )
}

#[test]
fn open_returns_body() {
    let (mut dialer, mut acceptor) = sessions();
    for body in [&b"one"[..], b"", b"three"] {
        let sealed = dialer.seal(body);
        assert_eq!(acceptor.open(&sealed).unwrap(), body);
        let sealed = acceptor.seal(body);
        assert_eq!(dialer.open(&sealed).unwrap(), body);
    }
}

#[test]
fn open_rejects_replayed_message() {
    let (mut dialer, mut acceptor) = sessions();
    let sealed = dialer.seal(b"one");
    acceptor.open(&sealed).unwrap();
    assert!(acceptor.open(&sealed).is_err());
}

#[test]
fn open_rejects_reordered_message() {
    let (mut dialer, mut acceptor) = sessions();
    dialer.seal(b"one");
    let second = dialer.seal(b"two");
    assert!(acceptor.open(&second).is_err());
}

#[test]
fn open_rejects_reflected_message() {
    let (mut dialer, _) = sessions();
    let sealed = dialer.seal(b"one");
    assert!(dialer.open(&sealed).is_err());
}

#[test]
fn open_rejects_flipped_bits() {
    let (mut dialer, mut acceptor) = sessions();
    let sealed = dialer.seal(b"one");
    for bit in 0..sealed.len() * 8 {
        let mut forged = sealed.clone();
        forged[bit / 8] ^= 1 << (bit % 8);
        assert!(acceptor.open(&forged).is_err(), "bit {bit}");
    }
    assert!(acceptor.open(&sealed).is_ok());
}
