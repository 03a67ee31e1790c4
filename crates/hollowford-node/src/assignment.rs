//! Assignment of jobs, client accounts and workers to partitions.
//!
//! Every process computes the same assignment from the job's id, the account's name or the worker's
//! rack, and from the number of partitions, which never changes during the lifetime of a cell.

use hollowford_jobs::{JobId, WorkerListing, rack_label};
use rustc_hash::{FxHashMap, FxHashSet};
use std::hash::{BuildHasher, BuildHasherDefault};
use std::num::NonZeroUsize;

/// Stands for all workers of a pool, as used by steps that require no label.
const ANY_LABEL: &str = "";

/// Hasher with the same result in every process.
type StableHasher = BuildHasherDefault<rustc_hash::FxHasher>;

/// Returns the number of partitions for these workers: one per `workers_per_partition`, or fewer,
/// so that each partition has workers of every pool with every label of that pool. A job never
/// leaves its partition, and would otherwise wait there forever.
pub fn count_partitions(workers: &[WorkerListing], workers_per_partition: NonZeroUsize) -> u32 {
    let wanted = workers.len().div_ceil(workers_per_partition.get()).max(1) as u32;
    (1..=wanted).rev().find(|&count| covers_all_labels(workers, count)).unwrap_or(1)
}

/// Returns true if each partition would have workers of every pool and label.
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
    covered.values().all(|p| p.len() == partitions as usize)
}

/// Returns the partition of a job that belongs to no client account.
pub fn partition_of_job(job: JobId, partitions: u32) -> u32 {
    (hash(&job.0) % u64::from(partitions.max(1))) as u32
}

/// Returns the partition of a client account. It holds all jobs of the account, so that one owner
/// counts the account's usage. Splitting the quota evenly between partitions would block gangs that
/// are larger than a part of it.
pub fn partition_of_account(account: &str, partitions: u32) -> u32 {
    (hash(&account) % u64::from(partitions.max(1))) as u32
}

/// Returns the partition of a worker. The workers of a rack stay together, since a gang may need
/// them in one rack.
pub fn partition_of_worker(worker: &WorkerListing, partitions: u32) -> u32 {
    assign_by_number(rack_label(&worker.labels).unwrap_or(&worker.address), partitions)
}

/// Returns the partition whose advice calls the process at `address` makes.
pub fn advice_partition(address: &str, partitions: u32) -> u32 {
    assign_by_number(address, partitions)
}

/// Assigns a name to a partition by the numbers in it. Names are usually numbered consecutively.
/// With only a few dozen names, a hash would give some partitions half as many again as others.
fn assign_by_number(name: &str, partitions: u32) -> u32 {
    let digits = name.split(|c: char| !c.is_ascii_digit()).filter(|d| !d.is_empty());
    let numbers: Vec<u64> = digits.filter_map(|d| d.parse().ok()).collect();
    // Wraps, as sums in release builds always have: all processes must agree.
    let sum = || numbers.iter().fold(0, |sum: u64, n| sum.wrapping_add(*n));
    let n = if numbers.is_empty() { hash(&name) } else { sum() };
    (n % u64::from(partitions.max(1))) as u32
}

/// Returns a sort key that orders processes differently for each partition.
pub fn process_order(address: &str, partition: u32) -> u64 {
    hash(&(address, partition))
}

fn hash<T: std::hash::Hash>(value: &T) -> u64 {
    // The low bits of this hash are poorly distributed.
    StableHasher::default().hash_one(value) >> 16
}
