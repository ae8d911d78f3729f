//! Histograms of durations and gauges of the capacity estimate, served at the metrics address.

use error_stack::ResultExt;
use prometheus::Encoder;
use prometheus::Gauge;
use prometheus::GaugeVec;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::errors::Error;
use crate::errors::Result;

/// Upper bounds of the buckets in seconds, from the duration of a handshake with the
/// target to the longest timeout of a route.
const BUCKETS: [f64; 11] = [
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2,
];

/// `CapacityGauges` holds the capacity estimate of an agent's target, by work class where a field
/// says nothing else.
pub(crate) struct CapacityGauges {
    /// Estimated service time in seconds.
    pub(crate) service: GaugeVec,
    /// Confidence in the estimate, 0 to 1.
    pub(crate) trust: GaugeVec,
    /// Time since the last request that entered the estimate, in seconds.
    pub(crate) age: GaugeVec,
    /// Number of requests that the target runs well, of all classes.
    pub(crate) limit: Gauge,
}

impl CapacityGauges {
    fn new(registry: &Registry) -> Result<CapacityGauges> {
        Ok(CapacityGauges {
            service: class_gauge(registry, "target_service_seconds", "estimated service time")?,
            trust: class_gauge(
                registry,
                "target_estimate_trust",
                "confidence in the estimate",
            )?,
            age: class_gauge(
                registry,
                "target_estimate_age_seconds",
                "age of the estimate",
            )?,
            limit: limit_gauge(registry)?,
        })
    }
}

/// `Histograms` holds the histograms of a process, all in seconds.
pub(crate) struct Histograms {
    registry: Registry,
    /// Time for which requests are queued at the agent.
    pub(crate) request_wait: Histogram,
    /// Time from forwarding a request to the target to its answer.
    pub(crate) target_response: Histogram,
    /// Time from the first packet of a flow that no target holds to its reset.
    pub(crate) flow_reset: Histogram,
    /// Delay of the ticks of the periodic work. A packet may be handled as late as a tick.
    pub(crate) tick_delay: Histogram,
    /// Capacity estimate of an agent's target.
    pub(crate) capacity: CapacityGauges,
}

impl Histograms {
    /// Registers empty histograms. Returns [`Error::Start`] if one is refused.
    pub(crate) fn new() -> Result<Histograms> {
        let registry = Registry::new();
        Ok(Histograms {
            request_wait: histogram(&registry, "request_wait_seconds", "time held at the agent")?,
            target_response: histogram(&registry, "target_answer_seconds", "time at the target")?,
            flow_reset: histogram(
                &registry,
                "flow_reset_seconds",
                "time from a lost flow's first packet to its reset",
            )?,
            tick_delay: histogram(
                &registry,
                "tick_delay_seconds",
                "lateness of the loop's ticks",
            )?,
            capacity: CapacityGauges::new(&registry)?,
            registry,
        })
    }

    /// All histograms in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("event=metrics-unreadable error=\"{error}\"");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Result<Histogram> {
    let error = Error::Start("metrics");
    let options = HistogramOpts::new(format!("marigoldway_{name}"), help);
    let histogram = Histogram::with_opts(options.buckets(BUCKETS.to_vec()));
    let histogram = histogram.change_context(error.clone())?;
    let result = registry.register(Box::new(histogram.clone()));
    result.change_context(error)?;
    Ok(histogram)
}

fn class_gauge(registry: &Registry, name: &str, help: &str) -> Result<GaugeVec> {
    let error = Error::Start("metrics");
    let options = Opts::new(format!("marigoldway_{name}"), help);
    let gauge = GaugeVec::new(options, &["class"]).change_context(error.clone())?;
    let result = registry.register(Box::new(gauge.clone()));
    result.change_context(error)?;
    Ok(gauge)
}

fn limit_gauge(registry: &Registry) -> Result<Gauge> {
    let error = Error::Start("metrics");
    let gauge = Gauge::new("marigoldway_target_limit", "estimated concurrency limit");
    let gauge = gauge.change_context(error.clone())?;
    let result = registry.register(Box::new(gauge.clone()));
    result.change_context(error)?;
    Ok(gauge)
}
