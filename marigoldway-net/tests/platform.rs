//! The platform client against the stand-in server, with and without faults.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use marigoldway_net::platform::Change;
use marigoldway_net::platform::Platform;
use marigoldway_net::platform::Range;
use marigoldway_net::platform::Swap;
use marigoldway_net::platform::SwapOutcome;
use marigoldway_net::platform::calls::CallKind;
use marigoldway_net::platform::errors::Error;
use marigoldway_net::platform::etcd::EtcdOptions;
use marigoldway_net::platform::etcd::EtcdPlatform;

/// Time limit of each call, and of the wait for the end of a lease.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a stand-in server and a client of it.
async fn start() -> (SocketAddr, EtcdPlatform) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(marigoldway_standin::platform::serve(listener));
    let timeout = TIMEOUT;
    let platform = EtcdPlatform::new(EtcdOptions { address, timeout });
    (address, platform)
}

/// Sends a control request to the stand-in server, for example to set a fault.
async fn post(address: SocketAddr, path: &str) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// A swap that writes `key` if it still has `revision`.
fn put(key: &str, revision: u64, value: &str) -> Swap {
    Swap {
        compares: vec![(key.to_owned(), revision)],
        puts: vec![(key.to_owned(), value.as_bytes().to_vec())],
        ..Swap::default()
    }
}

#[tokio::test]
async fn compare_and_swap_rejects_old_revision() {
    let (_, platform) = start().await;
    let first = platform.compare_and_swap(&put("a", 0, "one")).await;
    assert_eq!(first, Ok(SwapOutcome::Applied(1)));
    let second = platform.compare_and_swap(&put("a", 0, "two")).await;
    assert_eq!(second, Ok(SwapOutcome::Refused));

    let read = platform.get(Range::Key("a")).await.unwrap();
    assert_eq!(read.found[0].value, b"one");
    assert_eq!(read.found[0].revision, 1);
    assert_eq!(platform.calls().get(CallKind::Swap), 2);
    assert_eq!(platform.calls().total(), 3);
}

#[tokio::test]
async fn get_returns_newest_keys_of_prefix() {
    let (_, platform) = start().await;
    for key in ["h/1", "h/2", "h/3", "i/4"] {
        platform.compare_and_swap(&put(key, 0, key)).await.unwrap();
    }
    let read = platform.get(Range::Newest("h/", 2)).await.unwrap();
    let keys: Vec<&str> = read.found.iter().map(|s| s.key.as_str()).collect();
    assert_eq!(keys, ["h/3", "h/2"]);
    let all = platform.get(Range::Prefix("h/")).await.unwrap();
    assert_eq!(all.found.len(), 3);
}

#[tokio::test]
async fn compare_and_swap_applies_when_response_is_lost() {
    let (address, platform) = start().await;
    post(address, "/fault?kind=lose-answer&count=1").await;
    let swapped = platform.compare_and_swap(&put("a", 0, "one")).await;
    assert!(
        matches!(swapped, Err(Error::Unreachable { .. })),
        "{swapped:?}"
    );
    let read = platform.get(Range::Key("a")).await.unwrap();
    assert_eq!(read.found[0].value, b"one");
}

#[tokio::test]
async fn get_times_out_when_platform_is_slow() {
    let (address, default_client) = start().await;
    let timeout = Duration::from_millis(50);
    let platform = EtcdPlatform::new(EtcdOptions { address, timeout });
    post(address, "/fault?kind=slow&ms=60000").await;
    let read = platform.get(Range::Key("a")).await;
    assert_eq!(read, Err(Error::Timeout { limit: timeout }));

    post(address, "/fault?kind=none").await;
    post(address, "/fault?kind=down&ms=60000").await;
    let read = default_client.get(Range::Key("a")).await;
    assert!(matches!(read, Err(Error::Unreachable { .. })), "{read:?}");
}

#[tokio::test]
async fn watch_yields_changes_until_closed() {
    let (address, platform) = start().await;
    for (key, revision, value) in [("l/a", 0, "one"), ("m/a", 0, "other")] {
        let swap = put(key, revision, value);
        platform.compare_and_swap(&swap).await.unwrap();
    }
    let mut watch = platform.watch("l/", 1).await.unwrap();
    let swap = put("l/a", 1, "two");
    platform.compare_and_swap(&swap).await.unwrap();
    for expected in [b"one", b"two"] {
        let Some(Change::Put(stored)) = watch.next().await else {
            panic!("expected a put change");
        };
        assert_eq!(stored.value, expected);
    }

    post(address, "/restore?revision=1").await;
    assert_eq!(watch.next().await, None);
    let read = platform.get(Range::Key("l/a")).await.unwrap();
    assert_eq!(read.revision, 1);
    assert_eq!(read.found[0].value, b"one");
}

#[tokio::test]
async fn lease_end_deletes_keys() {
    let (_, platform) = start().await;
    let lease = platform.grant_lease(Duration::from_secs(1)).await.unwrap();
    let swap = Swap {
        lease: Some(lease),
        ..put("a", 0, "one")
    };
    platform.compare_and_swap(&swap).await.unwrap();
    platform.keep_alive(lease).await.unwrap();
    let deleted = async {
        while !platform
            .get(Range::Key("a"))
            .await
            .unwrap()
            .found
            .is_empty()
        {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, deleted).await.unwrap();
    assert_eq!(platform.keep_alive(lease).await, Err(Error::LeaseLost));
}
