//! Histograms of durations, served at the metrics address.

use error_stack::ResultExt;
use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::errors::Error;
use crate::errors::Result;

/// Upper bounds of the buckets in seconds, from the duration of a handshake with the
/// target to the longest timeout of a route.
const BUCKETS: [f64; 11] = [
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2,
];

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
