//! The demand of one run, drawn from a seed.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::admission::CustomerKey;
use marigoldway_core::request::Class;
use marigoldway_core::time::Timestamp;

/// Slots of the target.
pub(crate) const SLOTS: usize = 4;

/// Mean service time of a short request, and of a bulk request.
pub(crate) const SHORT_SERVICE: Duration = Duration::from_millis(20);
const BULK_SERVICE: Duration = Duration::from_millis(1_000);

/// Time in which a caller wants the answer of a short and of a bulk request.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);
const BULK_TIMEOUT: Duration = Duration::from_secs(60);

/// Share of bulk requests, in thousandths.
const BULK_PERMILLE: u32 = 20;

/// Customers that stay within their plan: each asks at a steady rate, in
/// requests a second.
pub(crate) const STEADY_CUSTOMERS: u64 = 8;
const STEADY_RATE: f64 = 2.0;

/// Customers in all; the others bring the surge_requests.
const CUSTOMERS: u64 = 40;

/// Start of the surge_requests, its full demand_at, the start of its fall and the end of
/// the fall, and the end of the run, in milliseconds.
pub(crate) const RISE_START: u64 = 10_000;
pub(crate) const PEAK_START: u64 = 11_000;
pub(crate) const FALL_START: u64 = 21_000;
pub(crate) const FALL_END: u64 = 22_000;
pub(crate) const RUN_END: u64 = 37_000;

/// Demand as a share of capacity before and after the surge_requests, and at its top.
const BASE_DEMAND: f64 = 0.5;
const PEAK_DEMAND: f64 = 5.0;

/// `Request` is one request of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) at: Timestamp,
    pub(crate) class: Class,
    pub(crate) customer: CustomerKey,
    pub(crate) service: Duration,
    pub(crate) deadline: Timestamp,
}

/// Draws the requests of a run in the order of their arrival.
pub(crate) fn draw(seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut out: Vec<Request> = (0..STEADY_CUSTOMERS)
        .flat_map(|customer| steady(CustomerKey(customer), &mut rng))
        .collect();
    surge_requests(&mut rng, &mut out);
    out.sort_by_key(|request| request.at);
    out
}

fn steady(customer: CustomerKey, rng: &mut impl Rng) -> Vec<Request> {
    let mut at = Timestamp::ZERO;
    let mut out = Vec::new();
    loop {
        at = at + exponential(Duration::from_secs_f64(1.0 / STEADY_RATE), rng);
        if at >= Timestamp::from_millis(RUN_END) {
            return out;
        }
        out.push(request(at, Class::Short, customer, rng));
    }
}

fn surge_requests(rng: &mut impl Rng, out: &mut Vec<Request>) {
    let steady = STEADY_CUSTOMERS as f64 * STEADY_RATE;
    let mut at = Timestamp::ZERO;
    loop {
        let rate = demand_at(at) * capacity() - steady;
        at = at + exponential(Duration::from_secs_f64(1.0 / rate), rng);
        if at >= Timestamp::from_millis(RUN_END) {
            return;
        }
        let bulk = rng.random_range(0..1_000) < BULK_PERMILLE;
        let class = if bulk { Class::Bulk } else { Class::Short };
        let customer = CustomerKey(rng.random_range(STEADY_CUSTOMERS..CUSTOMERS));
        out.push(request(at, class, customer, rng));
    }
}

/// Requests a second that the target can serve of the mixed demand.
fn capacity() -> f64 {
    let bulk = f64::from(BULK_PERMILLE) / 1_000.0;
    let mean = (1.0 - bulk) * SHORT_SERVICE.as_secs_f64() + bulk * BULK_SERVICE.as_secs_f64();
    SLOTS as f64 / mean
}

/// Demand at a point in time, as a share of capacity.
fn demand_at(at: Timestamp) -> f64 {
    let millis = at.as_micros() / 1_000;
    let slope = |from: u64| (millis - from) as f64 / 1_000.0 * (PEAK_DEMAND - BASE_DEMAND);
    match millis {
        RISE_START..PEAK_START => BASE_DEMAND + slope(RISE_START),
        PEAK_START..FALL_START => PEAK_DEMAND,
        FALL_START..FALL_END => PEAK_DEMAND - slope(FALL_START),
        _ => BASE_DEMAND,
    }
}

fn request(at: Timestamp, class: Class, customer: CustomerKey, rng: &mut impl Rng) -> Request {
    let (mean, timeout) = match class {
        Class::Feed | Class::Short => (SHORT_SERVICE, SHORT_TIMEOUT),
        Class::Bulk => (BULK_SERVICE, BULK_TIMEOUT),
    };
    Request {
        at,
        class,
        customer,
        service: mean.mul_f64(rng.random_range(0.5..1.5)),
        deadline: at + timeout,
    }
}

fn exponential(mean: Duration, rng: &mut impl Rng) -> Duration {
    mean.mul_f64(-(1.0 - rng.random::<f64>()).ln())
}
