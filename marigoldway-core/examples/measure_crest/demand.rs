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
pub(crate) const SHORT_MEAN: Duration = Duration::from_millis(20);
const BULK_MEAN: Duration = Duration::from_millis(1_000);

/// Time in which a caller wants the answer of a short and of a bulk request.
const SHORT_DEADLINE: Duration = Duration::from_secs(1);
const BULK_DEADLINE: Duration = Duration::from_secs(60);

/// Share of bulk requests, in thousandths.
const BULK_PERMILLE: u32 = 20;

/// Customers that stay within their plan: each asks at a steady rate, in
/// requests a second.
pub(crate) const STEADY: u64 = 8;
const STEADY_RATE: f64 = 2.0;

/// Customers in all; the others bring the swing.
const CUSTOMERS: u64 = 40;

/// Start of the swing, its full height, the start of its fall and the end of
/// the fall, and the end of the run, in milliseconds.
pub(crate) const RISE: u64 = 10_000;
pub(crate) const TOP: u64 = 11_000;
pub(crate) const FALL: u64 = 21_000;
pub(crate) const CALM: u64 = 22_000;
pub(crate) const END: u64 = 37_000;

/// Demand as a share of capacity before and after the swing, and at its top.
const LOW: f64 = 0.5;
const HIGH: f64 = 5.0;

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
    let mut out: Vec<Request> = (0..STEADY)
        .flat_map(|customer| steady(CustomerKey(customer), &mut rng))
        .collect();
    swing(&mut rng, &mut out);
    out.sort_by_key(|request| request.at);
    out
}

fn steady(customer: CustomerKey, rng: &mut impl Rng) -> Vec<Request> {
    let mut at = Timestamp::ZERO;
    let mut out = Vec::new();
    loop {
        at = at + exponential(Duration::from_secs_f64(1.0 / STEADY_RATE), rng);
        if at >= Timestamp::from_millis(END) {
            return out;
        }
        out.push(request(at, Class::Short, customer, rng));
    }
}

fn swing(rng: &mut impl Rng, out: &mut Vec<Request>) {
    let steady = STEADY as f64 * STEADY_RATE;
    let mut at = Timestamp::ZERO;
    loop {
        let rate = height(at) * capacity() - steady;
        at = at + exponential(Duration::from_secs_f64(1.0 / rate), rng);
        if at >= Timestamp::from_millis(END) {
            return;
        }
        let bulk = rng.random_range(0..1_000) < BULK_PERMILLE;
        let class = if bulk { Class::Bulk } else { Class::Short };
        let customer = CustomerKey(rng.random_range(STEADY..CUSTOMERS));
        out.push(request(at, class, customer, rng));
    }
}

/// Requests a second that the target can serve of the mixed demand.
fn capacity() -> f64 {
    let bulk = f64::from(BULK_PERMILLE) / 1_000.0;
    let mean = (1.0 - bulk) * SHORT_MEAN.as_secs_f64() + bulk * BULK_MEAN.as_secs_f64();
    SLOTS as f64 / mean
}

/// Demand at a point in time, as a share of capacity.
fn height(at: Timestamp) -> f64 {
    let millis = at.as_micros() / 1_000;
    let slope = |from: u64| (millis - from) as f64 / 1_000.0 * (HIGH - LOW);
    match millis {
        RISE..TOP => LOW + slope(RISE),
        TOP..FALL => HIGH,
        FALL..CALM => HIGH - slope(FALL),
        _ => LOW,
    }
}

fn request(at: Timestamp, class: Class, customer: CustomerKey, rng: &mut impl Rng) -> Request {
    let (mean, patience) = match class {
        Class::Feed | Class::Short => (SHORT_MEAN, SHORT_DEADLINE),
        Class::Bulk => (BULK_MEAN, BULK_DEADLINE),
    };
    Request {
        at,
        class,
        customer,
        service: mean.mul_f64(rng.random_range(0.5..1.5)),
        deadline: at + patience,
    }
}

fn exponential(mean: Duration, rng: &mut impl Rng) -> Duration {
    mean.mul_f64(-(1.0 - rng.random::<f64>()).ln())
}
