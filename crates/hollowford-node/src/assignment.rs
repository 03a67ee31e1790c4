//! Which partition a job or a worker belongs to.
//!
//! Every process works it out alike, from the job's id or the worker's rack and the number of
//! partitions, which never changes in the life of a cell.

use hollowford_jobs::{JobId, WorkerListing, rack_label};
use rustc_hash::{FxHashMap, FxHashSet};
use std::hash::{BuildHasher, BuildHasherDefault};
use std::num::NonZeroUsize;

/// Stands for a step that requires no label.
const ANY_LABEL: &str = "";

/// A hash that is the same in every process.
type Fixed = BuildHasherDefault<rustc_hash::FxHasher>;

/// Returns how many partitions a cell with these workers gets: one for each `workers_per_partition`,
/// but so few that each has workers of every pool, with every label that there is in it. A job
/// never leaves its partition, and would wait there for ever.
pub fn count_partitions(workers: &[WorkerListing], workers_per_partition: NonZeroUsize) -> u32 {
    let wanted = workers.len().div_ceil(workers_per_partition.get()).max(1) as u32;
    (1..=wanted).rev().find(|&count| covers_all_labels(workers, count)).unwrap_or(1)
}

/// Tells whether each of so many partitions would have workers of every pool and label.
fn covers_all_labels(workers: &[WorkerListing], partitions: u32) -> bool {
    let mut covered: FxHashMap<(&str, &str), FxHashSet<u32>> = FxHashMap::default();
    for w in workers {
        let partition = partition_of_worker(w, partitions);
        let rack = rack_label(&w.labels);
        let labels = w.labels.iter().filter(|&l| Some(l) != rack).map(|l| &**l);
        for label in labels.chain([ANY_LABEL]) {
            covered.entry((&w.pool, label)).or_default().insert(partition);
        }
    }
    covered.values().all(|h| h.len() == partitions as usize)
}

/// Returns the partition of a job that belongs to no client account.
pub fn partition_of_job(job: JobId, partitions: u32) -> u32 {
    (hash(&job.0) % u64::from(partitions.max(1))) as u32
}

/// Returns the partition of a client account: all its jobs are homed there, so that one owner counts
/// what the account has running. Equal parts of its quota in each partition would keep gangs that
/// are larger than a part from ever running.
pub fn partition_of_account(account: &str, partitions: u32) -> u32 {
    (hash(&account) % u64::from(partitions.max(1))) as u32
}

/// Returns the partition of a worker. A rack stays whole, since a gang may want one.
pub fn partition_of_worker(worker: &WorkerListing, partitions: u32) -> u32 {
    assign_by_number(rack_label(&worker.labels).unwrap_or(&worker.address), partitions)
}

/// Returns the partition whose calls for advice the process at `address` makes.
pub fn advice_partition(address: &str, partitions: u32) -> u32 {
    assign_by_number(address, partitions)
}

/// Deals names to partitions. Names are mostly numbered one by one, and a hash of a few dozen
/// would leave some partitions with half as many again as others: so by their numbers.
fn assign_by_number(name: &str, partitions: u32) -> u32 {
    let digits = name.split(|c: char| !c.is_ascii_digit()).filter(|d| !d.is_empty());
    let numbers: Vec<u64> = digits.filter_map(|d| d.parse().ok()).collect();
    let n = if numbers.is_empty() { hash(&name) } else { numbers.iter().sum() };
    (n % u64::from(partitions.max(1))) as u32
}

/// Returns a number that orders processes differently for each partition.
pub fn process_order(address: &str, partition: u32) -> u64 {
    hash(&(address, partition))
}

fn hash<T: std::hash::Hash>(value: &T) -> u64 {
    // The low bits of this hash are poor.
    Fixed::default().hash_one(value) >> 16
}
