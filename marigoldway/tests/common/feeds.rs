//! Keeps feeds open while a test changes the deployment.
//!
//! A feed is a response that sends numbered events until the client closes it.

use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use marigoldway_client::client::Client;
use marigoldway_client::feed::FeedStats;
use marigoldway_client::options::ClientOptions;

use crate::common::WAIT_LIMIT;

/// `Feeds` reads several feeds, each on its own connection, and panics if an event
/// is missing or repeated.
pub struct Feeds {
    tasks: JoinSet<FeedStats>,
    stop: watch::Sender<bool>,
}

impl Feeds {
    /// Opens `count` feeds and waits until each has delivered its first event.
    pub async fn open(options: &ClientOptions, count: usize) -> Feeds {
        let stop = watch::Sender::new(false);
        let mut clients = JoinSet::new();
        for _ in 0..count {
            let options = options.clone();
            clients.spawn(async move {
                let client = Client::connect(options).await.unwrap();
                let mut feed = client.feed("/feed").await.unwrap();
                let first = feed.next().await.unwrap().id.unwrap();
                (client, feed, first)
            });
        }

        let mut tasks = JoinSet::new();
        for (client, mut feed, first) in clients.join_all().await {
            let mut stop = stop.subscribe();
            tasks.spawn(async move {
                let mut last = first;
                loop {
                    let event = tokio::select! {
                        event = timeout(WAIT_LIMIT, feed.next()) => event,
                        _ = stop.wait_for(|it| *it) => break,
                    };
                    let id = event.expect("the feed timed out").unwrap().id.unwrap();
                    assert_eq!(id, last + 1, "an event is missing or duplicated");
                    last = id;
                }
                drop(client);
                feed.stats()
            });
        }
        Feeds { tasks, stop }
    }

    /// Reads the feeds for another 500 ms, closes them and returns the sums of their
    /// statistics. Panics if a feed has missed or repeated an event.
    pub async fn close(self) -> FeedStats {
        tokio::time::sleep(Duration::from_millis(500)).await;
        self.stop.send_replace(true);
        let mut total = FeedStats::default();
        for stats in self.tasks.join_all().await {
            total.events += stats.events;
            total.moves += stats.moves;
            total.breaks += stats.breaks;
            total.duplicates += stats.duplicates;
            total.gaps += stats.gaps;
        }
        total
    }
}
