//! Checks invariants: compares what runs on the workers with the answers to callers.

use super::worker::FakeWorker;
use hollowford_core::prelude::*;
use hollowford_engine::{FinalAnswer, Outcome, TaskEnd};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub struct InvariantChecker {
    /// Number of starts of each task over all attempts.
    starts: BTreeMap<(RequestNo, u32), u32>,
    done: BTreeSet<(RequestNo, u32)>,
    /// Specifications by request number.
    specs: BTreeMap<RequestNo, Spec>,
    /// Specifications by request key.
    submitted_specs: BTreeMap<RequestKey, Spec>,
    /// Durable final answers.
    answers: BTreeMap<RequestKey, FinalAnswer>,
    /// All numbers that a key has had.
    numbers: BTreeMap<RequestKey, BTreeSet<RequestNo>>,
    /// Starts sent to a worker that the owner knew to be leaving.
    starts_while_leaving: u32,
}

impl InvariantChecker {
    pub fn record_submitted(&mut self, key: &RequestKey, spec: &Spec) {
        self.submitted_specs.insert(key.clone(), spec.clone());
    }

    pub fn started(&mut self, task: &TaskId, spec: &Spec) {
        *self.starts.entry((task.request, task.index)).or_insert(0) += 1;
        self.specs.insert(task.request, spec.clone());
    }

    pub fn ended(&mut self, task: &TaskId, end: &TaskEnd) {
        if matches!(end, TaskEnd::Done(_)) {
            self.done.insert((task.request, task.index));
        }
    }

    pub fn start_sent(&mut self, worker_known_to_leave: bool) {
        self.starts_while_leaving += u32::from(worker_known_to_leave);
    }

    pub fn answered(&mut self, key: &RequestKey, answer: &FinalAnswer) {
        if let Some(before) = self.answers.get(key) {
            assert_eq!(before, answer, "{key}: the final answer changed");
        }
        self.answers.insert(key.clone(), answer.clone());
    }

    /// Returns the specification that was submitted with a key.
    pub fn spec_of(&self, key: &RequestKey) -> Option<Spec> {
        self.submitted_specs.get(key).cloned()
    }

    pub fn answers(&self) -> usize {
        self.answers.len()
    }

    pub fn starts_of(&self, no: RequestNo) -> u32 {
        self.starts.iter().filter(|((r, _), _)| *r == no).map(|(_, n)| n).sum()
    }

    /// Records a number of a key. A repeated request may have another one after a takeover.
    pub fn record_number(&mut self, key: &RequestKey, no: RequestNo) {
        self.numbers.entry(key.clone()).or_default().insert(no);
    }

    pub fn check(&self, workers: &BTreeMap<InstanceId, FakeWorker>, now: Millis) {
        self.check_capacity(workers);
        self.check_no_duplicate_runs(workers, now);
        for ((no, index), n) in &self.starts {
            let repeatable = self.specs[no].repeatable;
            assert!(repeatable || *n == 1, "{no:?}/{index} was started {n} times");
        }
        self.check_answers();
        assert_eq!(
            self.starts_while_leaving, 0,
            "a start was sent to a worker known to be leaving"
        );
    }

    fn check_capacity(&self, workers: &BTreeMap<InstanceId, FakeWorker>) {
        for (id, w) in workers {
            let add = |a: Resources, r: &super::worker::Running| a.plus(&r.spec.per_task);
            let used = w.running.values().fold(Resources::default(), add);
            assert!(used.fits(&w.capacity), "{id} holds {used:?} of {:?}", w.capacity);
        }
    }

    /// Returns the key of a request. The number may be an earlier one: a request that its caller
    /// repeats after a takeover may get another.
    fn key_of(&self, no: RequestNo) -> Option<&RequestKey> {
        self.numbers.iter().find(|(_, numbers)| numbers.contains(&no)).map(|(key, _)| key)
    }

    fn check_no_duplicate_runs(&self, workers: &BTreeMap<InstanceId, FakeWorker>, now: Millis) {
        let mut places: BTreeMap<(Option<&RequestKey>, u32), &InstanceId> = BTreeMap::new();
        for (id, w) in workers {
            // A task with an expired lease on a frozen worker is not running.
            let live = w.running.iter().filter(|(_, r)| r.lease_until > w.clock(now));
            for (task, _) in live {
                let before = places.insert((self.key_of(task.request), task.index), id);
                assert_eq!(before, None, "{task:?} runs on {id} and on another worker");
            }
        }
    }

    fn check_answers(&self) {
        for (key, answer) in &self.answers {
            let spec = &self.submitted_specs[key];
            let numbers = self.numbers.get(key).cloned().unwrap_or_default();
            let starts: u32 = numbers.iter().map(|no| self.starts_of(*no)).sum();
            let not_run = answer.outcome == Outcome::NotRun
                || (answer.outcome == Outcome::Cancelled && !answer.had_begun);
            assert!(
                !not_run || starts == 0,
                "{key} was answered as not run, but has run: {answer:?}"
            );
            if answer.outcome == Outcome::Done {
                let done = |no: &RequestNo| (0..spec.tasks).all(|i| self.done.contains(&(*no, i)));
                assert!(numbers.iter().any(done), "{key} was answered as done, but is not done");
            }
        }
    }
}
