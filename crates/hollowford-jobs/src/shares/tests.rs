use super::contention::Contention;
use super::pool::PoolShares;
use super::usage::Usage;
use hollowford_core::{Millis, Resources, Totals};

const TASK: Resources = Resources { cpu_milli: 10_000, memory_mib: 1_000, accelerators: 0 };
const CAPACITY: Totals = Totals { cpu_milli: 100_000, memory_mib: 100_000, accelerators: 0 };

// A step that lacks capacity for a single pass, or a pause between two such steps, must not change
// the order.
#[test]
fn contention_follows_only_lasting_findings() {
    let mut contention = Contention::default();
    assert!(!contention.record(true, Millis(1_000)));
    assert!(!contention.record(false, Millis(1_100)));
    assert!(!contention.record(true, Millis(1_200)));
    assert!(contention.record(true, Millis(1_400)));
    assert!(!contention.record(false, Millis(1_500)));
    assert!(!contention.record(true, Millis(3_400)));
    assert!(!contention.record(false, Millis(3_500)));
    assert!(contention.is_full());
    assert!(contention.record(false, Millis(5_500)));
    assert!(!contention.is_full());
}

// Without memory, an account whose short tasks have just ended would count as one that got nothing.
#[test]
fn served_resources_are_remembered_for_some_seconds() {
    let mut usage = Usage::default();
    usage.current = Totals::of(&TASK, 5);
    usage.update_served(Millis(60_000));
    assert!(usage.served_share(&CAPACITY) > 0.49);
    usage.current = Totals::default();
    usage.update_served(Millis(4_000));
    let share = usage.served_share(&CAPACITY);
    assert!((0.3..0.4).contains(&share), "{share}");
    usage.update_served(Millis(60_000));
    assert!(usage.served_share(&CAPACITY) < 0.01);
}

// A run that is lost with its worker has served its account nothing.
#[test]
fn a_refund_takes_back_what_a_lost_run_has_added() {
    let mut usage = Usage::default();
    usage.current = Totals::of(&TASK, 1);
    for _ in 0..20 {
        usage.update_served(Millis(100));
    }
    assert!(usage.served_share(&CAPACITY) > 0.01);
    usage.refund(&TASK, Millis(2_000));
    assert!(usage.served_share(&CAPACITY) < 1e-9);
}

/// Ends a count in which account 0 holds `tasks` tasks of the pool's 10, and returns its position.
fn count(pool: &mut PoolShares, tasks: u32, weights: &[u32], now: Millis) -> u8 {
    pool.begin_count();
    pool.add_capacity(&Resources::new(100_000, 100_000, 0));
    (0..tasks).for_each(|_| pool.add_usage(0, &TASK));
    pool.end_count(weights, now);
    pool.position(0)
}

#[test]
fn positions_follow_the_weighted_share_in_coarse_classes_while_the_pool_is_full() {
    let mut pool = PoolShares::default();
    assert_eq!(count(&mut pool, 10, &[1, 1, 1, 1], Millis(0)), 0);
    assert_eq!(count(&mut pool, 10, &[1, 1, 1, 1], Millis(60_000)), 0, "the pool isn't full");
    pool.record_contention(true, Millis(60_000));
    assert!(pool.record_contention(true, Millis(61_000)));
    // All of a pool that is to be shared by four is four times the account's share.
    assert_eq!(count(&mut pool, 10, &[1, 1, 1, 1], Millis(62_000)), 2);
    // With five of eight parts it is within its share.
    assert_eq!(count(&mut pool, 6, &[5, 1, 1, 0], Millis(120_000)), 0);
    // An unknown account has weight 1.
    assert_eq!(count(&mut pool, 8, &[0, 1], Millis(180_000)), 1);
}

#[test]
fn an_account_at_the_bound_of_a_position_keeps_it() {
    let mut pool = PoolShares::default();
    pool.record_contention(true, Millis(0));
    pool.record_contention(true, Millis(1_000));
    let weights = [1, 1, 1, 1];
    count(&mut pool, 4, &weights, Millis(2_000));
    assert_eq!(count(&mut pool, 4, &weights, Millis(100_000)), 1);
    // 1.4 times its share: below the bound of 1.5, but not by enough.
    let pause = Millis(100_000);
    pool.begin_count();
    pool.add_capacity(&Resources::new(100_000, 100_000, 0));
    pool.add_usage(0, &Resources::new(35_000, 0, 0));
    pool.end_count(&weights, Millis(100_000) + pause);
    assert_eq!(pool.position(0), 1);
    assert_eq!(count(&mut pool, 2, &weights, Millis(300_000)), 0);
}
