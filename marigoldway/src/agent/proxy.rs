//! Requests on their way from HTTP/3 to the target's HTTP/1.1 and back.

use std::net::SocketAddrV4;

use bytes::Buf;
use bytes::Bytes;
use futures_util::stream;
use futures_util::stream::Stream;
use h3::error::Code;
use h3::error::StreamError;
use h3::server::RequestStream;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use marigoldway_core::ids::InstanceId;
use marigoldway_core::request::Outcome;
use marigoldway_core::request::Refusal;

use crate::settings::TargetSettings;

/// Response header that says what became of a request.
const OUTCOME: HeaderName = HeaderName::from_static("marigoldway-outcome");

/// Response header that says why a request was refused.
const REASON: HeaderName = HeaderName::from_static("marigoldway-reason");

/// Response header that names the agent that answered.
const TARGET: HeaderName = HeaderName::from_static("marigoldway-target");

/// Header by which a target says that it did not begin to run a request.
const NOT_STARTED: HeaderName = HeaderName::from_static("marigoldway-not-started");

type ServerStream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;
type SendHalf = RequestStream<h3_quinn::SendStream<Bytes>, Bytes>;
type ReceiveHalf = RequestStream<h3_quinn::RecvStream, Bytes>;

/// `Failure` is the end of a request that has no answer of the target.
enum Failure {
    /// No target began to run the request.
    Refused(Refusal),
    /// The request may have run.
    Unknown,
}

/// `Proxy` carries requests to one target.
pub(super) struct Proxy {
    target: SocketAddrV4,
    own: InstanceId,
}

impl Proxy {
    /// Makes the proxy of a target. `own` is the agent's name in answers.
    pub(super) fn new(target: &TargetSettings, own: InstanceId) -> Proxy {
        Proxy {
            target: target.address,
            own,
        }
    }

    /// Serves one request from its head to the end of the answer.
    pub(super) async fn serve(&self, request: Request<()>, stream: ServerStream) {
        let (mut send, receive) = stream.split();
        let answer = self.ask(request, receive).await;
        let sent = match answer {
            Ok(response) => self.relay(response, &mut send).await,
            Err(failure) => self.fail(&failure, &mut send).await,
        };
        if let Err(err) = sent {
            log::debug!("event=answer-failed error={err:?}");
        }
    }

    /// Sends the request to the target and waits for the head of its answer.
    async fn ask(
        &self,
        request: Request<()>,
        receive: ReceiveHalf,
    ) -> Result<Response<Incoming>, Failure> {
        // A connection of its own keeps a request from being lost with a
        // connection that the target was about to close.
        let down = |_| Failure::Refused(Refusal::TargetDown);
        let tcp = TcpStream::connect(self.target).await.map_err(down)?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(tcp))
            .await
            .map_err(|_| Failure::Refused(Refusal::TargetDown))?;
        tokio::spawn(connection);

        let response = sender
            .send_request(self.outgoing(request, receive))
            .await
            .map_err(|_| Failure::Unknown)?;
        if response.status() == StatusCode::SERVICE_UNAVAILABLE
            && response.headers().contains_key(&NOT_STARTED)
        {
            return Err(Failure::Refused(Refusal::TargetRefused));
        }
        Ok(response)
    }

    fn outgoing(
        &self,
        request: Request<()>,
        receive: ReceiveHalf,
    ) -> Request<StreamBody<impl Stream<Item = Result<Frame<Bytes>, StreamError>> + use<>>> {
        let (head, ()) = request.into_parts();
        let mut outgoing = Request::new(StreamBody::new(frames(receive)));
        *outgoing.method_mut() = head.method;
        *outgoing.uri_mut() = origin_form(&head.uri);
        *outgoing.headers_mut() = forwarded(&head.headers);
        let host = HeaderValue::from_str(&self.target.to_string());
        if let Ok(host) = host {
            outgoing.headers_mut().insert(header::HOST, host);
        }
        outgoing
    }

    /// Sends the target's answer to the caller. A part of an answer must not
    /// pass for the whole, so a broken one resets the stream.
    async fn relay(
        &self,
        response: Response<Incoming>,
        send: &mut SendHalf,
    ) -> Result<(), StreamError> {
        let (head, mut body) = response.into_parts();
        let mut answer = Response::new(());
        *answer.status_mut() = head.status;
        *answer.headers_mut() = forwarded(&head.headers);
        self.mark(answer.headers_mut(), Outcome::Done, None);
        send.send_response(answer).await?;

        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                send.stop_stream(Code::H3_INTERNAL_ERROR);
                return Ok(());
            };
            if let Ok(data) = frame.into_data() {
                send.send_data(data).await?;
            }
        }
        send.finish().await
    }

    async fn fail(&self, failure: &Failure, send: &mut SendHalf) -> Result<(), StreamError> {
        let mut answer = Response::new(());
        let (status, outcome, reason) = match failure {
            Failure::Refused(reason) => (
                StatusCode::SERVICE_UNAVAILABLE,
                Outcome::NotRun,
                Some(*reason),
            ),
            Failure::Unknown => (StatusCode::BAD_GATEWAY, Outcome::Unknown, None),
        };
        *answer.status_mut() = status;
        self.mark(answer.headers_mut(), outcome, reason);
        send.send_response(answer).await?;
        send.finish().await
    }

    fn mark(&self, headers: &mut HeaderMap, outcome: Outcome, reason: Option<Refusal>) {
        headers.insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
        if let Some(reason) = reason {
            headers.insert(REASON, HeaderValue::from_static(reason.as_str()));
        }
        if let Ok(own) = HeaderValue::from_str(&self.own.to_string()) {
            headers.insert(TARGET, own);
        }
    }
}

/// The body of a request as HTTP/1.1 frames.
fn frames(receive: ReceiveHalf) -> impl Stream<Item = Result<Frame<Bytes>, StreamError>> {
    stream::unfold(Some(receive), |receive| async {
        let mut receive = receive?;
        match receive.recv_data().await {
            Ok(Some(mut data)) => {
                let data = data.copy_to_bytes(data.remaining());
                Some((Ok(Frame::data(data)), Some(receive)))
            }
            Ok(None) => None,
            Err(err) => Some((Err(err), None)),
        }
    })
}

/// The path and query of a URI, as HTTP/1.1 servers expect it.
fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().map_or("/", |it| it.as_str());
    path.parse().unwrap_or_default()
}

/// Headers without those that concern one connection only.
fn forwarded(headers: &HeaderMap) -> HeaderMap {
    const HOP: [HeaderName; 5] = [
        header::CONNECTION,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::HOST,
        header::TE,
    ];
    let mut kept = headers.clone();
    for name in HOP {
        kept.remove(name);
    }
    kept.remove(OUTCOME);
    kept.remove(REASON);
    kept.remove(TARGET);
    kept
}
