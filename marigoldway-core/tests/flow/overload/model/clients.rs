//! Clients of the model.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use rand::RngExt;

use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::segment::Answer;
use marigoldway_core::flow::segment::Segment;

use crate::fleet::server;
use crate::overload::model::Attempt;
use crate::overload::model::CLIENT_TRAVEL;
use crate::overload::model::Event;
use crate::overload::model::IdleFlow;
use crate::overload::model::MS;
use crate::overload::model::Model;
use crate::overload::model::RETRIES;
use crate::overload::model::RETRY_DELAY;
use crate::overload::model::Request;
use crate::overload::model::State;
use crate::overload::model::packets::client_packet;

impl Model {
    pub(super) fn on_arrival(&mut self, class: usize) {
        self.outcomes[class].sent += 1;
        self.requests.push(Request {
            class,
            sent_at: self.now,
            attempts: 0,
        });
        let request = self.requests.len() - 1;
        let Some(idle) = self.idle[class].pop() else {
            return self.start_attempt(request);
        };
        self.requests[request].attempts += 1;
        self.attempts.push(Attempt {
            request,
            flow: idle.flow,
            origin: idle.origin,
            state: State::Open,
            offset: idle.sent,
        });
        let attempt = self.attempts.len() - 1;
        self.by_flow.insert(idle.flow, attempt);
        self.send_request(attempt);
        self.expect(attempt);
    }

    pub(super) fn start_attempt(&mut self, request: usize) {
        self.requests[request].attempts += 1;
        let class = &self.setup.classes[self.requests[request].class];
        let (count, first) = class.addresses;
        self.flow_count += 1;
        let address = first + self.rng.random_range(0..count);
        let ip = Ipv4Addr::from_bits(0x6440_0000 + address);
        // A port isn't used twice by one address within a run.
        let client = SocketAddrV4::new(ip, 1_024 + (self.flow_count % 60_000) as u16);
        let flow = FlowKey {
            client,
            server: server(class.port),
        };
        self.attempts.push(Attempt {
            request,
            flow,
            origin: 0,
            state: State::Opening,
            offset: 0,
        });
        let attempt = self.attempts.len() - 1;
        self.by_flow.insert(flow, attempt);
        self.send_opening(attempt, 0);
        self.after(200 * MS, Event::Copy(attempt, 1));
        self.after(600 * MS, Event::Copy(attempt, 2));
        self.expect(attempt);
    }

    pub(super) fn expect(&mut self, attempt: usize) {
        let class = self.requests[self.attempts[attempt].request].class;
        let timeout = self.setup.classes[class].timeout.as_micros() as u64;
        self.after(timeout, Event::Timeout(attempt));
    }

    pub(super) fn send(&mut self, segment: Segment) {
        let entry = self.rng.random_range(0..self.entries.len());
        self.after(CLIENT_TRAVEL, Event::Entry(entry, segment));
    }

    pub(super) fn send_opening(&mut self, attempt: usize, copies: u32) {
        let it = &self.attempts[attempt];
        if it.state == State::Opening {
            let segment = client_packet(it.flow, true, 7, copies, 0);
            self.send(segment);
        }
    }

    pub(super) fn send_request(&mut self, attempt: usize) {
        let it = &self.attempts[attempt];
        let ack = it.origin.wrapping_add(1);
        let segment = client_packet(it.flow, false, 8 + it.offset, ack, 100);
        self.send(segment);
    }

    pub(super) fn on_client_packet(&mut self, segment: &Segment) {
        let flow = segment.outbound_flow();
        let Some(attempt) = self.by_flow.get(&flow).copied() else {
            return;
        };
        let state = self.attempts[attempt].state;
        if segment.flags.syn && state == State::Opening {
            self.attempts[attempt].state = State::Open;
            self.attempts[attempt].origin = segment.seq;
            return self.send_request(attempt);
        }
        if segment.len == 0 || state != State::Open {
            return;
        }
        self.finish(attempt);
        let class = self.requests[self.attempts[attempt].request].class;
        if segment.answer == Some(Answer::Failed) {
            self.outcomes[class].rejected += 1;
            return self.retry(attempt);
        }
        self.on_answer(attempt);
    }

    pub(super) fn on_answer(&mut self, attempt: usize) {
        let it = self.attempts[attempt].clone();
        let request = self.requests[it.request];
        let class = &self.setup.classes[request.class];
        let took = self.now - request.sent_at;
        let outcome = &mut self.outcomes[request.class];
        outcome.answer_ms += took as f64 / MS as f64;
        if took <= class.objective.as_micros() as u64 {
            outcome.in_time += 1;
        } else if took <= class.timeout.as_micros() as u64 {
            outcome.late += 1;
        } else {
            outcome.too_late += 1;
        }
        let sent = it.offset + 100;
        if sent < class.flow_requests * 100 {
            self.idle[request.class].push(IdleFlow {
                flow: it.flow,
                origin: it.origin,
                sent,
            });
        }
    }

    pub(super) fn finish(&mut self, attempt: usize) {
        self.attempts[attempt].state = State::Done;
        self.by_flow.swap_remove(&self.attempts[attempt].flow);
    }

    pub(super) fn retry(&mut self, attempt: usize) {
        let request = self.attempts[attempt].request;
        if self.requests[request].attempts <= RETRIES {
            self.after(RETRY_DELAY, Event::Attempt(request));
        } else {
            self.outcomes[self.requests[request].class].failed += 1;
        }
    }

    pub(super) fn on_timeout(&mut self, attempt: usize) {
        let it = self.attempts[attempt].clone();
        if it.state == State::Done {
            return;
        }
        let class = self.requests[it.request].class;
        self.outcomes[class].timed_out += 1;
        self.finish(attempt);
        if it.state == State::Open {
            let mut close = client_packet(it.flow, false, 8 + it.offset + 100, it.origin + 1, 0);
            close.flags.fin = true;
            self.send(close);
        }
        self.retry(attempt);
    }

    pub(super) fn on_reset(&mut self, flow: FlowKey) {
        let Some(attempt) = self.by_flow.get(&flow).copied() else {
            return;
        };
        let class = self.requests[self.attempts[attempt].request].class;
        assert_eq!(
            self.attempts[attempt].state,
            State::Opening,
            "an open flow was reset"
        );
        self.outcomes[class].shed += 1;
        self.finish(attempt);
        self.retry(attempt);
    }
}
