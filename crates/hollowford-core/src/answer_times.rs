//! How long answers take, smoothed as RFC 6298 does it for retransmissions.

use crate::Millis;

/// Weight of the newest answer in the smoothed time (RFC 6298).
const SMOOTHING_WEIGHT: f32 = 0.125;
/// Weight of the newest answer in the deviation (RFC 6298).
const DEVIATION_WEIGHT: f32 = 0.25;
/// Deviations by which an answer may be later than the smoothed time (RFC 6298).
const DEVIATION_FACTOR: f32 = 4.0;

/// The answer times of one peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTimes {
    /// Smoothed time and smoothed deviation from it, in milliseconds; none before an answer.
    times: Option<(f32, f32)>,
}

impl AnswerTimes {
    /// Takes in how long an answer took.
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

    /// Returns the time within which the next answer is to be expected; none before the first
    /// one.
    pub fn expected(&self) -> Option<Millis> {
        self.times
            .map(|(smoothed, deviation)| Millis((smoothed + deviation * DEVIATION_FACTOR) as u64))
    }
}
