//! Calls for placement advice.

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

fn advised(base_ms: f64, per_worker_ms: f64) -> Vec<Queue> {
    let cost = AdviceCost { base_ms, per_worker_ms, ticket_validity: Millis(2_000) };
    vec![queue(QUICK, 0, Some(cost)), queue(LARGE, 1, Some(cost))]
}

fn seats(names: &[&str]) -> Vec<AdviceChannel> {
    names.iter().map(|n| AdviceChannel { address: (*n).into() }).collect()
}

#[test]
fn a_step_runs_only_where_advice_lets_it() {
    let mut cell = Cell::new(3);
    cell.set_queues(advised(5.0, 0.1));
    cell.barred.insert("w0".into());
    cell.barred.insert("w2".into());
    cell.submit(1, QUICK, job(vec![step(8, 1_000, 200)]));
    cell.run(1_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.workers[1].starts, 8);
}

#[test]
fn an_instance_that_never_answers_is_not_asked_again_and_again() {
    for decide_ms in [5.0, 50.0, 500.0] {
        let mut cell = Cell::new(3);
        cell.set_queues(advised(decide_ms, 0.1));
        cell.engine.set_advice_channels(&seats(&["", "a", "b", "gone"]));
        cell.dead_seats.insert("gone".to_owned());
        cell.dead_seats.insert("b".to_owned());
        cell.submit(1, LARGE, job(vec![step(2, 1_000, 100)]));
        cell.run(8_000);
        assert_eq!(cell.state(1), Some(JobState::Completed), "call of {decide_ms} ms");
    }
}

#[test]
fn a_call_of_an_instance_that_left_is_made_by_another() {
    let mut cell = Cell::new(3);
    cell.set_queues(advised(50.0, 0.1));
    cell.engine.set_advice_channels(&seats(&["", "gone"]));
    cell.dead_seats.insert("gone".to_owned());
    cell.submit(1, LARGE, job(vec![step(2, 1_000, 100)]));
    cell.run(50);
    cell.engine.set_advice_channels(&seats(&[""]));
    cell.run(300);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

/// Returns how many workers each call for advice has named.
fn named(cell: &Cell) -> Vec<usize> {
    let count = |order: &Order| match order {
        Order::Advice { workers, .. } => Some(workers.len()),
        Order::Worker { .. } => None,
    };
    cell.log.iter().filter_map(count).collect()
}

#[test]
fn the_first_call_names_full_workers_too_where_that_costs_little() {
    for (per_worker_ms, first) in [(10.0, 3), (100.0, 1)] {
        let mut cell = Cell::new(3);
        cell.submit(1, LARGE, job(vec![step(2, 16_000, 60_000)]));
        cell.run(50);
        cell.set_queues(advised(100.0, per_worker_ms));
        cell.submit(2, LARGE, job(vec![step(1, 8_000, 100)]));
        cell.run(50);
        assert_eq!(named(&cell), [first], "at {per_worker_ms} ms for each worker");
    }
}

#[test]
fn a_large_task_keeps_the_room_for_which_its_ticket_is_renewed() {
    let mut cell = Cell::new(2);
    let slow = AdviceCost { base_ms: 400.0, per_worker_ms: 1.0, ticket_validity: Millis(300) };
    cell.set_queues(vec![queue(QUICK, 0, None), queue(LARGE, 1, Some(slow))]);
    cell.barred.insert("w1".into());
    cell.submit(1, QUICK, job(vec![step(1, 16_000, 1_000)]));
    cell.run(50);
    let on_first = !cell.workers[0].running.is_empty();
    cell.barred = [if on_first { "w1" } else { "w0" }.into()].into();
    // It may run on the full worker only, and its ticket lapses before that has room.
    cell.submit(2, LARGE, job(vec![step(1, 12_000, 500)]));
    for i in 10..100 {
        cell.submit(i, LARGE, job(vec![step(1, 6_000, 100)]));
        cell.run(20);
    }
    cell.run(1_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}
