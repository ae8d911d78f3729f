//! HTTP control interface of the fabric, for tests that change it while it runs.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use crate::fabric::parse_addresses;
use crate::fabric::service::Service;
use crate::http::Body;
use crate::http::HandlerResult;
use crate::http::query;
use crate::http::text;

/// `Control` holds the services of a running fabric.
pub(crate) struct Control {
    pub(crate) services: Vec<Arc<Service>>,
}

/// Handles one request:
///
/// - `POST /entries?service=LISTEN&entries=A,B` replaces the entries,
/// - `GET /entries?service=LISTEN` lists them,
/// - `POST /loss?rate=0.05` sets the fraction of datagrams that is dropped,
/// - `GET /counts` returns one line of counters for each service.
pub(crate) async fn handle(control: Arc<Control>, request: Request<Incoming>) -> HandlerResult {
    let response = match (request.method(), request.uri().path()) {
        (&Method::POST, "/entries") => control.set_entries(&request),
        (&Method::GET, "/entries") => control.entries(&request),
        (&Method::POST, "/loss") => control.set_loss(&request),
        (&Method::GET, "/counts") => text(StatusCode::OK, control.counts()),
        _ => text(StatusCode::NOT_FOUND, "no such path\n"),
    };
    Ok(response)
}

impl Control {
    fn set_entries(&self, request: &Request<Incoming>) -> Response<Body> {
        let Some(service) = self.service(request) else {
            return text(StatusCode::NOT_FOUND, "no such service\n");
        };
        match parse_addresses(query(request, "entries").unwrap_or_default()) {
            Ok(entries) => {
                service.set_entries(entries);
                text(StatusCode::OK, "ok\n")
            }
            Err(err) => text(StatusCode::BAD_REQUEST, err),
        }
    }

    fn entries(&self, request: &Request<Incoming>) -> Response<Body> {
        let Some(service) = self.service(request) else {
            return text(StatusCode::NOT_FOUND, "no such service\n");
        };
        let entries: Vec<String> = service.entries().iter().map(ToString::to_string).collect();
        text(StatusCode::OK, entries.join(","))
    }

    fn set_loss(&self, request: &Request<Incoming>) -> Response<Body> {
        let rate = query(request, "rate").and_then(|rate| rate.parse().ok());
        let Some(rate) = rate.filter(|rate| (0.0..=1.0).contains(rate)) else {
            return text(StatusCode::BAD_REQUEST, "expected a rate from 0 to 1\n");
        };
        for service in &self.services {
            service.set_loss(rate);
        }
        text(StatusCode::OK, "ok\n")
    }

    fn counts(&self) -> String {
        let line = |service: &Arc<Service>| {
            format!(
                "service={} received={} answered={} dropped={}\n",
                service.addr(),
                service.received.load(Ordering::Relaxed),
                service.answered.load(Ordering::Relaxed),
                service.dropped.load(Ordering::Relaxed),
            )
        };
        self.services.iter().map(line).collect()
    }

    fn service(&self, request: &Request<Incoming>) -> Option<&Arc<Service>> {
        let listen = query(request, "service")?.parse().ok()?;
        self.services
            .iter()
            .find(|service| service.addr() == listen)
    }
}
