//! Jobs and workers are assigned evenly, and identically in every process.

use crate::assignment::{
    advice_partition, count_partitions, partition_of_job, partition_of_worker,
};
use crate::shared_tests::shared;
use hollowford_core::{Millis, Resources};
use hollowford_jobs::{JobId, WorkerListing};
use std::num::NonZeroUsize;

fn worker(labels: &[&str], address: &str) -> WorkerListing {
    WorkerListing {
        life: "w".into(),
        address: address.into(),
        zone: "z".into(),
        pool: "pool".into(),
        capacity: Resources::default(),
        labels: labels.iter().map(|&l| l.into()).collect(),
        leaving: false,
        remaining: None::<Millis>,
        withdrawn: false,
    }
}

fn counts(assigned: impl Iterator<Item = u32>, partitions: u32) -> Vec<usize> {
    let mut counts = vec![0; partitions as usize];
    assigned.for_each(|h| counts[h as usize] += 1);
    counts
}

#[test]
fn a_single_partition_gets_everything() {
    assert_eq!(partition_of_job(JobId(7), 1), 0);
    assert_eq!(partition_of_worker(&worker(&[], ""), 1), 0);
    assert_eq!(advice_partition("10.0.0.1:7000", 1), 0);
}

#[test]
fn jobs_are_assigned_evenly_whatever_their_ids() {
    for step in [1, 16, 1 << 32, 0x1234_5678_9abc_def1] {
        let ids = (0..9_000_u64).map(|i| JobId(i.wrapping_mul(step)));
        for n in counts(ids.map(|id| partition_of_job(id, 9)), 9) {
            assert!((850..1_150).contains(&n), "step {step}: {n} of 1,000");
        }
    }
}

#[test]
fn racks_are_assigned_whole_and_evenly() {
    let racks = (1..=4).flat_map(|zone| (0..94).map(move |rack| format!("r{zone}-{rack}")));
    let assigned = racks.map(|rack| {
        let first = partition_of_worker(&worker(&["a", &rack], "10.0.0.1:1"), 7);
        assert_eq!(partition_of_worker(&worker(&[&rack, "b"], "10.0.9.9:2"), 7), first);
        first
    });
    for n in counts(assigned, 7) {
        assert!((52..=56).contains(&n), "{n} of 376 racks");
    }
}

#[test]
fn workers_without_a_rack_and_names_without_numbers_are_assigned() {
    assert!(partition_of_worker(&worker(&["a"], "10.0.0.1:1"), 7) < 7);
    assert!(partition_of_worker(&worker(&["rack-of-the-north"], "10.0.0.1:1"), 7) < 7);
}

// A number that is too large made the task that follows the list panic.
#[test]
fn names_with_numbers_that_are_too_large_are_assigned() {
    let max = u64::MAX;
    for rack in [format!("r{max}-1"), format!("r{max}-{max}"), format!("r{max}0-1")] {
        assert!(partition_of_worker(&worker(&["a", &rack], "10.0.0.1:1"), 7) < 7, "{rack}");
    }
    assert!(advice_partition(&format!("{max}.{max}:1"), 7) < 7);
}

/// Returns `racks` racks of eight workers of a pool, every other one with the label `b`.
fn pool(name: &str, racks: usize) -> Vec<WorkerListing> {
    let of_rack = |rack: usize| {
        let label = format!("r1-{rack}");
        let one =
            move |i: usize| worker(&[if i.is_multiple_of(2) { "a" } else { "b" }, &label], "x:1");
        (0..8).map(one)
    };
    let all = (0..racks).flat_map(of_rack);
    all.map(|w| WorkerListing { pool: name.into(), ..w }).collect()
}

fn count(workers: &[WorkerListing]) -> u32 {
    count_partitions(workers, NonZeroUsize::new(100).unwrap_or(NonZeroUsize::MIN))
}

#[test]
fn the_number_of_partitions_grows_with_the_number_of_workers() {
    assert_eq!(count(&[]), 1);
    assert_eq!(count(&pool("p", 12)), 1);
    assert_eq!(count(&pool("p", 13)), 2);
    assert_eq!(count(&pool("p", 100)), 8);
}

#[test]
fn every_partition_has_workers_of_every_pool_and_label() {
    let large = || pool("p", 100);
    assert_eq!(count(&[large(), pool("small", 3)].concat()), 3);
    assert_eq!(count(&[large(), pool("one-rack", 1)].concat()), 1);
    let special = WorkerListing { pool: "p".into(), ..worker(&["fast", "r1-7"], "x:1") };
    assert_eq!(count(&[large(), vec![special]].concat()), 1, "a single worker has the label");
}

// Three partitions of 1,000 workers and 20 accounts. A gang of 12 tasks of 9 cores each exceeds a
// third of a small account's quota.
#[test]
fn an_account_has_one_partition_and_accounts_are_spread_over_partitions() {
    let shared = shared();
    shared.set_partitions(3);
    let mut assigned = [0; 3];
    for account in (0..60).map(|i| format!("account{i}")) {
        let partition = |job| shared.partition_of(&account, JobId(job)).map(|p| p.number);
        let first = partition(0);
        assert!((1..200).all(|job| partition(job * 0x9e37_79b9) == first));
        assigned[first.unwrap_or(0) as usize] += 1;
    }
    assert!(assigned.iter().all(|&n| n >= 10), "{assigned:?}");
    let of_none = |job| shared.partition_of("", JobId(job)).map(|p| p.number);
    assert!((1..200).any(|job| of_none(job) != of_none(0)), "jobs of no account are spread by id");
}
