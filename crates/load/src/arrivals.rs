//! Seeded arrival times of a Poisson process.

use std::time::Duration;

use fastrand::Rng;

/// Generates the arrival times of a Poisson process with `rate` events per second
/// over `time`, as offsets from the start.
#[must_use]
pub fn draw_arrivals(rate: f64, time: Duration, seed: u64) -> Vec<Duration> {
    let mut random = Rng::with_seed(seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    if rate <= 0.0 {
        return arrivals;
    }
    loop {
        // 1 - x is in (0, 1], so its logarithm is finite.
        at += -(1.0 - random.f64()).ln() / rate;
        if at >= time.as_secs_f64() {
            return arrivals;
        }
        arrivals.push(Duration::from_secs_f64(at));
    }
}
