//! Random orders of events: what must always hold, checked after every one.
//!
//! The random numbers are proptest's deterministic ones, so every run is the same.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::{World, policy, spec};
use hollowford_core::Kind;
use hollowford_engine::Authority;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Cases in one run. The seed is proptest's fixed one for ChaCha.
const CASES: u32 = 400;
const WORKERS: usize = 4;

/// Something that happens.
#[derive(Clone, Debug)]
enum Op {
    Submit {
        kind: u8,
        tasks: u32,
        cpu: u32,
        run: u64,
        repeatable: bool,
        within: u64,
    },
    Cancel(usize),
    Pass(u64),
    Step,
    /// The newest owner loses its link to a worker.
    Cut(usize),
    /// Orders reach a worker, out of step with the others.
    Deliver(usize),
    Freeze(usize),
    Thaw(usize),
    Unreachable(usize),
    Reachable(usize),
    Restart(usize),
    Leave(usize),
    Unlist(usize),
    Stall(bool),
    /// Every member promises not to take over for so long.
    Promise(u64),
    /// A caller repeats a request.
    Repeat(usize),
    /// A new owner takes over; the old one goes on for as long as it can.
    Takeover,
    /// A new owner takes over while the old one is paused.
    TakeoverPaused,
    /// A paused owner wakes in the middle of a decision.
    WakeOld,
    /// Earlier owners try to claim a worker back.
    OldClaims(usize),
    /// The owner's lease lapses, and it may only renew.
    Lapse,
    Write,
}

fn op() -> impl Strategy<Value = Op> {
    let worker = 0..WORKERS;
    prop_oneof![
        6 => (0..4u8, 1..6u32, 1..5u32, 1..40u64, any::<bool>(), 0..4u64).prop_map(
            |(kind, tasks, cpu, run, repeatable, within)| Op::Submit {
                kind, tasks, cpu: cpu * 500, run: run * 50, repeatable, within: within * 500,
            }
        ),
        2 => (0..20usize).prop_map(Op::Cancel),
        6 => Just(Op::Step),
        3 => (1..60u64).prop_map(|n| Op::Pass(n * 50)),
        1 => (60..600u64).prop_map(|n| Op::Pass(n * 50)),
        2 => worker.clone().prop_map(Op::Cut),
        2 => worker.clone().prop_map(Op::Deliver),
        1 => worker.clone().prop_map(Op::Freeze),
        2 => worker.clone().prop_map(Op::Thaw),
        1 => worker.clone().prop_map(Op::Unreachable),
        2 => worker.clone().prop_map(Op::Reachable),
        1 => worker.clone().prop_map(Op::Restart),
        1 => worker.clone().prop_map(Op::Leave),
        1 => worker.clone().prop_map(Op::Unlist),
        1 => worker.prop_map(Op::OldClaims),
        2 => any::<bool>().prop_map(Op::Stall),
        3 => (10..100u64).prop_map(|n| Op::Promise(n * 50)),
        2 => (0..20usize).prop_map(Op::Repeat),
        1 => Just(Op::Takeover),
        1 => Just(Op::TakeoverPaused),
        2 => Just(Op::WakeOld),
        1 => Just(Op::Lapse),
        3 => Just(Op::Write),
    ]
}

struct Run {
    world: World,
    submitted: usize,
}

impl Run {
    fn new() -> Run {
        Run { world: World::new(policy(), WORKERS), submitted: 0 }
    }

    fn newest(&self) -> usize {
        self.world.owners.len() - 1
    }

    fn apply(&mut self, op: &Op) {
        let newest = self.newest();
        let world = &mut self.world;
        match op {
            Op::Submit { kind, tasks, cpu, run, repeatable, within } => {
                let kind = Kind::ALL[*kind as usize];
                let mut s = spec(kind, *tasks, *cpu, *run);
                s.repeatable = *repeatable || kind == Kind::Service;
                s.run_time_ms = if kind == Kind::Service { 0 } else { *run };
                s.start_within_ms = *within;
                // A refusal is an answer.
                let _ = world.submit(&format!("r{}", self.submitted), &s);
                self.submitted += 1;
            }
            Op::Cancel(i) => world.cancel(&format!("r{i}")),
            Op::Pass(ms) => world.run(*ms),
            Op::Step => world.step(),
            Op::Cut(i) => {
                let id = world.worker_id(*i);
                world.cut(newest, &id);
            }
            Op::Deliver(i) => {
                let id = world.worker_id(*i);
                world.decide(newest);
                world.deliver(newest, &id);
            }
            Op::Freeze(i) => self.with_worker(*i, |w| w.frozen = true),
            Op::Thaw(i) => self.with_worker(*i, |w| w.frozen = false),
            Op::Unreachable(i) => self.with_worker(*i, |w| w.unreachable = true),
            Op::Reachable(i) => self.with_worker(*i, |w| w.unreachable = false),
            Op::Restart(i) => {
                let id = world.worker_id(*i);
                let worker = world.workers.get_mut(&id).unwrap();
                worker.restart(&mut world.judge);
            }
            Op::Leave(i) => self.with_worker(*i, |w| w.leaving = true),
            Op::Unlist(i) => self.with_worker(*i, |w| w.unlisted = !w.unlisted),
            Op::Stall(on) => world.stalled = *on,
            Op::Promise(ms) => world.promise(*ms),
            Op::Repeat(i) => {
                let id = format!("r{i}");
                if let Some(spec) = world.judge.spec_of(&common::key(&id)) {
                    // A refusal is an answer.
                    let _ = world.submit(&id, &spec);
                }
            }
            // Members keep their promises.
            Op::Takeover | Op::TakeoverPaused if world.now < world.no_takeover_until => {}
            Op::Takeover => world.takeover(),
            Op::TakeoverPaused => {
                world.owners[newest].paused = true;
                world.takeover();
            }
            Op::WakeOld => {
                for i in 0..newest {
                    // One that was paused right after it had read its lease goes on
                    // by it, once.
                    match std::mem::take(&mut world.owners[i].paused) {
                        true => world.decide_as(i, Authority::Full),
                        false => world.decide(i),
                    }
                    for n in 0..WORKERS {
                        let id = world.worker_id(n);
                        world.deliver(i, &id);
                    }
                }
            }
            Op::OldClaims(n) => {
                let id = world.worker_id(*n);
                for i in 0..newest {
                    world.cut(i, &id);
                    world.claim(i, &id);
                }
            }
            Op::Lapse => world.owners[newest].authority = Authority::RenewOnly,
            Op::Write => {
                world.decide(newest);
                world.write_ledger(newest);
                world.decide(newest);
            }
        }
        self.world.check();
    }

    fn with_worker(&mut self, i: usize, f: impl FnOnce(&mut common::worker::FakeWorker)) {
        let id = self.world.worker_id(i);
        f(self.world.workers.get_mut(&id).unwrap());
    }

    /// Mends everything. Then every request must get its answer.
    fn heal(&mut self) {
        self.world.stalled = false;
        self.world.now = self.world.now.max(self.world.no_takeover_until);
        for w in self.world.workers.values_mut() {
            w.frozen = false;
            w.unreachable = false;
            w.unlisted = false;
            w.leaving = false;
        }
        self.world.takeover();
        for i in 0..self.submitted {
            let id = format!("r{i}");
            let service = self.world.running(&id) > 0 && self.world.answer(&id).is_none();
            if service {
                self.world.cancel(&id);
            }
        }
        self.world.run(90_000);
        for i in 0..self.submitted {
            self.world.cancel(&format!("r{i}"));
        }
        self.world.run(5_000);
        let (_, open) = self.world.engine().requests();
        assert_eq!(open, 0, "requests without an answer");
    }
}

#[test]
fn what_must_hold_holds_under_any_order_of_events() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    println!("{CASES} cases, proptest's deterministic ChaCha seed");
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = prop::collection::vec(op(), 1..80);
    let result = runner.run(&ops, |ops| {
        let mut run = Run::new();
        for op in &ops {
            run.apply(op);
        }
        run.heal();
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}
