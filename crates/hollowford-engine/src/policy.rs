//! The weights and bounds of the decisions. Each is a setting.

use hollowford_core::Millis;

/// Settings of the decisions of one partition.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// How long a task may run after the worker last heard from the owner.
    pub task_lease: Millis,
    /// How often the owner extends the leases of a worker's tasks.
    pub renew_every: Millis,
    /// How long an owner whose own lease has lapsed goes on extending task leases.
    pub renewal_bound: Millis,
    /// Added to every wait for a lease on another machine's clock.
    pub drift_margin: Millis,
    /// Part of all processors that work without urgency leaves free, 0 to 0.5.
    pub headroom: f64,
    /// Whether repeatable batch work may use the headroom, and is displaced from it.
    pub headroom_borrow: bool,
    /// Starts of a repeatable task that may fail before its request fails.
    pub max_attempts: u32,
    /// Wait before the second attempt; doubles with each further one.
    pub retry_backoff: Millis,
    /// Longest wait between attempts.
    pub retry_backoff_max: Millis,
    /// Requests of one client account that may wait, unless its configuration says otherwise.
    pub account_queue_bound: u32,
    /// Requests that may wait in the partition.
    pub queue_bound: u32,
    /// Requests of one client account that are tried in one pass.
    pub lookahead: usize,
    /// Placements in one pass, so that a pass stays short.
    pub max_placements_per_pass: usize,
    /// Time after which past use counts half in the order of client accounts.
    pub share_half_life: Millis,
    /// Waiting time after which a gang's reservation takes no more backfill.
    pub gang_drain_after: Millis,
    /// Tasks that may be displaced in one second.
    pub preempt_per_second: u32,
    /// Different requests that must fail on a worker before it is put aside.
    pub quarantine_after: usize,
    /// Time until a worker that was put aside is tried with one task.
    pub quarantine_time: Millis,
    /// Largest part of the workers that may be put aside at once, 0 to 1.
    pub max_quarantined_share: f64,
    /// Different workers on which a request must fail for the fault to be its own.
    pub request_fault_after: usize,
    /// How long a final answer is kept.
    pub answer_retention: Millis,
    /// Final answers that are kept at most.
    pub max_kept_answers: usize,
    /// Records that may wait for the ledger before new work is refused.
    pub unsynced_bound: u64,
    /// Difference in the order of client accounts within which the better fit goes
    /// first, as a part of the cell; 0: the order alone decides.
    pub packing_tolerance: f64,
    /// Fitting workers that are compared for one task.
    pub max_candidates: usize,
}

impl Policy {
    /// Waiting time first: headroom stays free for urgent work.
    pub fn kivu() -> Policy {
        Policy { headroom: 0.04, headroom_borrow: false, ..Policy::default() }
    }

    /// Packing first: everything is lent out, and urgent work displaces batch work.
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
