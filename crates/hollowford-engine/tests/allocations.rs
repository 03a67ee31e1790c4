//! Memory allocations of one decision: exact, so that they can be bounded.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::{World, policy, spec};
use hollowford_core::Kind;
use hollowford_engine::{Action, Authority};

/// Most allocations of one placement in a pass that places many.
const MOST_EACH: u64 = 1;

#[test]
fn a_placement_allocates_little() {
    let mut world = World::new(policy(), 50);
    for i in 0..20 {
        world.submit(&format!("b-{i}"), &spec(Kind::Batch, 10, 1_000, 1_000)).unwrap();
    }
    let now = world.now;
    let engine = world.engine();
    let mut out = Vec::with_capacity(1_000);
    let info = allocation_counter::measure(|| {
        engine.decide(now, Authority::Full, &mut out);
    });
    let placed = out.iter().filter(|a| matches!(a, Action::Append { .. })).count() as u64;
    println!("{placed} placements, {} allocations", info.count_total);
    assert_eq!(placed, 200);
    assert!(info.count_total <= MOST_EACH * placed, "{}", info.count_total);
}
