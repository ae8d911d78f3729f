//! Requests over QUIC connections on the loopback interface.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use marigoldway_client::answer::Answer;
use marigoldway_client::answer::Reason;
use marigoldway_client::client::Client;
use marigoldway_client::request::Key;
use marigoldway_client::request::Request;
use marigoldway_core::request::Outcome;
use marigoldway_core::request::Refusal;

use support::BodyEnd;
use support::Service;

/// Sends `request` to a new server. Returns the answer and the number of request
/// heads that the server read.
async fn send(request: Request) -> (Answer, u64) {
    let service = Service::start();
    let server = service.server();
    let client = Client::connect(service.options(&[&server]));
    let client = client.await.expect("client");
    let answer = client.request(request).await.expect("answer");
    (answer, service.shared.calls.load(Ordering::Relaxed))
}

fn keyed(path: &str) -> Request {
    Request {
        key: Some(Key::try_from("key-a").expect("key")),
        ..Request::post(path, "order")
    }
}

#[tokio::test]
async fn request_whole() {
    let body = vec![7; 300_000];
    let (answer, calls) = send(Request::post("/echo", body.clone())).await;
    assert!(answer.is_success());
    assert_eq!(answer.body, body);
    assert_eq!(
        answer.target.map(|t| t.to_string()).as_deref(),
        Some("127.0.1.1:7000")
    );
    assert_eq!(calls, 1);
}

#[tokio::test]
async fn request_cut_never_repeated() {
    let (answer, calls) = send(Request::post("/cut", "order")).await;
    assert_eq!(answer.outcome, Outcome::Unknown);
    assert_eq!(answer.reason, Some(Reason::Broken));
    assert_eq!(calls, 1);
}

#[tokio::test]
async fn request_cut_repeated() {
    for request in [Request::get("/cut-once"), keyed("/cut-once")] {
        let (answer, calls) = send(request).await;
        assert_eq!(answer.outcome, Outcome::Done);
        assert_eq!(calls, 2);
    }
}

#[tokio::test]
async fn request_part_of_answer() {
    for path in ["/half", "/short"] {
        let (answer, calls) = send(Request::post(path, "order")).await;
        assert_eq!(answer.outcome, Outcome::Unknown);
        assert_eq!(answer.status, None);
        assert!(answer.body.is_empty());
        assert_eq!(calls, 1);
    }
}

#[tokio::test]
async fn request_refused() {
    let (answer, calls) = send(Request::post("/refuse", "order")).await;
    assert_eq!(answer.outcome, Outcome::NotRun);
    assert_eq!(answer.reason, Some(Reason::Refused(Refusal::QueueFull)));
    assert_eq!(calls, 1);

    let (answer, calls) = send(Request::get("/refuse-once")).await;
    assert_eq!(answer.outcome, Outcome::Done);
    assert_eq!(calls, 2);
}

#[tokio::test]
async fn stats_by_reason() {
    let service = Service::start();
    let server = service.server();
    let client = Client::connect(service.options(&[&server]));
    let client = client.await.expect("client");
    for request in [Request::get("/refuse-once"), Request::post("/refuse", "")] {
        client.request(request).await.expect("answer");
    }
    let stats = client.stats();
    assert_eq!((stats.requests, stats.connections), (2, 1));
    assert_eq!(stats.retries.get("queue-full"), Some(&1));
    assert_eq!(stats.failures.get("queue-full"), Some(&1));
}

#[tokio::test]
async fn request_refused_after_cut() {
    // The first attempt may have run, so a refusal of a later one proves nothing.
    let request = Request {
        deadline: Some(Duration::from_secs(1)),
        ..Request::get("/cut-then-refuse")
    };
    let (answer, calls) = send(request).await;
    assert_eq!(answer.outcome, Outcome::Unknown);
    assert!(calls >= 2);
}

#[tokio::test]
async fn request_no_answer_in_time() {
    let request = Request {
        deadline: Some(Duration::from_millis(50)),
        ..Request::post("/hang", "order")
    };
    let (answer, _) = send(request).await;
    assert_eq!(answer.outcome, Outcome::Unknown);
    assert_eq!(answer.reason, Some(Reason::Timeout));
}

#[tokio::test]
async fn request_given_up_resets_upload() {
    let service = Service::start();
    let server = service.server();
    let client = Client::connect(service.options(&[&server]));
    let client = client.await.expect("client");
    let request = Request {
        deadline: Some(Duration::from_millis(100)),
        ..Request::post("/slow", vec![b'x'; 8 << 20])
    };
    let answer = client.request(request).await.expect("answer");
    assert_eq!(answer.outcome, Outcome::Unknown);

    // If the stream ended cleanly, the server would treat the partial body as complete.
    let mut body = service.shared.body.subscribe();
    let ended = body.wait_for(|end| *end != BodyEnd::Open).await;
    assert_eq!(*ended.expect("server"), BodyEnd::Reset);
}

#[tokio::test]
async fn request_server_gone() {
    let service = Service::start();
    let server = service.server();
    let client = Client::connect(service.options(&[&server]));
    let client = client.await.expect("client");
    server.leave();

    // The server refuses new connections, and the old one accepts no request.
    let mut answer = client.request(Request::get("/echo")).await;
    while answer.as_ref().is_ok_and(Answer::is_success) {
        let request = Request {
            deadline: Some(Duration::from_millis(500)),
            ..Request::post("/echo", "order")
        };
        answer = client.request(request).await;
    }
    let answer = answer.expect("answer");
    assert_eq!(answer.outcome, Outcome::NotRun);
}

#[tokio::test]
async fn connect_idle_client_lets_go() {
    let service = Service::start();
    let server = service.server();
    let client = Client::connect(service.options(&[&server]));
    let _client = client.await.expect("client");
    server.leave();
    let idle = tokio::time::timeout(Duration::from_secs(60), server.wait_idle());
    assert!(idle.await.is_ok());
}

#[tokio::test]
async fn keys_issued() {
    let service = Service::start();
    let server = service.server();
    let client = Client::connect(service.options(&[&server]));
    let client = client.await.expect("client");
    let keys = client.keys(2).await.expect("keys");
    let keys: Vec<&str> = keys.iter().map(Key::as_str).collect();
    assert_eq!(keys, ["key-a", "key-b"]);
}
