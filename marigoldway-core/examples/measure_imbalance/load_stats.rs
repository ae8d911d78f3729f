//! Computes the imbalance of the target loads over one run.

use crate::SAMPLE_INTERVAL;
use crate::TARGETS;
use crate::WINDOW;

/// Sums over the samples and over the windows of one run. A peak is the maximum load divided
/// by the mean; a variation is the standard deviation divided by the mean.
#[derive(Default)]
pub struct LoadStats {
    /// Sums of the loads of each target in the current window.
    window: [f64; TARGETS],
    /// Number of complete windows.
    pub windows: f64,
    /// Number of samples in the current window.
    count: usize,
    /// Sum of the peaks of the loads averaged over each window.
    pub window_peak: f64,
    /// Sum of the variations of the loads averaged over each window.
    pub window_variation: f64,
    /// Sum of the peaks of the samples.
    pub peak: f64,
    /// Sum of the variations of the samples.
    pub variation: f64,
    /// Number of samples in which a target had a load.
    pub samples: f64,
    /// Sum of the numbers of waiting flows in the samples.
    pub waiting: f64,
    /// Fraction of the flows that an agent passed to another.
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
    /// Adds a sample of the current load of each target.
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
