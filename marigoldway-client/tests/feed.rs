//! Feeds over QUIC connections on the loopback interface.

mod support;

use std::time::Duration;

use tokio::time::timeout;

use marigoldway_client::client::Client;
use marigoldway_client::errors::Error;
use marigoldway_client::feed::Feed;
use marigoldway_client::feed::FeedStats;
use marigoldway_client::options::ClientOptions;

use support::Server;
use support::Service;
use support::relay::Relay;

/// Opens a feed on the first of two servers, then makes the second accept connections.
async fn open(service: &Service) -> (Server, Server, Feed) {
    let (one, two) = (service.server(), service.server());
    two.set_accepting(false);
    let client = Client::connect(service.options(&[&one, &two]));
    let client = client.await.expect("client");
    let feed = client.feed("/feed").await.expect("feed");
    two.set_accepting(true);
    (one, two, feed)
}

/// Reads events until `done`, and checks that their numbers are consecutive.
async fn read(feed: &mut Feed, last: &mut Option<u64>, done: impl Fn(FeedStats) -> bool) {
    while !done(feed.stats()) {
        let event = feed.next().await.expect("event");
        let id = event.id.expect("id");
        assert_eq!(event.data, format!("event {id}"));
        assert!(
            last.is_none_or(|last| id == last + 1),
            "{id} after {last:?}"
        );
        *last = Some(id);
    }
}

#[tokio::test]
async fn feed_leaving() {
    let service = Service::start();
    let (one, _two, mut feed) = open(&service).await;
    let mut last = None;
    read(&mut feed, &mut last, |stats| stats.events >= 20).await;

    one.leave();
    read(&mut feed, &mut last, |stats| stats.moves == 1).await;
    let moved = feed.stats();
    // The old server closes its connections, so all further events come from the new one.
    one.abort();
    read(&mut feed, &mut last, |stats| {
        stats.events >= moved.events + 100
    })
    .await;
    let stats = feed.stats();
    assert_eq!((stats.moves, stats.breaks, stats.gaps), (1, 0, 0));
}

#[tokio::test]
async fn feed_cut() {
    let service = Service::start();
    let (one, _two, mut feed) = open(&service).await;
    let mut last = None;
    read(&mut feed, &mut last, |stats| stats.events >= 20).await;

    // Without an announcement, the close breaks the stream once. The events that the
    // client misses until the next stream is open are still delivered.
    one.abort();
    read(&mut feed, &mut last, |stats| stats.breaks == 1).await;
    let broken = feed.stats();
    read(&mut feed, &mut last, |stats| {
        stats.events >= broken.events + 100
    })
    .await;
    let stats = feed.stats();
    assert_eq!((stats.moves, stats.breaks, stats.gaps), (0, 1, 0));
}

#[tokio::test]
async fn feed_silent() {
    let service = Service::start();
    let (one, two) = (service.server(), service.server());
    two.set_accepting(false);
    let relay = Relay::start(one.addr).await;
    let options = ClientOptions {
        servers: vec![relay.addr, two.addr],
        connect_timeout: Duration::from_millis(500),
        keep_alive: Duration::from_millis(100),
        silence_limit: Duration::from_millis(700),
        // Longer than the test, so that only the silence limit can end the stream.
        idle_timeout: Duration::from_secs(3_600),
        ..service.options(&[])
    };
    let client = Client::connect(options).await.expect("client");
    let mut feed = client.feed("/feed").await.expect("feed");
    two.set_accepting(true);
    let mut last = None;
    read(&mut feed, &mut last, |stats| stats.events >= 20).await;

    relay.drop_datagrams();
    let resumed = read(&mut feed, &mut last, |stats| stats.breaks == 1);
    let resumed = timeout(Duration::from_secs(60), resumed).await;
    assert!(resumed.is_ok());
    assert_eq!(feed.stats().gaps, 0);
}

#[tokio::test]
async fn feed_refused() {
    let service = Service::start();
    let server = service.server();
    let client = Client::connect(service.options(&[&server]));
    let client = client.await.expect("client");
    match client.feed("/missing").await {
        Err(Error::Refused(answer)) => assert_eq!(answer.status, Some(http::StatusCode::NOT_FOUND)),
        Err(error) => panic!("{error}"),
        Ok(_) => panic!("opened a feed that does not exist"),
    }
}
