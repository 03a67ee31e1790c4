//! Shares of client accounts while the cell is full.
//!
//! The load (`common/account_load.rs`): 20 accounts, four of them large, weights by size, gangs of
//! about 20 tasks on 9 of 32 cores for 6 s, surveys of 25 tasks on 3.5 cores for 3.4 s, checks of 3
//! tasks on 5 cores for 1 s, 81% of the cell in use, and two accounts that send 6 times their usual
//! load for 6 s. Its variants have a longer burst within the guaranteed rates, a takeover in the
//! burst, or a quarter of the workers lost in the burst. Each is run with and without shares.
#![allow(clippy::expect_used)]

mod common;

use common::account_load::*;
use common::*;
use hollowford_accounts::AccountPolicy;
use hollowford_core::{Millis, Totals};
use hollowford_jobs::*;

const BUSY: &str = "busy";
const CALM: &str = "calm";

/// Runs a load without and with shares.
fn run_both(plan: LoadPlan) -> (AccountLoad, AccountLoad) {
    let run = |account_shares| run_account_load(LoadPlan { account_shares, ..plan });
    let (without, with) = (run(false), run(true));
    println!("{}\n{}", without.summary(), with.summary());
    (without, with)
}

// Ordering by share costs jobs their objectives where the order by latest start would meet all
// guaranteed ones: a small account is beyond its share with a single gang.
#[test]
fn a_burst_in_which_guaranteed_jobs_stay_in_time_changes_nothing() {
    let (without, with) = run_both(LoadPlan::usual(2, true));
    assert!(without.worst_accounts() >= 1.0, "{}", without.summary());
    assert_eq!(with.worst_accounts(), without.worst_accounts(), "{}", with.summary());
    assert_eq!(with.in_time(|_| true), without.in_time(|_| true), "{}", with.summary());
    assert_eq!(with.began, 0);
}

// Without shares, accounts that send their usual load miss objectives because of two others.
#[test]
fn accounts_with_their_usual_load_do_not_suffer_from_a_long_burst_of_others() {
    let usual = LoadPlan::usual(2, true);
    let (without, with) = run_both(LoadPlan { burst_ms: 14_000, guarantee: 8.0, ..usual });
    assert!(with.worst_steady_accounts() >= 0.9, "{}", with.summary());
    assert!(with.worst_steady_accounts() >= without.worst_steady_accounts() + 0.1);
    assert!(with.worst_accounts() >= without.worst_accounts() + 0.05);
    assert!(with.in_time(|_| true) >= without.in_time(|_| true) - 0.03, "{}", with.summary());
}

#[test]
fn accounts_with_their_usual_load_are_served_better_when_workers_are_lost_in_the_burst() {
    let failure = Failure::WorkersLost;
    let (without, with) = run_both(LoadPlan { failure, ..LoadPlan::usual(2, true) });
    assert!(with.worst_accounts() >= without.worst_accounts() + 0.05, "{}", with.summary());
    assert!(with.in_time(|_| true) >= without.in_time(|_| true) - 0.02, "{}", with.summary());
    // The order must not change from pass to pass.
    assert_eq!((with.began, with.ended), (1, 1));
}

#[test]
fn a_new_owner_orders_by_share_when_a_takeover_in_the_burst_makes_jobs_late() {
    let failure = Failure::Takeover;
    let (without, with) = run_both(LoadPlan { failure, ..LoadPlan::usual(2, true) });
    assert!(with.worst_steady_accounts() >= without.worst_steady_accounts(), "{}", with.summary());
    assert!(with.in_time(|_| true) >= without.in_time(|_| true) - 0.03, "{}", with.summary());
    assert_eq!((with.began, with.ended), (1, 1));
    assert_eq!(without.began, 0);
}

fn account(name: &str, guaranteed_jobs_per_s: u32, quota_cores: u64) -> Account {
    let quota = Totals { cpu_milli: quota_cores * 1_000, ..Totals::default() };
    let policy = AccountPolicy { quota, ..AccountPolicy::default() };
    Account { name: name.into(), policy, guaranteed_jobs_per_s }
}

/// Returns a cell of four workers for two accounts, whose jobs are all guaranteed. The busy one has
/// a tenth of the weight.
fn small_cell(account_shares: bool, quota_cores: u64) -> TestCell {
    let mut cell = TestCell::new(4);
    cell.engine.set_features(Features { account_shares, ..Features::default() });
    cell.engine.set_accounts(&[account(BUSY, 100, quota_cores), account(CALM, 900, quota_cores)]);
    cell
}

/// Submits twice as many jobs of the busy account as the cell can run in 250 ms, then runs it for
/// that long.
fn run_overloaded(cell: &mut TestCell, next_id: &mut u64) {
    for _ in 0..8 {
        cell.submit_for(BUSY, *next_id, LARGE, job(vec![step(1, 8_000, 500)]));
        *next_id += 1;
    }
    cell.run(250);
}

/// Returns the time in which a gang of the calm account completes while the busy one submits twice
/// as many small tasks as the cell can run. Its objective is 7 s.
fn gang_time(account_shares: bool) -> Option<Millis> {
    let (mut cell, mut next_id) = (small_cell(account_shares, 0), 1_000);
    for _ in 0..20 {
        run_overloaded(&mut cell, &mut next_id);
    }
    let submitted = cell.now;
    let gang = RawStep { gang: true, ..step(6, 8_000, 3_000) };
    cell.submit_for(CALM, 1, LARGE, job(vec![gang]));
    for _ in 0..60 {
        run_overloaded(&mut cell, &mut next_id);
        if cell.state(1) == Some(JobState::Completed) {
            return Some(cell.now.since(submitted));
        }
    }
    None
}

// By latest start alone, the gang starts only after most of its slack, since newer small tasks have
// earlier latest starts.
#[test]
fn a_gang_of_the_account_with_the_smallest_share_does_not_starve() {
    let (without, with) = (gang_time(false), gang_time(true));
    println!("{without:?} {with:?}");
    let with = with.expect("the gang should complete");
    assert!(with <= Millis(5_000), "the gang took {with:?}");
    assert!(without.is_none_or(|without| without >= with + Millis(1_000)), "{without:?}");
}

#[test]
fn quotas_are_exact_while_the_cell_is_shared() {
    let (mut cell, mut next_id) = (small_cell(true, 40), 1_000);
    let mut begun = false;
    for round in 0..40 {
        if round % 8 == 0 {
            let gang = RawStep { gang: true, ..step(4, 8_000, 1_000) };
            cell.submit_for(CALM, round + 1, LARGE, job(vec![gang]));
        }
        for _ in 0..8 {
            cell.submit_for(BUSY, next_id, LARGE, job(vec![step(1, 8_000, 500)]));
            next_id += 1;
        }
        for _ in 0..50 {
            cell.run(5);
            for name in [BUSY, CALM] {
                assert!(cores_milli(&cell, name) <= 40_000, "{name} exceeds its quota");
            }
        }
        let begins = |e: &Event| matches!(e, Event::AccountsFull { begins: true, .. });
        begun |= cell.engine.take_events().iter().any(begins);
    }
    assert!(begun, "the cell should be shared by weight");
}

/// Returns what an account's tasks take on the workers, in thousandths of a core.
fn cores_milli(cell: &TestCell, account: &str) -> u64 {
    let of_account = |t: &&TaskKey| cell.job_accounts[&t.step.job] == account;
    let tasks = cell.workers.iter().filter(|w| w.up).flat_map(|w| w.running.keys());
    let milli = |t: &TaskKey| {
        u64::from(cell.specs[&t.step.job].steps[t.step.step as usize].allocation().cpu_milli)
    };
    tasks.filter(of_account).map(milli).sum()
}

fn permille(cell: &TestCell, account: &str) -> u32 {
    let shares = cell.engine.account_shares();
    shares.iter().find(|s| &*s.name == account).map_or(0, |s| s.permille)
}

#[test]
fn an_account_is_not_charged_for_tasks_on_a_silent_worker() {
    let mut cell = small_cell(true, 0);
    cell.submit_for(BUSY, 1, LARGE, job(vec![step(4, 16_000, 60_000)]));
    cell.run(300);
    assert_eq!(permille(&cell, BUSY), 1_000);
    cell.workers[0].reachable = false;
    cell.run(1_500);
    // Three of four workers are left, and the account uses all of these.
    assert_eq!(permille(&cell, BUSY), 1_000);
    assert_eq!(permille(&cell, CALM), 0);
}

#[test]
fn nothing_is_counted_without_weights_or_with_the_switch_off() {
    let (mut unweighted, mut switched_off) = (small_cell(true, 0), small_cell(false, 0));
    unweighted.engine.set_accounts(&[account(BUSY, 0, 0), account(CALM, 0, 0)]);
    for cell in [&mut unweighted, &mut switched_off] {
        let mut next_id = 1_000;
        for _ in 0..20 {
            run_overloaded(cell, &mut next_id);
        }
        let events = cell.engine.take_events();
        assert!(!events.iter().any(|e| matches!(e, Event::AccountsFull { .. })));
        assert_eq!(permille(cell, BUSY), 0);
    }
    assert!(unweighted.engine.account_shares().is_empty());
}

#[test]
fn switching_the_shares_off_ends_the_order_by_share() {
    let (mut cell, mut next_id) = (small_cell(true, 0), 1_000);
    let mut changes = Vec::new();
    for round in 0..30 {
        if round == 20 {
            cell.engine.set_features(Features { account_shares: false, ..Features::default() });
        }
        run_overloaded(&mut cell, &mut next_id);
        for event in cell.engine.take_events() {
            if let Event::AccountsFull { begins, .. } = event {
                changes.push((round >= 20, begins));
            }
        }
    }
    assert_eq!(changes, [(false, true), (true, false)]);
}
