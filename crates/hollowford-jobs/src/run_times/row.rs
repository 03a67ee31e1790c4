//! The stored row of learned run times.

use crate::run_times::estimates::StoredModel;
use crate::run_times::speeds::StoredSpeed;
use prost::Message;
use std::cmp::Reverse;
use std::sync::Arc;

/// What is stored of the learned run times.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Stored {
    /// Models by queue, sorted by name.
    pub queues: Vec<(Arc<str>, StoredModel)>,
    /// Workers that differ, sorted by id.
    pub workers: Vec<StoredSpeed>,
}

#[derive(Clone, PartialEq, Message)]
struct RunTimesRow {
    #[prost(message, repeated, tag = "1")]
    queues: Vec<QueueRow>,
    #[prost(message, repeated, tag = "2")]
    workers: Vec<SpeedRow>,
}

/// Logarithms are natural ones.
#[derive(Clone, PartialEq, Message)]
struct QueueRow {
    #[prost(string, tag = "1")]
    name: String,
    #[prost(uint64, tag = "2")]
    samples: u64,
    /// Mean and variance of the logarithm of the estimate in milliseconds.
    #[prost(float, tag = "3")]
    mean_x: f32,
    #[prost(float, tag = "4")]
    var_x: f32,
    /// Mean of the logarithm of run time over estimate, and its covariance with that of the
    /// estimate.
    #[prost(float, tag = "5")]
    mean_z: f32,
    #[prost(float, tag = "6")]
    cov_xz: f32,
    #[prost(float, tag = "7")]
    spread: f32,
}

#[derive(Clone, PartialEq, Message)]
struct SpeedRow {
    #[prost(string, tag = "1")]
    id: String,
    /// Logarithm of the run times relative to the pool's median worker.
    #[prost(float, tag = "2")]
    median: f32,
    #[prost(uint32, tag = "3")]
    samples: u32,
    #[prost(float, tag = "4")]
    variance: f32,
}

/// Removes a quarter of the list, at least one.
fn remove_least_sampled<T>(list: &mut Vec<T>, samples: impl Fn(&T) -> u64) {
    list.sort_by_key(|t| Reverse(samples(t)));
    list.truncate(list.len() * 3 / 4);
}

impl Stored {
    /// Encodes the row. Leaves out queues and workers with few samples if it would be larger than
    /// `max_bytes`: what is missing is learned again.
    pub fn encode(&self, max_bytes: usize) -> Vec<u8> {
        let queue = |(name, m): &(Arc<str>, StoredModel)| QueueRow {
            name: name.to_string(),
            samples: m.samples,
            mean_x: m.mean_x as f32,
            var_x: m.var_x as f32,
            mean_z: m.mean_z as f32,
            cov_xz: m.cov_xz as f32,
            spread: m.spread as f32,
        };
        let worker = |w: &StoredSpeed| SpeedRow {
            id: w.id.as_str().to_owned(),
            median: w.median,
            samples: w.samples,
            variance: w.variance,
        };
        let queues = self.queues.iter().map(queue).collect();
        let mut row = RunTimesRow { queues, workers: self.workers.iter().map(worker).collect() };
        while row.encoded_len() > max_bytes {
            remove_least_sampled(&mut row.queues, |q| q.samples);
            remove_least_sampled(&mut row.workers, |w| w.samples.into());
        }
        row.encode_to_vec()
    }

    /// Decodes the row.
    ///
    /// # Errors
    /// Returns an error if the bytes are not such a row.
    pub fn decode(bytes: &[u8]) -> Result<Stored, prost::DecodeError> {
        let row = RunTimesRow::decode(bytes)?;
        let queue = |q: QueueRow| {
            let model = StoredModel {
                samples: q.samples,
                mean_x: q.mean_x.into(),
                mean_z: q.mean_z.into(),
                var_x: q.var_x.into(),
                cov_xz: q.cov_xz.into(),
                spread: q.spread.into(),
            };
            (q.name.into(), model)
        };
        let worker = |w: SpeedRow| StoredSpeed {
            id: w.id.as_str().into(),
            median: w.median,
            samples: w.samples,
            variance: w.variance,
        };
        Ok(Stored {
            queues: row.queues.into_iter().map(queue).collect(),
            workers: row.workers.into_iter().map(worker).collect(),
        })
    }
}
