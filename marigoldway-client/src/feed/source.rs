//! One event stream of a feed, over one connection.

use std::collections::VecDeque;

use bytes::Buf;
use bytes::Bytes;
use h3::client::RequestStream;
use h3_quinn::BidiStream;
use http::HeaderValue;
use http::StatusCode;
use http::header::ACCEPT;
use tokio::time::timeout;

use crate::answer::Answer;
use crate::client::Client;
use crate::errors::Error;
use crate::errors::Result;
use crate::exchange;
use crate::link;
use crate::link::Link;
use crate::link::LinkState;
use crate::request::Request;
use crate::sse::Event;
use crate::sse::Parser;

/// Maximum length in octets of the body read with a refusal.
const MAX_REFUSAL_BODY: usize = 64 << 10;

/// Event or state change that a source reports to its feed.
pub(crate) enum Input {
    /// An event arrived.
    Event(Event),
    /// The server is leaving, silent or gone. Reported once; events may still follow.
    Leaving,
    /// The stream ended, failed or sent malformed data.
    Ended,
}

/// One event stream and the connection that it uses.
pub(crate) struct Source {
    link: Link,
    stream: RequestStream<BidiStream<Bytes>, Bytes>,
    parser: Parser,
    /// Parsed events that `next` has not returned yet.
    ready: VecDeque<Event>,
    leaving_reported: bool,
}

impl Source {
    /// Opens a stream within `ClientOptions::deadline`. The stream resumes after the event
    /// with number `last`. For `None`, no event number is sent to the service.
    pub(crate) async fn open(
        client: &Client,
        path: &str,
        last: Option<u64>,
    ) -> Result<Box<Source>> {
        let opening = Source::start(client, path, last);
        match timeout(client.options().deadline, opening).await {
            Ok(source) => source.map(Box::new),
            Err(_) => Err(Error::no_connection("opening the feed timed out")),
        }
    }

    async fn start(client: &Client, path: &str, last: Option<u64>) -> Result<Source> {
        let mut request = Request::get(path);
        let accept = HeaderValue::from_static("text/event-stream");
        request.headers.insert(ACCEPT, accept);
        if let Some(last) = last {
            request.headers.insert("last-event-id", last.into());
        }
        let head = exchange::head(&request, client.options(), None)?;

        let mut link = client.link().await?;
        let mut stream = link
            .sender
            .send_request(head)
            .await
            .map_err(connection_error)?;
        stream.finish().await.map_err(connection_error)?;
        let (parts, ()) = stream
            .recv_response()
            .await
            .map_err(connection_error)?
            .into_parts();
        if parts.status != StatusCode::OK {
            let body = exchange::receive_body(&mut stream, MAX_REFUSAL_BODY).await;
            let body = body.unwrap_or_default();
            let answer = Answer::from_response(parts.status, parts.headers, body);
            return Err(Error::refused(answer));
        }
        Ok(Source {
            link,
            stream,
            parser: Parser::default(),
            ready: VecDeque::new(),
            leaving_reported: false,
        })
    }

    /// Returns whether the server announced that it is leaving, or is silent or gone.
    pub(crate) fn is_leaving(&self) -> bool {
        self.link.state() != LinkState::Open
    }

    /// Returns whether no datagram arrived from the server within `silence_limit`.
    pub(crate) fn is_silent(&self) -> bool {
        self.link.state() == LinkState::Silent
    }

    /// Waits for the next input. Cancel safe.
    pub(crate) async fn next(&mut self) -> Input {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Input::Event(event);
            }
            tokio::select! {
                chunk = self.stream.recv_data() => {
                    let Ok(Some(mut chunk)) = chunk else {
                        return Input::Ended;
                    };
                    let chunk = chunk.copy_to_bytes(chunk.remaining());
                    if self.parser.push(&chunk, &mut self.ready).is_err() {
                        return Input::Ended;
                    }
                }
                () = link::wait_not_open(self.link.watch()), if !self.leaving_reported => {
                    self.leaving_reported = true;
                    return Input::Leaving;
                }
            }
        }
    }
}

fn connection_error(error: h3::error::StreamError) -> Error {
    Error::no_connection(error.to_string())
}
