//! Quotas of client accounts, counted over all tasks of an account that may be running.
//!
//! In a typical full deployment the quota of an account is about twice its mean use; one account
//! may send 5 to 7 times its usual load, and a quota may be lowered below the current use. The
//! tests compare the tasks on the workers with the quotas at every step.

mod common;

use common::*;
use hollowford_accounts::AccountPolicy;
use hollowford_core::{Millis, Totals};
use hollowford_jobs::*;
use std::collections::BTreeMap;
use yare::parameterized;

const BUSY: &str = "busy";
const CALM: &str = "calm";

fn account(name: &str, cores: u64) -> Account {
    let quota = Totals { cpu_milli: cores * 1_000, ..Totals::default() };
    Account {
        name: name.into(),
        policy: AccountPolicy { quota, ..AccountPolicy::default() },
        guaranteed_jobs_per_s: 0,
    }
}

/// Returns a cell in which each of the two accounts has a quota of `cores` cores.
fn cell_with_quotas(workers: usize, cores: u64) -> TestCell {
    let mut cell = TestCell::new(workers);
    cell.engine.set_accounts(&[account(BUSY, cores), account(CALM, cores)]);
    cell
}

/// Returns the processors that each account's tasks take on the workers, in thousandths of a core.
fn cpu_milli_by_account(cell: &TestCell) -> BTreeMap<String, u64> {
    let mut out = BTreeMap::new();
    for w in cell.workers.iter().filter(|w| w.up) {
        for task in w.running.keys() {
            let spec = &cell.specs[&task.step.job].steps[task.step.step as usize];
            let account = cell.job_accounts[&task.step.job].clone();
            *out.entry(account).or_default() += u64::from(spec.allocation().cpu_milli);
        }
    }
    out
}

/// Advances the clock, and panics if an account uses more than `cores`. Returns the maximum use of
/// the busy account, in thousandths of a core.
fn run_within_quota(cell: &mut TestCell, ms: u64, cores: u64) -> u64 {
    let mut max_busy = 0;
    for _ in 0..ms / 5 {
        cell.run(5);
        for (account, milli) in cpu_milli_by_account(cell) {
            assert!(
                milli <= cores * 1_000,
                "{account} uses {milli} thousandths of a core with a quota of {cores} cores"
            );
            if account == BUSY {
                max_busy = max_busy.max(milli);
            }
        }
    }
    max_busy
}

#[test]
fn an_account_holds_no_more_than_its_quota_and_uses_all_of_it() {
    let mut cell = cell_with_quotas(8, 40);
    for id in 1..=20 {
        cell.submit_for(BUSY, id, QUICK, job(vec![step(5, 2_000, 300)]));
    }
    assert_eq!(run_within_quota(&mut cell, 3_000, 40), 40_000);
    assert!((1..=20).all(|id| cell.state(id) == Some(JobState::Completed)));
}

#[test]
fn jobs_held_back_by_a_quota_delay_no_other_account() {
    let mut cell = cell_with_quotas(8, 40);
    cell.submit_for(BUSY, 1, QUICK, job(vec![step(100, 2_000, 60_000)]));
    cell.run(200);
    cell.submit_for(CALM, 2, QUICK, job(vec![step(20, 2_000, 200)]));
    run_within_quota(&mut cell, 400, 40);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

#[test]
fn tasks_being_stopped_count_until_their_ends_are_reported() {
    let mut cell = cell_with_quotas(8, 40);
    cell.submit_for(BUSY, 1, QUICK, job(vec![step(20, 2_000, 60_000)]));
    cell.run(200);
    cell.workers.iter_mut().for_each(|w| w.stop_delay_ms = 300);
    cell.engine.cancel(JobId(1), cell.now);
    cell.submit_for(BUSY, 2, QUICK, job(vec![step(20, 2_000, 60_000)]));
    run_within_quota(&mut cell, 2_000, 40);
    assert_eq!(cpu_milli_by_account(&cell)[BUSY], 40_000);
}

#[test]
fn a_quota_lowered_below_current_use_stops_new_starts_at_once() {
    let mut cell = cell_with_quotas(8, 40);
    cell.submit_for(BUSY, 1, QUICK, job(vec![step(20, 2_000, 1_000)]));
    cell.run(200);
    cell.submit_for(BUSY, 2, QUICK, job(vec![step(1, 2_000, 100)]));
    cell.engine.set_accounts(&[account(BUSY, 20)]);
    cell.run(500);
    assert_eq!(cell.state(2), Some(JobState::Queued));
    cell.run(1_500);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

#[test]
fn a_quota_holds_across_takeovers_while_workers_are_silent() {
    let mut cell = cell_with_quotas(8, 40);
    for id in 1..=10 {
        cell.submit_for(BUSY, id, LARGE, job(vec![step(10, 2_000, 1_500)]));
    }
    run_within_quota(&mut cell, 300, 40);
    for round in 0..4 {
        // Only jobs accepted by an earlier owner wait until the silent worker's lease has ended.
        cell.submit_for(BUSY, 100 + round as u64, LARGE, job(vec![step(20, 2_000, 500)]));
        // One worker with tasks is unreachable while the next owner claims the others.
        cell.workers[round].reachable = false;
        cell.take_over();
        cell.engine.set_accounts(&[account(BUSY, 40), account(CALM, 40)]);
        cell.submit_for(BUSY, 200 + round as u64, LARGE, job(vec![step(20, 2_000, 500)]));
        run_within_quota(&mut cell, 700, 40);
        cell.workers[round].reachable = true;
        run_within_quota(&mut cell, 300, 40);
    }
    run_within_quota(&mut cell, 9_000, 40);
    assert!((1..=10).all(|id| cell.state(id) == Some(JobState::Completed)));
}

#[test]
fn a_gang_gets_quota_while_small_tasks_of_its_account_keep_arriving() {
    let mut cell = cell_with_quotas(8, 40);
    for id in 1..=20 {
        cell.submit_for(BUSY, id, LARGE, job(vec![step(1, 2_000, 400 + id * 20)]));
    }
    cell.run(200);
    let gang = RawStep { gang: true, ..step(18, 2_000, 300) };
    cell.submit_for(BUSY, 100, LARGE, job(vec![gang]));
    for id in 200..400 {
        cell.submit_for(BUSY, id, LARGE, job(vec![step(1, 2_000, 400)]));
        run_within_quota(&mut cell, 20, 40);
    }
    assert_eq!(cell.state(100), Some(JobState::Completed));
}

#[parameterized(
    open = { 60_000 },
    ended = { 50 },
)]
fn only_its_own_account_may_access_a_job_also_after_a_takeover(ms: u64) {
    let mut cell = cell_with_quotas(1, 16);
    cell.submit_for(BUSY, 1, QUICK, job(vec![step(1, 1_000, ms)]));
    cell.run(400);
    for _ in 0..2 {
        assert!(cell.engine.may_access(JobId(1), BUSY));
        assert!(!cell.engine.may_access(JobId(1), CALM));
        assert!(!cell.engine.may_access(JobId(1), NO_ACCOUNT));
        let other =
            cell.engine.submit(JobId(1), CALM, QUICK, cell.specs[&JobId(1)].clone(), cell.now);
        assert_eq!(other, SubmitAnswer::OtherAccount);
        cell.take_over();
        cell.run(100);
    }
}

#[test]
fn a_job_without_an_account_may_be_accessed_by_any_account() {
    let mut cell = cell_with_quotas(1, 16);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 60_000)]));
    cell.run(100);
    assert!(cell.engine.may_access(JobId(1), CALM));
}

#[test]
fn an_account_that_leaves_the_configuration_keeps_its_accepted_work_and_its_quota() {
    let mut cell = cell_with_quotas(8, 40);
    cell.submit_for(BUSY, 1, QUICK, job(vec![step(30, 2_000, 300)]));
    cell.run(100);
    cell.engine.set_accounts(&[account(CALM, 40)]);
    run_within_quota(&mut cell, 1_500, 40);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

#[test]
fn the_resources_in_use_by_an_account_are_reported() {
    let mut cell = cell_with_quotas(8, 40);
    cell.submit_for(BUSY, 1, QUICK, job(vec![step(3, 2_000, 60_000)]));
    cell.run(300);
    let usage = cell.engine.account_usage();
    let busy = usage.iter().find(|u| &*u.name == BUSY).unwrap();
    assert_eq!((busy.used.cpu_milli, busy.quota.cpu_milli), (6_000, 40_000));
}

/// Returns a cell in which each account has `guaranteed_jobs_per_s` guaranteed jobs per second and
/// no quota.
fn cell_with_guaranteed_rates(workers: usize, guaranteed_jobs_per_s: u32) -> TestCell {
    let mut cell = TestCell::new(workers);
    let account = |name| Account { guaranteed_jobs_per_s, ..account(name, 0) };
    cell.engine.set_accounts(&[account(BUSY), account(CALM)]);
    cell
}

// One account sends 6 times its usual load for 14 s into a nearly full cell. Of a burst, the jobs
// of 5 s at the guaranteed rate plus 20 are guaranteed; those beyond go behind all guaranteed jobs.
#[test]
fn jobs_beyond_the_guaranteed_rate_of_an_account_go_behind_those_of_others() {
    let mut cell = cell_with_guaranteed_rates(2, 10);
    // With a long slack all jobs are on time, so that they would run in the order of arrival.
    cell.set_queues(vec![Queue { slack: Millis(100_000), ..queue(LARGE, 1, None) }]);
    // Each job takes a worker for half a second, so four fit per second. One account submits 200 at
    // once, of which 70 are guaranteed; later the other account submits one every 1.2 s.
    for id in 1..=200 {
        cell.submit_for(BUSY, id, LARGE, job(vec![step(1, 16_000, 500)]));
    }
    assert_eq!(cell.engine.stats().unowed, 130);
    cell.run(18_000);
    for id in 1_000..1_010 {
        cell.submit_for(CALM, id, LARGE, job(vec![step(1, 16_000, 500)]));
        cell.run(1_200);
        assert_eq!(cell.state(id), Some(JobState::Completed), "job {id} has not completed");
    }
    // The jobs beyond the guaranteed rate run too.
    cell.run(30_000);
    assert!((1..=200).all(|id| cell.state(id) == Some(JobState::Completed)));
}

#[test]
fn accounts_within_their_guaranteed_rates_have_no_jobs_beyond_them() {
    let mut cell = cell_with_guaranteed_rates(8, 10);
    for id in 1..=100 {
        cell.submit_for(
            if id % 2 == 0 { BUSY } else { CALM },
            id,
            QUICK,
            job(vec![step(1, 1_000, 50)]),
        );
        cell.run(50);
    }
    assert_eq!(cell.engine.stats().unowed, 0);
}

#[test]
fn an_account_without_a_limit_on_guaranteed_jobs_has_no_jobs_beyond_it() {
    let mut cell = cell_with_guaranteed_rates(2, 0);
    for id in 1..=200 {
        cell.submit_for(BUSY, id, LARGE, job(vec![step(1, 1_000, 50)]));
    }
    assert_eq!(cell.engine.stats().unowed, 0);
}
