//! Checks what clients and targets observe, and records violations of the system's guarantees.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use marigoldway_core::flow::key::FlowKey;
use marigoldway_core::flow::segment::Segment;

use crate::packets::target::Target;

/// Maximum time for which a target still receives new flows after its agent has acknowledged that
/// the target drains (`drain_ms` of the users' sites). The agent is the process beside the target.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// `Checker` receives events from the stand-ins while they run and records violations of the
/// system's guarantees.
pub(crate) struct Checker {
    started: Instant,
    violations: RefCell<Vec<String>>,
    requests: RefCell<IndexMap<String, RequestState>>,
    targets: RefCell<Vec<Rc<Target>>>,
    /// Services to which any configuration so far has routed the flows of a port.
    routes: RefCell<IndexMap<u16, BTreeSet<String>>>,
    /// Ports whose route has been dropped.
    dropped_ports: RefCell<BTreeSet<u16>>,
    /// Number of requests that were served.
    pub(crate) served: Cell<u64>,
    /// Number of requests that weren't served.
    pub(crate) failed: Cell<u64>,
}

struct RequestState {
    /// Whether the request may run no more than once.
    at_most_once: bool,
    runs: u32,
}

impl Checker {
    /// Creates a checker without observations.
    pub(crate) fn new() -> Rc<Checker> {
        Rc::new(Checker {
            started: Instant::now(),
            violations: RefCell::default(),
            requests: RefCell::default(),
            targets: RefCell::default(),
            routes: RefCell::default(),
            dropped_ports: RefCell::default(),
            served: Cell::new(0),
            failed: Cell::new(0),
        })
    }

    /// Returns the time since the checker was created.
    pub(crate) fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Records and prints a violation of `rule`.
    pub(crate) fn record_violation(&self, rule: &str, detail: &str) {
        let at = self.elapsed().as_secs_f64();
        let line = format!("event=broken at={at:.3} rule={rule} detail={detail:?}");
        println!("{line}");
        self.violations.borrow_mut().push(line);
    }

    /// Returns the number of violations so far.
    pub(crate) fn violation_count(&self) -> usize {
        self.violations.borrow().len()
    }

    /// Records that a configuration routes the flows of a port to a service.
    pub(crate) fn allow_route(&self, port: u16, service: &str) {
        let mut routes = self.routes.borrow_mut();
        routes.entry(port).or_default().insert(service.to_owned());
    }

    /// Records that a configuration drops the route of a port. Flows of the port may be reset.
    pub(crate) fn drop_route(&self, port: u16) {
        self.dropped_ports.borrow_mut().insert(port);
    }

    /// Records a started target.
    pub(crate) fn add_target(&self, target: Rc<Target>) {
        self.targets.borrow_mut().push(target);
    }

    /// Records a request before a client sends it.
    pub(crate) fn add_request(&self, id: &str, at_most_once: bool) {
        let request = RequestState {
            at_most_once,
            runs: 0,
        };
        self.requests.borrow_mut().insert(id.to_owned(), request);
    }

    /// Counts a request as served or failed.
    pub(crate) fn record_outcome(&self, served: bool) {
        let count = if served { &self.served } else { &self.failed };
        count.set(count.get() + 1);
    }

    /// Checks a packet that a target received: a configuration has routed its port to the target's
    /// service, and a draining target gets no new flow after [`DRAIN_LIMIT`].
    pub(crate) fn on_packet(&self, target: &Target, segment: &Segment) {
        let (port, service) = (segment.dest.port(), &target.options.service);
        let routes = self.routes.borrow();
        if !routes.get(&port).is_some_and(|it| it.contains(service)) {
            self.record_violation("ROUTE", &format!("packet for port {port} at {service}"));
        }
        let drained = target.drained.get();
        if segment.opens() && drained.is_some_and(|at| at.elapsed() > DRAIN_LIMIT) {
            self.record_violation("DRAIN", &format!("new flow at {}", target.options.id));
        }
    }

    /// Checks a request that a target starts to run: a client has sent it, and it hasn't run before
    /// unless it may run again.
    pub(crate) fn on_request(&self, target: &Target, flow: &FlowKey, id: &str) {
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(id) else {
            return self.record_violation("UNASKED", &format!("request {id:?} on {flow}"));
        };
        request.runs += 1;
        if request.at_most_once && request.runs > 1 {
            let target = &target.options.id;
            self.record_violation("ONCE", &format!("request {id} ran again at {target}"));
        }
    }

    /// Checks a reset that the system sent to a client: no target holds the flow with the target's
    /// initial sequence number `target_isn`, or the flow's route was dropped.
    pub(crate) fn on_reset(&self, flow: &FlowKey, target_isn: u32) {
        if self.dropped_ports.borrow().contains(&flow.server.port()) {
            return;
        }
        let targets = self.targets.borrow();
        if let Some(target) = targets.iter().find(|it| it.holds(flow, target_isn)) {
            let target = &target.options.id;
            self.record_violation(
                "FLOW",
                &format!("reset of {flow}, which is open at {target}"),
            );
        }
    }
}
