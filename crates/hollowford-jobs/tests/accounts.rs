//! Quotas of client accounts, counted over all that an account may have running.
//!
//! The pattern: a full cell of the users has 20 accounts, a few of them large, whose quota is some
//! two times what they use on average (the site's sheet); one sends 5 to 7 times its usual, and a
//! quota is lowered below what runs. The judge counts what the workers run, at every step.

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

/// A cell in which both accounts may hold so many cores.
fn cell(workers: usize, cores: u64) -> Cell {
    let mut cell = Cell::new(workers);
    cell.engine.set_accounts(&[account(BUSY, cores), account(CALM, cores)]);
    cell
}

/// Returns how many thousandths of a core each account's tasks take on the workers.
fn held(cell: &Cell) -> BTreeMap<String, u64> {
    let mut out = BTreeMap::new();
    for w in cell.workers.iter().filter(|w| w.up) {
        for task in w.running.keys() {
            let spec = &cell.specs[&task.step.job].steps[task.step.step as usize];
            let account = cell.account_of[&task.step.job].clone();
            *out.entry(account).or_default() += u64::from(spec.allocation().cpu_milli);
        }
    }
    out
}

/// Lets time pass, and panics when an account holds more than `cores`. Returns the most that the
/// busy one held.
fn run_judged(cell: &mut Cell, ms: u64, cores: u64) -> u64 {
    let mut most = 0;
    for _ in 0..ms / 5 {
        cell.run(5);
        for (account, milli) in held(cell) {
            assert!(milli <= cores * 1_000, "{account} holds {milli} of {cores} cores");
            if account == BUSY {
                most = most.max(milli);
            }
        }
    }
    most
}

#[test]
fn an_account_holds_no_more_than_its_quota_and_uses_all_of_it() {
    let mut cell = cell(8, 40);
    for id in 1..=20 {
        cell.submit_for(BUSY, id, QUICK, job(vec![step(5, 2_000, 300)]));
    }
    assert_eq!(run_judged(&mut cell, 3_000, 40), 40_000);
    assert!((1..=20).all(|id| cell.state(id) == Some(JobState::Completed)));
}

#[test]
fn work_that_a_quota_holds_back_holds_up_no_other_account() {
    let mut cell = cell(8, 40);
    cell.submit_for(BUSY, 1, QUICK, job(vec![step(100, 2_000, 60_000)]));
    cell.run(200);
    cell.submit_for(CALM, 2, QUICK, job(vec![step(20, 2_000, 200)]));
    run_judged(&mut cell, 400, 40);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}

#[test]
fn what_is_being_stopped_counts_until_its_end_is_listed() {
    let mut cell = cell(8, 40);
    cell.submit_for(BUSY, 1, QUICK, job(vec![step(20, 2_000, 60_000)]));
    cell.run(200);
    cell.workers.iter_mut().for_each(|w| w.stop_takes = 300);
    cell.engine.cancel(JobId(1), cell.now);
    cell.submit_for(BUSY, 2, QUICK, job(vec![step(20, 2_000, 60_000)]));
    run_judged(&mut cell, 2_000, 40);
    assert_eq!(held(&cell)[BUSY], 40_000);
}

#[test]
fn a_quota_that_is_lowered_below_what_runs_stops_new_starts_at_once() {
    let mut cell = cell(8, 40);
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
    let mut cell = cell(8, 40);
    for id in 1..=10 {
        cell.submit_for(BUSY, id, LARGE, job(vec![step(10, 2_000, 1_500)]));
    }
    run_judged(&mut cell, 300, 40);
    for round in 0..4 {
        // Only what an earlier owner accepted waits for the silent worker.
        cell.submit_for(BUSY, 100 + round as u64, LARGE, job(vec![step(20, 2_000, 500)]));
        // One worker that holds tasks is out of reach while the next owner claims the others.
        cell.workers[round].reachable = false;
        cell.take_over();
        cell.engine.set_accounts(&[account(BUSY, 40), account(CALM, 40)]);
        cell.submit_for(BUSY, 200 + round as u64, LARGE, job(vec![step(20, 2_000, 500)]));
        run_judged(&mut cell, 700, 40);
        cell.workers[round].reachable = true;
        run_judged(&mut cell, 300, 40);
    }
    run_judged(&mut cell, 9_000, 40);
    assert!((1..=10).all(|id| cell.state(id) == Some(JobState::Completed)));
}

#[test]
fn a_gang_gets_its_part_of_the_quota_though_small_tasks_of_its_account_keep_coming() {
    let mut cell = cell(8, 40);
    for id in 1..=20 {
        cell.submit_for(BUSY, id, LARGE, job(vec![step(1, 2_000, 400 + id * 20)]));
    }
    cell.run(200);
    let gang = RawStep { gang: true, ..step(18, 2_000, 300) };
    cell.submit_for(BUSY, 100, LARGE, job(vec![gang]));
    for id in 200..400 {
        cell.submit_for(BUSY, id, LARGE, job(vec![step(1, 2_000, 400)]));
        run_judged(&mut cell, 20, 40);
    }
    assert_eq!(cell.state(100), Some(JobState::Completed));
}

#[parameterized(
    open = { 60_000 },
    ended = { 50 },
)]
fn a_job_is_told_of_to_its_own_account_only_also_after_a_takeover(ms: u64) {
    let mut cell = cell(1, 16);
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
fn a_job_of_a_version_without_accounts_is_anybodys() {
    let mut cell = cell(1, 16);
    cell.submit(1, QUICK, job(vec![step(1, 1_000, 60_000)]));
    cell.run(100);
    assert!(cell.engine.may_access(JobId(1), CALM));
}

#[test]
fn an_account_that_leaves_the_configuration_keeps_its_accepted_work_and_its_quota() {
    let mut cell = cell(8, 40);
    cell.submit_for(BUSY, 1, QUICK, job(vec![step(30, 2_000, 300)]));
    cell.run(100);
    cell.engine.set_accounts(&[account(CALM, 40)]);
    run_judged(&mut cell, 1_500, 40);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

#[test]
fn what_an_account_holds_is_told() {
    let mut cell = cell(8, 40);
    cell.submit_for(BUSY, 1, QUICK, job(vec![step(3, 2_000, 60_000)]));
    cell.run(300);
    let uses = cell.engine.account_usage();
    let busy = uses.iter().find(|u| &*u.name == BUSY).unwrap();
    assert_eq!((busy.used.cpu_milli, busy.quota.cpu_milli), (6_000, 40_000));
}

/// Makes a cell in which each account is owed so many jobs a second, and has no quota.
fn owing_cell(workers: usize, guaranteed_jobs_per_s: u32) -> Cell {
    let mut cell = Cell::new(workers);
    let account = |name| Account { guaranteed_jobs_per_s, ..account(name, 0) };
    cell.engine.set_accounts(&[account(BUSY), account(CALM)]);
    cell
}

// The pattern: one account sends 6 times its usual for 14 s in a cell that is nearly full, as on the
// day quota-lowered. Jobs beyond what an account is owed for 5 s, and 20 more, go behind what is owed.
#[test]
fn what_a_noisy_account_sends_beyond_what_it_is_owed_goes_behind_the_others_work() {
    let mut cell = owing_cell(2, 10);
    // All are in time for long, so that the first that came would go first.
    cell.set_queues(vec![Queue { slack: Millis(100_000), ..queue(LARGE, 1, None) }]);
    // Each job takes a worker for half a second: four a second fit. 200 come at once, 70 of them
    // owed, and then one a second of the other account.
    for id in 1..=200 {
        cell.submit_for(BUSY, id, LARGE, job(vec![step(1, 16_000, 500)]));
    }
    assert_eq!(cell.engine.stats().unowed, 130);
    cell.run(18_000);
    for id in 1_000..1_010 {
        cell.submit_for(CALM, id, LARGE, job(vec![step(1, 16_000, 500)]));
        cell.run(1_200);
        assert_eq!(cell.state(id), Some(JobState::Completed), "job {id} waits");
    }
    // What is not owed is kept all the same, and runs.
    cell.run(30_000);
    assert!((1..=200).all(|id| cell.state(id) == Some(JobState::Completed)));
}

#[test]
fn accounts_within_what_they_are_owed_are_served_as_if_nothing_were_counted() {
    let mut cell = owing_cell(8, 10);
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
fn an_account_without_a_bound_is_owed_all() {
    let mut cell = owing_cell(2, 0);
    for id in 1..=200 {
        cell.submit_for(BUSY, id, LARGE, job(vec![step(1, 1_000, 50)]));
    }
    assert_eq!(cell.engine.stats().unowed, 0);
}
