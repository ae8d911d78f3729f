//! HTTP requests of the target beside an agent: heartbeats, leaving and readiness.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use tokio::net::TcpStream;
use tokio::time;

use marigoldway_core::flow::target::HeartbeatOutcome;
use marigoldway_platform::api;
use marigoldway_platform::api::ApiRequest;

use crate::packets::agent::Agent;
use crate::packets::server::Answer;

/// Interval between two checks whether the store has been read.
const LISTED_POLL: Duration = Duration::from_millis(100);

/// Timeout of the connection to the target's address. It doesn't leave the instance.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Finds out whether a target that an earlier process of this agent served still runs. If nothing
/// listens at its address, no flow of it lives, and no search waits for this agent. Opens no
/// connection if the store has no trace of an earlier process, or after a heartbeat.
pub(super) async fn find_listener(agent: Rc<Agent>) {
    while !agent.flows.borrow().agents().is_loaded() {
        time::sleep(LISTED_POLL).await;
    }
    let is_heard = agent.flows.borrow().target().incarnations() > 0;
    if is_heard || agent.is_idle() {
        return;
    }
    let address = agent.settings.borrow().target;
    let connection = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let refused =
        matches!(&connection, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused);
    log::info!("event=target-sought target={address} listens={}", !refused);
    if refused {
        agent
            .flows
            .borrow_mut()
            .on_no_target(agent.node.clock.now());
    }
}

impl Agent {
    /// Handles a request of the target. Answers 404 for an unknown path or method.
    pub(super) fn on_request(&self, method: &Method, path: &str, body: &[u8]) -> Answer {
        match ApiRequest::parse(method, path) {
            Some(ApiRequest::Heartbeat(id)) => self.on_heartbeat(&id, body),
            Some(ApiRequest::Leave(id)) => {
                let now = self.node.clock.now();
                let known = self.flows.borrow_mut().on_leave(now, &id);
                log::info!("event=target-left target={id} known={known}");
                Answer::empty(StatusCode::OK)
            }
            Some(ApiRequest::Ready) => Answer::ready(true),
            None => Answer::found(None),
        }
    }

    /// Handles a heartbeat of the target `id`. Answers 400 if the body is invalid, or if it states
    /// another address or service than the target's of this agent.
    fn on_heartbeat(&self, id: &str, body: &[u8]) -> Answer {
        let parsed = match api::parse_heartbeat(id, body) {
            Ok(parsed) => parsed,
            Err(error) => {
                self.node.count("heartbeat-unreadable");
                let now = self.node.clock.now();
                if self.node.log_limiter.allows(now, "heartbeat-unreadable") {
                    log::warn!("event=heartbeat-unreadable target={id:?} error=\"{error}\"");
                }
                return Answer::empty(StatusCode::BAD_REQUEST);
            }
        };
        let own = self.settings.borrow().target.to_string();
        let service = parsed.heartbeat.service;
        if parsed.address != own || service != self.flows.borrow().service() {
            self.node.count("heartbeat-foreign");
            let address = &parsed.address;
            log::warn!(
                "event=heartbeat-foreign target={id:?} address={address:?} service={service}"
            );
            return Answer::empty(StatusCode::BAD_REQUEST);
        }
        let now = self.node.clock.now();
        let mut actions = Vec::new();
        let heartbeat = parsed.heartbeat;
        let (started_at, number, draining) =
            (heartbeat.started_at, heartbeat.number, heartbeat.draining);
        let outcome = self
            .flows
            .borrow_mut()
            .on_heartbeat(now, heartbeat, &mut actions);
        if outcome != HeartbeatOutcome::Same {
            log::info!(
                "event=heartbeat target={id} born={started_at} number={number} draining={draining} \
                 heard={outcome:?}"
            );
        }
        self.execute(None, &mut [], &actions);
        Answer::empty(StatusCode::OK)
    }
}
