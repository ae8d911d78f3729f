//! Generates the random requests of one run from a seed.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use marigoldway_core::admission::CustomerKey;
use marigoldway_core::request::Class;
use marigoldway_core::time::Timestamp;

/// Number of slots of the target.
pub(crate) const SLOTS: usize = 4;

/// Mean service times of short and bulk requests.
pub(crate) const SHORT_SERVICE: Duration = Duration::from_millis(20);
const BULK_SERVICE: Duration = Duration::from_millis(1_000);

/// Time from arrival to deadline of short and bulk requests.
const SHORT_TIMEOUT: Duration = Duration::from_secs(1);
const BULK_TIMEOUT: Duration = Duration::from_secs(60);

/// Share of bulk requests, in thousandths; steady customers send only short ones.
const BULK_PERMILLE: u32 = 20;

/// Number of customers that stay within their plan. Each sends requests at the
/// same mean rate, in requests per second.
pub(crate) const STEADY_CUSTOMERS: u64 = 8;
const STEADY_RATE: f64 = 2.0;

/// Total number of customers. Those that aren't steady cause the surge.
const CUSTOMERS: u64 = 40;

/// Start times of the phases of a run, in milliseconds. The surge lasts from `RISE_START` to
/// `FALL_END`: demand starts to rise, reaches its peak, starts to fall, and is back at its
/// base. The overload is the part of the surge at peak demand. The run ends at `RUN_END`.
pub(crate) const RISE_START: u64 = 10_000;
pub(crate) const PEAK_START: u64 = 11_000;
pub(crate) const FALL_START: u64 = 21_000;
pub(crate) const FALL_END: u64 = 22_000;
pub(crate) const RUN_END: u64 = 37_000;

/// Demand as a fraction of capacity outside the surge and at its peak.
const BASE_DEMAND: f64 = 0.5;
const PEAK_DEMAND: f64 = 5.0;

/// `Request` is one simulated request. `at` is its arrival, `service` its service time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) at: Timestamp,
    pub(crate) class: Class,
    pub(crate) customer: CustomerKey,
    pub(crate) service: Duration,
    pub(crate) deadline: Timestamp,
}

/// Generates the requests of one run, sorted by arrival time.
pub(crate) fn draw(seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut out: Vec<Request> = (0..STEADY_CUSTOMERS)
        .flat_map(|customer| steady_requests(CustomerKey(customer), &mut rng))
        .collect();
    surge_requests(&mut rng, &mut out);
    out.sort_by_key(|request| request.at);
    out
}

/// Generates the requests of a customer that stays within its plan.
fn steady_requests(customer: CustomerKey, rng: &mut impl Rng) -> Vec<Request> {
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

/// Generates the requests of the customers that cause the surge. Their rate is what remains of
/// the total demand after the mean rate of the steady customers.
fn surge_requests(rng: &mut impl Rng, out: &mut Vec<Request>) {
    let steady_rate = STEADY_CUSTOMERS as f64 * STEADY_RATE;
    let mut at = Timestamp::ZERO;
    loop {
        let rate = demand_at(at) * capacity() - steady_rate;
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

/// Returns the requests per second of the mixed demand that the target can serve.
fn capacity() -> f64 {
    let bulk = f64::from(BULK_PERMILLE) / 1_000.0;
    let mean = (1.0 - bulk) * SHORT_SERVICE.as_secs_f64() + bulk * BULK_SERVICE.as_secs_f64();
    SLOTS as f64 / mean
}

/// Returns the demand at a point in time as a fraction of capacity.
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

/// Draws an exponentially distributed time with the given mean.
fn exponential(mean: Duration, rng: &mut impl Rng) -> Duration {
    mean.mul_f64(-(1.0 - rng.random::<f64>()).ln())
}
