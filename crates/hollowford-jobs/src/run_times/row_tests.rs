//! Size of the row of learned run times.
//!
//! Guards against batches that the store refuses for good (review/5): a configuration may have a
//! thousand queues, and each of a thousand workers may differ from the others.
#![allow(clippy::expect_used)]

use super::estimates::StoredModel;
use super::row::Stored;
use super::speeds::StoredSpeed;
use crate::progress_segments::RowLimits;

const QUEUES: u64 = 1_000;
const WORKERS: u32 = 1_200;

fn stored() -> Stored {
    let model = |samples| StoredModel {
        samples,
        mean_x: 1.0,
        mean_z: 1.0,
        var_x: 1.0,
        cov_xz: 1.0,
        spread: 1.0,
    };
    let speed = |samples| StoredSpeed {
        id: format!("i-{samples:040}").as_str().into(),
        median: 1.0,
        samples,
        variance: 1.0,
    };
    Stored {
        queues: (0..QUEUES).map(|n| (format!("{n:040}").into(), model(n))).collect(),
        workers: (0..WORKERS).map(speed).collect(),
    }
}

#[test]
fn what_has_few_samples_is_left_out_of_a_row_that_would_be_too_large() {
    let max_bytes = RowLimits::default().max_row_bytes;
    let stored = stored();
    assert!(stored.encode(usize::MAX).len() > max_bytes);
    let bytes = stored.encode(max_bytes);
    assert!(bytes.len() <= max_bytes, "{} bytes", bytes.len());
    let read = Stored::decode(&bytes).expect("the row");
    let queues = read.queues.len() as u64;
    assert!(queues > QUEUES / 4 && read.workers.len() as u32 > WORKERS / 4);
    assert!(read.queues.iter().all(|(_, m)| m.samples >= QUEUES - queues));
}

#[test]
fn a_row_that_fits_is_complete() {
    let stored = Stored { queues: stored().queues.split_off(990), workers: Vec::new() };
    let read = Stored::decode(&stored.encode(RowLimits::default().max_row_bytes));
    assert_eq!(read.expect("the row").queues.len(), 10);
}
