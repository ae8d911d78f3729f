//! What the target beside an agent says of itself.

use http::Method;
use http::StatusCode;

use marigoldway_core::flow::target::HeartbeatOutcome;
use marigoldway_platform::api;
use marigoldway_platform::api::ApiRequest;

use crate::packets::agent::Agent;
use crate::packets::server::Answer;

impl Agent {
    /// Takes a word of the target.
    pub(super) fn on_call(&self, method: &Method, path: &str, body: &[u8]) -> Answer {
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

    fn on_heartbeat(&self, id: &str, body: &[u8]) -> Answer {
        let announced = match api::parse_heartbeat(id, body) {
            Ok(announced) => announced,
            Err(error) => {
                self.node.count("heartbeat-unreadable");
                log::warn!("event=heartbeat-unreadable target={id:?} error=\"{error}\"");
                return Answer::empty(StatusCode::BAD_REQUEST);
            }
        };
        let own = self.settings.borrow().target.to_string();
        let service = announced.heartbeat.service;
        if announced.address != own || service != self.flows.borrow().service() {
            self.node.count("heartbeat-foreign");
            let address = &announced.address;
            log::warn!(
                "event=heartbeat-foreign target={id:?} address={address:?} service={service}"
            );
            return Answer::empty(StatusCode::BAD_REQUEST);
        }
        let now = self.node.clock.now();
        let mut steps = Vec::new();
        let beat = announced.heartbeat;
        let (born, number, draining) = (beat.started_at, beat.number, beat.draining);
        let heard = self.flows.borrow_mut().on_heartbeat(now, beat, &mut steps);
        if heard != HeartbeatOutcome::Same {
            log::info!(
                "event=heartbeat target={id} born={born} number={number} draining={draining} \
                 heard={heard:?}"
            );
        }
        self.carry_out(None, &mut [], &steps);
        Answer::empty(StatusCode::OK)
    }
}
