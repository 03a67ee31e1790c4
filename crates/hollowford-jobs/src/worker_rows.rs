//! The rows with the workers that may hold a lease.
//!
//! They name all workers of the partition and the incarnations that crashed recently, so that a new
//! owner waits for what may still run there. There are as many rows as the list needs.

use crate::batch::{BatchContents, RowWrite};
use crate::engine::Engine;
use crate::rows::{WorkerAddress, encode_workers};
use crate::worker::Worker;

/// Key of the first row of workers. It names those that are not known to have crashed, as far as
/// they fit.
const WORKERS_KEY: &str = "workers";
/// Maximum size of all rows of workers, in bytes. They are written together, and a transaction
/// takes 1 MB, encoded as base64.
const MAX_WORKER_BYTES: usize = 400_000;

fn row_key(row: usize) -> String {
    if row == 0 { WORKERS_KEY.to_owned() } else { format!("{WORKERS_KEY}/{row}") }
}

/// Returns true if this is the key of a row of workers.
pub(crate) fn is_worker_row(key: &str) -> bool {
    let rest = key.strip_prefix(WORKERS_KEY);
    rest.is_some_and(|r| r.is_empty() || r.starts_with('/'))
}

/// Divides a list of workers into rows of at most `max_row_bytes`. Leaves out the last ones if
/// there are more than a batch takes. Returns how many workers the rows contain.
fn encode_rows(list: &[WorkerAddress], max_row_bytes: usize) -> (Vec<Vec<u8>>, usize) {
    let mut rows: Vec<Vec<u8>> = vec![Vec::new()];
    let mut bytes = 0;
    for (at, worker) in list.iter().enumerate() {
        // Encoded lists can be joined.
        let encoded = encode_workers(std::slice::from_ref(worker));
        bytes += encoded.len();
        if bytes > MAX_WORKER_BYTES {
            return (rows, at);
        }
        match rows.last_mut() {
            Some(row) if row.len() + encoded.len() <= max_row_bytes => row.extend(encoded),
            _ => rows.push(encoded),
        }
    }
    (rows, list.len())
}

impl Engine {
    /// Adds the rows of workers if they lack a listed one.
    pub(crate) fn write_workers(&mut self, rows: &mut Vec<RowWrite>, contents: &mut BatchContents) {
        // Two versions of the rows in flight could be committed in the wrong order.
        let is_in_flight = self.in_flight.batches.values().any(|b| b.workers.is_some());
        let is_incomplete = self.workers.iter().any(|(_, w)| !w.recorded && w.listed);
        if is_in_flight || !is_incomplete {
            return;
        }
        let address =
            |w: &Worker| WorkerAddress { life: w.life.clone(), address: w.address.clone() };
        let incarnations = self.workers.iter().map(|(_, w)| address(w));
        // If there are too many, those that crashed first are left out.
        let crashed = self.crashed_incarnations.iter().rev().map(|c| c.address.clone());
        let mut list: Vec<_> = incarnations.chain(crashed).collect();
        let (values, len) = encode_rows(&list, self.row_limits.max_row_bytes);
        list.truncate(len);
        let obsolete = values.len()..self.stored_worker_rows;
        self.stored_worker_rows = self.stored_worker_rows.max(values.len());
        rows.extend(values.into_iter().enumerate().map(|(row, v)| RowWrite::put(row_key(row), v)));
        rows.extend(obsolete.map(|row| RowWrite::remove(row_key(row))));
        contents.workers = Some(list);
    }

    /// Records that the rows of workers are in the store.
    pub(crate) fn workers_recorded(&mut self, list: Vec<WorkerAddress>) {
        for w in &list {
            let Some(idx) = self.workers.find(&w.life) else { continue };
            if let Some(w) = self.workers.get_mut(idx) {
                w.recorded = true;
            }
        }
        self.recorded_workers = list;
    }
}
