//! Feeds over real connections on the loopback.

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

/// Opens a feed at the first of two servers; then the second is open too.
async fn open(service: &Service) -> (Server, Server, Feed) {
    let (one, two) = (service.server(), service.server());
    two.open(false);
    let client = Client::connect(service.options(&[&one, &two]));
    let client = client.await.expect("client");
    let feed = client.feed("/feed").await.expect("feed");
    two.open(true);
    (one, two, feed)
}

/// Reads events, each of which must follow the one before, until `done`.
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
    // The old server is gone for good, so what follows comes from the new one.
    one.cut();
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

    // Without a word before, the same change breaks the stream once; what was
    // missed meanwhile still comes.
    one.cut();
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
    two.open(false);
    let relay = Relay::start(one.addr).await;
    let options = ClientOptions {
        servers: vec![relay.addr, two.addr],
        connect_timeout: Duration::from_millis(500),
        keep_alive: Duration::from_millis(100),
        silence_limit: Duration::from_millis(700),
        // No timeout of the transport helps.
        idle_timeout: Duration::from_secs(3_600),
        ..service.options(&[])
    };
    let client = Client::connect(options).await.expect("client");
    let mut feed = client.feed("/feed").await.expect("feed");
    two.open(true);
    let mut last = None;
    read(&mut feed, &mut last, |stats| stats.events >= 20).await;

    relay.cut();
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
        Ok(_) => panic!("a missing feed was opened"),
    }
}
