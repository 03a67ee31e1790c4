//! Encoding and decoding of delegated calls and their outcomes.
#![allow(clippy::expect_used)]

use crate::delegate_wire::{Delegated, Outcome};
use hollowford_adapter::WorkerAnswer;
use hollowford_core::Millis;
use hollowford_jobs::{
    End, EndKind, Incarnation, JobId, Look, LookAnswer, Running, StartAnswer, StepKey, TaskKey,
    WorkerCall, WorkerLife,
};
use prost::Message;
use std::sync::Arc;

fn task(index: u32) -> TaskKey {
    StepKey { job: JobId(7), round: 1, step: 2 }.task(index)
}

fn start(index: u32, template: &str) -> WorkerCall {
    WorkerCall::Start {
        worker: "w".into(),
        address: "10.0.0.1:1".into(),
        task: task(index),
        run: 3,
        lease_until: 99,
        template: template.into(),
        saved: "s".into(),
        ticket: "t".into(),
    }
}

#[test]
fn calls_decode_to_what_was_encoded() {
    let (worker, address): (_, Arc<str>) = ("w".into(), "10.0.0.1:1".into());
    let calls = [
        start(0, "one"),
        start(1, "one"),
        WorkerCall::Stop { worker, address: address.clone(), task: task(1), run: 2 },
        start(2, "two"),
        WorkerCall::Pace {
            worker: WorkerLife::new("w".into(), Some(Incarnation(5))),
            address: address.clone(),
            task: task(1),
            run: 2,
            percent: 40,
        },
        WorkerCall::Look {
            worker: "w".into(),
            address,
            lease_until: None,
            acknowledged: 5,
            wait: Millis(700),
        },
    ];
    let mut frame = Delegated::new(4);
    for (id, call) in calls.iter().enumerate() {
        frame.add(id as u64, call, Millis(60));
    }
    let bytes = frame.encode_to_vec();
    let decoded = Delegated::decode(&bytes[..]).expect("a frame");
    assert_eq!(decoded.epoch, 4);
    assert_eq!(decoded.templates, ["one", "two"], "each template once");
    let templates: Vec<Arc<str>> = decoded.templates.iter().map(|t| t.as_str().into()).collect();
    let back: Vec<_> = decoded.calls.iter().map(|c| c.parse(&templates).expect("a call")).collect();
    assert_eq!(back, calls);
}

#[test]
fn a_start_without_its_template_is_an_error() {
    let mut frame = Delegated::new(4);
    frame.add(0, &start(0, "one"), Millis(60));
    assert!(frame.calls[0].parse(&[]).is_err());
    frame.calls[0].what = None;
    assert!(frame.calls[0].parse(&[]).is_err());
}

#[test]
fn outcomes_decode_to_what_was_encoded() {
    let kinds = [
        EndKind::Done,
        EndKind::Failed,
        EndKind::Stopped,
        EndKind::Lapsed,
        EndKind::Broken,
        EndKind::Alone,
    ];
    let end = |(i, kind): (usize, &EndKind)| End {
        number: i as u64,
        task: task(i as u32),
        run: 2,
        kind: *kind,
        saved: "c".into(),
    };
    let running = Running { task: task(9), run: 1, saved: "".into(), progress: 40, load: 2 };
    let ended = kinds.iter().enumerate().map(end).collect();
    let lists = LookAnswer::Lists(Look {
        incarnation: Some(Incarnation(3)),
        clock: 12,
        running: vec![running],
        ended,
        ends_cut: false,
    });
    let looks = [lists, LookAnswer::OtherLife, LookAnswer::Fenced, LookAnswer::Unanswered];
    let starts = [
        StartAnswer::Runs(5),
        StartAnswer::Fenced,
        StartAnswer::Old,
        StartAnswer::Late,
        StartAnswer::NoRoom,
        StartAnswer::Ticket,
        StartAnswer::Unhealthy,
        StartAnswer::OtherLife,
        StartAnswer::Invalid,
        StartAnswer::Unanswered,
    ];
    let all = looks.map(WorkerAnswer::Look).into_iter().chain(starts.map(WorkerAnswer::Start));
    for called in
        all.chain([WorkerAnswer::Stop(true), WorkerAnswer::Stop(false), WorkerAnswer::Pace(true)])
    {
        let bytes = Outcome::new(8, &called).encode_to_vec();
        let decoded = Outcome::decode(&bytes[..]).expect("an outcome");
        assert_eq!(decoded.id, 8);
        assert_eq!(decoded.parse().expect("content"), called);
    }
}

// Guards against an owner that takes the cut list of a member's call for the whole one.
#[test]
fn a_list_of_ends_that_is_cut_remains_so() {
    const MAX_ENDS: u64 = 500;
    let end = |number| End { number, task: task(1), run: 1, kind: EndKind::Done, saved: "".into() };
    for (count, ends_cut) in [(MAX_ENDS - 1, false), (MAX_ENDS, true)] {
        let ended = (1..=count).map(end).collect();
        let look = Look { ended, ends_cut, ..Look::default() };
        let answer = WorkerAnswer::Look(LookAnswer::Lists(look));
        let bytes = Outcome::new(8, &answer).encode_to_vec();
        let decoded = Outcome::decode(&bytes[..]).expect("an outcome");
        assert_eq!(decoded.parse().expect("content"), answer, "{count} ends");
    }
}
