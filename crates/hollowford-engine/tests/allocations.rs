//! Checks the number of memory allocations of a placement, which is deterministic.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::{Simulation, policy, spec};
use hollowford_core::Kind;
use hollowford_engine::{Action, Authority};

/// Maximum allocations for each placement in a pass that places many tasks.
const MAX_ALLOCATIONS_PER_PLACEMENT: u64 = 1;

#[test]
fn a_placement_makes_few_allocations() {
    let mut sim = Simulation::new(policy(), 50);
    for i in 0..20 {
        sim.submit(&format!("b-{i}"), &spec(Kind::Batch, 10, 1_000, 1_000)).unwrap();
    }
    let now = sim.now;
    let engine = sim.engine();
    let mut out = Vec::with_capacity(1_000);
    let info = allocation_counter::measure(|| {
        engine.decide(now, Authority::Full, &mut out);
    });
    let placed = out.iter().filter(|a| matches!(a, Action::Append { .. })).count() as u64;
    println!("{placed} placements, {} allocations", info.count_total);
    assert_eq!(placed, 200);
    assert!(info.count_total <= MAX_ALLOCATIONS_PER_PLACEMENT * placed, "{}", info.count_total);
}
