//! HTTP requests of the target beside an agent: heartbeats, leaving and readiness.

use http::Method;
use http::StatusCode;

use marigoldway_core::flow::target::HeartbeatOutcome;
use marigoldway_platform::api;
use marigoldway_platform::api::ApiRequest;

use crate::packets::agent::Agent;
use crate::packets::server::Answer;

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
