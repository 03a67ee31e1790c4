//! Smoothed response times, computed like the round-trip time in RFC 6298.

use crate::Millis;

/// Weight of the newest response time in the smoothed response time (RFC 6298).
const SMOOTHING_WEIGHT: f32 = 0.125;
/// Weight of the newest deviation in the smoothed deviation (RFC 6298).
const DEVIATION_WEIGHT: f32 = 0.25;
/// Number of smoothed deviations added to the smoothed response time (RFC 6298).
const DEVIATION_FACTOR: f32 = 4.0;

/// Response times of one peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTimes {
    /// Smoothed response time and smoothed deviation, in milliseconds; `None` before the first
    /// answer.
    times: Option<(f32, f32)>,
}

impl AnswerTimes {
    /// Records the response time of one answer.
    pub fn record(&mut self, took: Millis) {
        let took = took.0 as f32;
        self.times = Some(match self.times {
            None => (took, took / 2.0),
            Some((smoothed, deviation)) => (
                smoothed + (took - smoothed) * SMOOTHING_WEIGHT,
                deviation + ((took - smoothed).abs() - deviation) * DEVIATION_WEIGHT,
            ),
        });
    }

    /// Returns the time within which the next answer is expected, or `None` before the first
    /// answer.
    pub fn expected(&self) -> Option<Millis> {
        self.times
            .map(|(smoothed, deviation)| Millis((smoothed + deviation * DEVIATION_FACTOR) as u64))
    }
}
