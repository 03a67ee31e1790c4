//! Applies random sequences of events and checks the invariants after each event.
//!
//! The random numbers come from the deterministic generator of proptest, so every run is
//! the same.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use common::{Simulation, policy, spec};
use hollowford_core::Kind;
use hollowford_engine::Authority;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of event sequences. The seed is the fixed one of proptest for ChaCha.
const CASES: u32 = 400;
const WORKERS: usize = 4;

/// An event in the simulation.
#[derive(Clone, Debug)]
enum Op {
    Submit {
        kind: u8,
        tasks: u32,
        cpu: u32,
        run: u64,
        repeatable: bool,
        start_within: u64,
    },
    Cancel(usize),
    RunFor(u64),
    Step,
    /// The session between the newest owner and a worker ends.
    Disconnect(usize),
    /// Orders reach one worker, and its reports reach the owner.
    Deliver(usize),
    Freeze(usize),
    Unfreeze(usize),
    Unreachable(usize),
    Reachable(usize),
    Restart(usize),
    Leave(usize),
    Unlist(usize),
    StallLedger(bool),
    /// Every member promises not to take over for a time in milliseconds.
    PromiseNoTakeover(u64),
    /// A caller submits an earlier request again.
    Resubmit(usize),
    /// A new owner takes over while the old one keeps running.
    Takeover,
    /// A new owner takes over while the old one is paused.
    TakeoverPaused,
    /// Paused owners resume in the middle of a decision; the other old owners decide.
    ResumeOldOwners,
    /// Earlier owners try to claim a worker again.
    ClaimByOldOwners(usize),
    /// The owner's lease expires, so that it may only renew task leases.
    ExpireOwnerLease,
    WriteLedger,
}

fn op() -> impl Strategy<Value = Op> {
    let worker = 0..WORKERS;
    prop_oneof![
        6 => (0..4u8, 1..6u32, 1..5u32, 1..40u64, any::<bool>(), 0..4u64).prop_map(
            |(kind, tasks, cpu, run, repeatable, start_within)| Op::Submit {
                kind, tasks, cpu: cpu * 500, run: run * 50, repeatable,
                start_within: start_within * 500,
            }
        ),
        2 => (0..20usize).prop_map(Op::Cancel),
        6 => Just(Op::Step),
        3 => (1..60u64).prop_map(|n| Op::RunFor(n * 50)),
        1 => (60..600u64).prop_map(|n| Op::RunFor(n * 50)),
        2 => worker.clone().prop_map(Op::Disconnect),
        2 => worker.clone().prop_map(Op::Deliver),
        1 => worker.clone().prop_map(Op::Freeze),
        2 => worker.clone().prop_map(Op::Unfreeze),
        1 => worker.clone().prop_map(Op::Unreachable),
        2 => worker.clone().prop_map(Op::Reachable),
        1 => worker.clone().prop_map(Op::Restart),
        1 => worker.clone().prop_map(Op::Leave),
        1 => worker.clone().prop_map(Op::Unlist),
        1 => worker.prop_map(Op::ClaimByOldOwners),
        2 => any::<bool>().prop_map(Op::StallLedger),
        3 => (10..100u64).prop_map(|n| Op::PromiseNoTakeover(n * 50)),
        2 => (0..20usize).prop_map(Op::Resubmit),
        1 => Just(Op::Takeover),
        1 => Just(Op::TakeoverPaused),
        2 => Just(Op::ResumeOldOwners),
        1 => Just(Op::ExpireOwnerLease),
        3 => Just(Op::WriteLedger),
    ]
}

struct Run {
    sim: Simulation,
    submitted: usize,
}

impl Run {
    fn new() -> Run {
        Run { sim: Simulation::new(policy(), WORKERS), submitted: 0 }
    }

    fn newest(&self) -> usize {
        self.sim.owners.len() - 1
    }

    fn apply(&mut self, op: &Op) {
        let newest = self.newest();
        let sim = &mut self.sim;
        match op {
            Op::Submit { kind, tasks, cpu, run, repeatable, start_within } => {
                let kind = Kind::ALL[*kind as usize];
                let mut s = spec(kind, *tasks, *cpu, *run);
                s.repeatable = *repeatable || kind == Kind::Service;
                s.run_time_ms = if kind == Kind::Service { 0 } else { *run };
                s.start_within_ms = *start_within;
                // The request may be refused.
                let _ = sim.submit(&format!("r{}", self.submitted), &s);
                self.submitted += 1;
            }
            Op::Cancel(i) => sim.cancel(&format!("r{i}")),
            Op::RunFor(ms) => sim.run(*ms),
            Op::Step => sim.step(),
            Op::Disconnect(i) => {
                let id = sim.worker_id(*i);
                sim.disconnect(newest, &id);
            }
            Op::Deliver(i) => {
                let id = sim.worker_id(*i);
                sim.decide(newest);
                sim.deliver(newest, &id);
            }
            Op::Freeze(i) => self.with_worker(*i, |w| w.frozen = true),
            Op::Unfreeze(i) => self.with_worker(*i, |w| w.frozen = false),
            Op::Unreachable(i) => self.with_worker(*i, |w| w.unreachable = true),
            Op::Reachable(i) => self.with_worker(*i, |w| w.unreachable = false),
            Op::Restart(i) => {
                let id = sim.worker_id(*i);
                let worker = sim.workers.get_mut(&id).unwrap();
                worker.restart(&mut sim.checker);
            }
            Op::Leave(i) => self.with_worker(*i, |w| w.leaving = true),
            Op::Unlist(i) => self.with_worker(*i, |w| w.unlisted = !w.unlisted),
            Op::StallLedger(on) => sim.stalled = *on,
            Op::PromiseNoTakeover(ms) => sim.promise_no_takeover(*ms),
            Op::Resubmit(i) => {
                let id = format!("r{i}");
                if let Some(spec) = sim.checker.spec_of(&common::key(&id)) {
                    // The request may be refused.
                    let _ = sim.submit(&id, &spec);
                }
            }
            // Members keep their promises.
            Op::Takeover | Op::TakeoverPaused if sim.now < sim.no_takeover_until => {}
            Op::Takeover => sim.takeover(),
            Op::TakeoverPaused => {
                sim.owners[newest].paused = true;
                sim.takeover();
            }
            Op::ResumeOldOwners => {
                for i in 0..newest {
                    // An owner that was paused right after it checked its lease decides
                    // once as if the lease were valid.
                    match std::mem::take(&mut sim.owners[i].paused) {
                        true => sim.decide_as(i, Authority::Full),
                        false => sim.decide(i),
                    }
                    for n in 0..WORKERS {
                        let id = sim.worker_id(n);
                        sim.deliver(i, &id);
                    }
                }
            }
            Op::ClaimByOldOwners(n) => {
                let id = sim.worker_id(*n);
                for i in 0..newest {
                    sim.disconnect(i, &id);
                    sim.claim(i, &id);
                }
            }
            Op::ExpireOwnerLease => sim.owners[newest].authority = Authority::RenewOnly,
            Op::WriteLedger => {
                sim.decide(newest);
                sim.write_ledger(newest);
                sim.decide(newest);
            }
        }
        self.sim.check();
    }

    fn with_worker(&mut self, i: usize, f: impl FnOnce(&mut common::worker::FakeWorker)) {
        let id = self.sim.worker_id(i);
        f(self.sim.workers.get_mut(&id).unwrap());
    }

    /// Ends all faults, then checks that every request gets its answer.
    fn repair_and_finish(&mut self) {
        self.sim.stalled = false;
        self.sim.now = self.sim.now.max(self.sim.no_takeover_until);
        for w in self.sim.workers.values_mut() {
            w.frozen = false;
            w.unreachable = false;
            w.unlisted = false;
            w.leaving = false;
        }
        self.sim.takeover();
        for i in 0..self.submitted {
            let id = format!("r{i}");
            let service = self.sim.running(&id) > 0 && self.sim.answer(&id).is_none();
            if service {
                self.sim.cancel(&id);
            }
        }
        self.sim.run(90_000);
        for i in 0..self.submitted {
            self.sim.cancel(&format!("r{i}"));
        }
        self.sim.run(5_000);
        let (_, open) = self.sim.engine().requests();
        assert_eq!(open, 0, "some requests got no answer");
    }
}

#[test]
fn invariants_hold_under_random_events() {
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
        run.repair_and_finish();
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}
