//! Imbalance of the target loads over one run.

use crate::SAMPLE_INTERVAL;
use crate::TARGETS;
use crate::WINDOW;

/// Sums over the samples and over the windows of one run. `passed` is the
/// fraction of flows passed on.
#[derive(Default)]
pub struct LoadStats {
    window: [f64; TARGETS],
    pub windows: f64,
    count: usize,
    pub window_peak: f64,
    pub window_variation: f64,
    pub peak: f64,
    pub variation: f64,
    pub samples: f64,
    pub waiting: f64,
    pub passed: f64,
}

/// Returns the maximum divided by the mean, and the standard deviation divided by the mean.
fn peak_and_variation(loads: &[f64; TARGETS]) -> (f64, f64) {
    let mean = loads.iter().sum::<f64>() / TARGETS as f64;
    let largest = loads.iter().copied().fold(0.0, f64::max);
    let square = loads.iter().map(|it| (it - mean).powi(2)).sum::<f64>();
    (largest / mean, (square / TARGETS as f64).sqrt() / mean)
}

impl LoadStats {
    pub fn sample(&mut self, loads: impl Iterator<Item = u32>) {
        let mut now = [0.0; TARGETS];
        for (index, load) in loads.enumerate() {
            now[index] = f64::from(load);
            self.window[index] += f64::from(load);
        }
        if now.iter().sum::<f64>() > 0.0 {
            let (peak, variation) = peak_and_variation(&now);
            self.peak += peak;
            self.variation += variation;
            self.samples += 1.0;
        }
        self.count += 1;
        if self.count == (WINDOW / SAMPLE_INTERVAL) as usize {
            let (peak, variation) = peak_and_variation(&self.window);
            self.window_peak += peak;
            self.window_variation += variation;
            self.windows += 1.0;
            self.window = [0.0; TARGETS];
            self.count = 0;
        }
    }
}
