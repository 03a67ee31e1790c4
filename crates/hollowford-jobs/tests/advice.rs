//! Calls to the advice service.

mod common;

use common::*;
use hollowford_core::Millis;
use hollowford_jobs::*;

fn queues_with_advice(base_ms: f64, per_worker_ms: f64) -> Vec<Queue> {
    let cost = AdviceCost { base_ms, per_worker_ms, ticket_validity: Millis(2_000) };
    vec![queue(QUICK, 0, Some(cost)), queue(LARGE, 1, Some(cost))]
}

fn advice_channels(names: &[&str]) -> Vec<AdviceChannel> {
    names.iter().map(|n| AdviceChannel { address: (*n).into() }).collect()
}

#[test]
fn a_step_runs_only_where_advice_allows() {
    let mut cell = TestCell::new(3);
    cell.set_queues(queues_with_advice(5.0, 0.1));
    cell.excluded_workers.insert("w0".into());
    cell.excluded_workers.insert("w2".into());
    cell.submit(1, QUICK, job(vec![step(8, 1_000, 200)]));
    cell.run(1_000);
    assert_eq!(cell.state(1), Some(JobState::Completed));
    assert_eq!(cell.workers[1].starts, 8);
}

#[test]
fn an_instance_that_never_answers_does_not_block_a_step() {
    for base_ms in [5.0, 50.0, 500.0] {
        let mut cell = TestCell::new(3);
        cell.set_queues(queues_with_advice(base_ms, 0.1));
        cell.engine.set_advice_channels(&advice_channels(&["", "a", "b", "gone"]));
        cell.unresponsive_instances.insert("gone".to_owned());
        cell.unresponsive_instances.insert("b".to_owned());
        cell.submit(1, LARGE, job(vec![step(2, 1_000, 100)]));
        cell.run(8_000);
        assert_eq!(cell.state(1), Some(JobState::Completed), "with calls of {base_ms} ms");
    }
}

#[test]
fn another_instance_repeats_the_call_of_one_that_left() {
    let mut cell = TestCell::new(3);
    cell.set_queues(queues_with_advice(50.0, 0.1));
    cell.engine.set_advice_channels(&advice_channels(&["", "gone"]));
    cell.unresponsive_instances.insert("gone".to_owned());
    cell.submit(1, LARGE, job(vec![step(2, 1_000, 100)]));
    cell.run(50);
    cell.engine.set_advice_channels(&advice_channels(&[""]));
    cell.run(300);
    assert_eq!(cell.state(1), Some(JobState::Completed));
}

/// Returns the number of workers that each advice call has named.
fn named_workers(cell: &TestCell) -> Vec<usize> {
    let count = |order: &Order| match order {
        Order::Advice { workers, .. } => Some(workers.len()),
        Order::Worker { .. } => None,
    };
    cell.executed_orders.iter().filter_map(count).collect()
}

#[test]
fn the_first_call_names_full_workers_if_that_is_cheap() {
    for (per_worker_ms, first) in [(10.0, 3), (100.0, 1)] {
        let mut cell = TestCell::new(3);
        cell.submit(1, LARGE, job(vec![step(2, 16_000, 60_000)]));
        cell.run(50);
        cell.set_queues(queues_with_advice(100.0, per_worker_ms));
        cell.submit(2, LARGE, job(vec![step(1, 8_000, 100)]));
        cell.run(50);
        assert_eq!(named_workers(&cell), [first], "at {per_worker_ms} ms per worker");
    }
}

#[test]
fn a_large_task_keeps_its_reservation_while_its_ticket_is_renewed() {
    let mut cell = TestCell::new(2);
    let slow = AdviceCost { base_ms: 400.0, per_worker_ms: 1.0, ticket_validity: Millis(300) };
    cell.set_queues(vec![queue(QUICK, 0, None), queue(LARGE, 1, Some(slow))]);
    cell.excluded_workers.insert("w1".into());
    cell.submit(1, QUICK, job(vec![step(1, 16_000, 1_000)]));
    cell.run(50);
    let on_first = !cell.workers[0].running.is_empty();
    cell.excluded_workers = [if on_first { "w1" } else { "w0" }.into()].into();
    // The job may run only on the full worker, and its ticket lapses before that worker is free.
    cell.submit(2, LARGE, job(vec![step(1, 12_000, 500)]));
    for i in 10..100 {
        cell.submit(i, LARGE, job(vec![step(1, 6_000, 100)]));
        cell.run(20);
    }
    cell.run(1_000);
    assert_eq!(cell.state(2), Some(JobState::Completed));
}
