//! Tests of the control channel over the loopback: delivery, queue limits, reconnection,
//! authentication and timeouts.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use futures_util::SinkExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time;
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::Message;

use marigoldway_net::control::Control;
use marigoldway_net::control::ControlOptions;
use marigoldway_net::control::FrameReceiver;
use marigoldway_net::wire::Frame;
use marigoldway_net::wire::membership::MembershipWire;

const KEY: [u8; 32] = [7; 32];
const TIMEOUT: Duration = Duration::from_secs(20);

fn options() -> ControlOptions {
    ControlOptions::new(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))
}

async fn start(key: [u8; 32]) -> (Control, FrameReceiver) {
    Control::start(options(), &key).await.unwrap()
}

fn frame(n: u64) -> Frame {
    Frame::Membership(MembershipWire::Inquiry(n, 1))
}

async fn receive(inbound: &mut FrameReceiver) -> (SocketAddrV4, Frame) {
    time::timeout(TIMEOUT, inbound.recv())
        .await
        .unwrap()
        .unwrap()
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let poll = async {
        while !condition() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    time::timeout(TIMEOUT, poll).await.unwrap();
}

#[tokio::test]
async fn send_keeps_order_both_ways() {
    let (a, mut from_b) = start(KEY).await;
    let (b, mut from_a) = start(KEY).await;
    for n in 0..50 {
        a.send(b.address(), frame(n));
    }
    for n in 0..50 {
        assert_eq!(receive(&mut from_a).await, (a.address(), frame(n)));
    }
    b.send(a.address(), frame(99));
    assert_eq!(receive(&mut from_b).await, (b.address(), frame(99)));

    // The reply arrived over the connection that `a` had opened.
    assert_eq!(a.counts().open, 1);
    assert_eq!(b.counts().open, 1);
    assert_eq!(a.counts().octets_out, b.counts().octets_in);
}

#[tokio::test]
async fn send_full_queue_drops_frames() {
    let (a, _inbound) = start(KEY).await;
    // No other task runs on this thread before the first await, so no frame leaves the send
    // queue, which holds 256 frames.
    let unreachable = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1);
    for n in 0..300 {
        a.send(unreachable, frame(n));
    }
    assert_eq!(a.counts().dropped, 44);
    wait_until(|| a.counts().dropped == 300 && a.counts().open == 0).await;
    assert_eq!(a.counts().unreachable, 1);
}

#[tokio::test]
async fn send_reconnects_after_peer_restart() {
    let (a, _inbound) = start(KEY).await;
    let (b, mut from_a) = start(KEY).await;
    let address = b.address();
    a.send(address, frame(1));
    receive(&mut from_a).await;
    b.close();
    drop((b, from_a));
    wait_until(|| a.counts().open == 0).await;

    let options = ControlOptions::new(address);
    let (_b, mut from_a) = Control::start(options, &KEY).await.unwrap();
    a.send(address, frame(2));
    assert_eq!(receive(&mut from_a).await.1, frame(2));
}

#[tokio::test]
async fn accept_rejects_other_key() {
    let (a, _inbound) = start([8; 32]).await;
    let (b, mut from_a) = start(KEY).await;
    a.send(b.address(), frame(1));
    wait_until(|| b.counts().rejected == 1 && a.counts().open == 0).await;
    assert!(from_a.try_recv().is_err());
    assert_eq!(a.counts().frames_out, 0);
}

#[tokio::test]
async fn accept_rejects_malformed_data() {
    let (b, mut from_a) = start(KEY).await;
    let mut stream = TcpStream::connect(b.address()).await.unwrap();
    stream.write_all(&[0xff; 4096]).await.unwrap();
    wait_until(|| b.counts().rejected == 1).await;

    let stream = TcpStream::connect(b.address()).await.unwrap();
    let url = format!("ws://{}/", b.address());
    let (mut socket, _) = client_async(url, stream).await.unwrap();
    let malformed = Message::Binary(vec![0xff; 64].into());
    socket.send(malformed).await.unwrap();
    wait_until(|| b.counts().rejected == 2).await;
    assert!(from_a.try_recv().is_err());
}

#[tokio::test]
async fn connection_drops_stale_frames() {
    let mut options = options();
    // Every frame exceeds this age before it is sent, as after a pause of the process.
    options.max_frame_age = Duration::ZERO;
    let (a, _inbound) = Control::start(options, &KEY).await.unwrap();
    let (b, mut from_a) = start(KEY).await;
    a.send(b.address(), frame(1));
    wait_until(|| a.counts().stale == 1).await;
    assert!(from_a.try_recv().is_err());
}

#[tokio::test]
async fn connection_closes_when_idle() {
    let mut options = options();
    options.idle_timeout = Duration::from_millis(50);
    let (a, _inbound) = Control::start(options, &KEY).await.unwrap();
    let (b, mut from_a) = start(KEY).await;
    a.send(b.address(), frame(1));
    receive(&mut from_a).await;
    wait_until(|| a.counts().open == 0 && b.counts().open == 0).await;
}
