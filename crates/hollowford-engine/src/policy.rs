//! Scheduling settings: weights, limits and times.

use hollowford_core::Millis;

/// Scheduling settings of one partition.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// Duration of a task lease: how long a task may run after its last renewal.
    pub task_lease: Millis,
    /// Interval at which the owner renews the leases of a worker's tasks.
    pub renew_every: Millis,
    /// How long an owner renews task leases after its ownership lease has expired.
    pub renewal_bound: Millis,
    /// Margin for clock drift, added to each wait for a lease on another machine's clock.
    pub drift_margin: Millis,
    /// Share of the total CPU that is reserved for urgent work, 0 to 0.5.
    pub headroom: f64,
    /// Whether repeatable batch work may use the headroom, from which it can be preempted.
    pub headroom_borrow: bool,
    /// Failed attempts of a repeatable task after which its request fails.
    pub max_attempts: u32,
    /// Delay before the second attempt; doubles with each further attempt.
    pub retry_backoff: Millis,
    /// Maximum delay between attempts.
    pub retry_backoff_max: Millis,
    /// Maximum number of open requests of one client account, unless its configuration
    /// sets another limit.
    pub account_queue_bound: u32,
    /// Maximum number of open requests in the partition.
    pub queue_bound: u32,
    /// Maximum number of requests that are tried at a time in one queue of a client account.
    pub lookahead: usize,
    /// Maximum number of placements in one pass; bounds the duration of a pass.
    pub max_placements_per_pass: usize,
    /// Half-life of past usage in the rank of client accounts.
    pub share_half_life: Millis,
    /// Waiting time of a gang after which its reserved workers take no more backfill.
    pub gang_drain_after: Millis,
    /// Maximum number of tasks that are preempted in one second.
    pub preempt_per_second: u32,
    /// Number of distinct requests that must fail on a worker before it is quarantined.
    pub quarantine_after: usize,
    /// Duration of the first quarantine, after which the worker is probed with one task. Doubles with
    /// each further quarantine without a success.
    pub quarantine_time: Millis,
    /// Maximum share of the workers that are in quarantine at the same time, 0 to 1.
    pub max_quarantined_share: f64,
    /// Number of workers on which a request must fail before its failures no longer count
    /// against workers.
    pub request_fault_after: usize,
    /// How long a final answer is kept in memory.
    pub answer_retention: Millis,
    /// Maximum number of final answers that are kept in memory.
    pub max_kept_answers: usize,
    /// Number of records that are not yet durable above which new requests are refused.
    pub unsynced_bound: u64,
    /// Difference in rank within which the client account with the better fit is served
    /// first, as a share of the cell. 0 if the rank alone decides.
    pub packing_tolerance: f64,
    /// Maximum number of suitable workers that are compared for one task.
    pub max_candidates: usize,
}

impl Policy {
    /// Preset for short waiting times: headroom stays free for urgent work.
    pub fn kivu() -> Policy {
        Policy { headroom: 0.04, headroom_borrow: false, ..Policy::default() }
    }

    /// Preset for dense packing: there is no headroom, and urgent work preempts batch work.
    pub fn ortak_sahne() -> Policy {
        Policy {
            headroom: 0.0,
            headroom_borrow: true,
            packing_tolerance: 0.02,
            max_candidates: 32,
            ..Policy::default()
        }
    }
}

impl Default for Policy {
    fn default() -> Policy {
        Policy {
            task_lease: Millis(10_000),
            renew_every: Millis(2_500),
            renewal_bound: Millis(3_600_000),
            drift_margin: Millis(500),
            headroom: 0.04,
            headroom_borrow: true,
            max_attempts: 3,
            retry_backoff: Millis(200),
            retry_backoff_max: Millis(30_000),
            account_queue_bound: 20_000,
            queue_bound: 100_000,
            lookahead: 8,
            max_placements_per_pass: 2_000,
            share_half_life: Millis(600_000),
            gang_drain_after: Millis(20_000),
            preempt_per_second: 400,
            quarantine_after: 3,
            quarantine_time: Millis(15_000),
            max_quarantined_share: 0.2,
            request_fault_after: 3,
            answer_retention: Millis(600_000),
            max_kept_answers: 50_000,
            unsynced_bound: 50_000,
            packing_tolerance: 0.0,
            max_candidates: 16,
        }
    }
}
