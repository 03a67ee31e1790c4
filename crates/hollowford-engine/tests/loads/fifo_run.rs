//! Runs a load on the baseline, a first-fit FIFO scheduler. The oldest task starts on the
//! first worker with room, gangs start together, and no task overtakes another.

use super::measure::{Measures, total_capacity, used_resources};
use super::workloads::{Job, Load};
use hollowford_core::{Kind, Resources};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

const SAMPLE_INTERVAL_MS: u64 = 250;

struct Run<'a> {
    load: &'a Load,
    now: u64,
    free: Vec<Resources>,
    queue: VecDeque<(&'a Job, u32)>,
    /// Running tasks: (end time, worker, resources).
    running: BinaryHeap<Reverse<(u64, usize, Resources)>>,
    measures: Measures,
}

pub fn run(load: &Load) -> Measures {
    let mut run = Run {
        load,
        now: 0,
        free: vec![load.capacity; load.workers],
        queue: VecDeque::new(),
        running: BinaryHeap::new(),
        measures: Measures::default(),
    };
    run.run_load();
    run.measures
}

impl<'a> Run<'a> {
    fn run_load(&mut self) {
        let jobs = &self.load.jobs;
        let mut next_job = 0;
        let mut next_sample = 0;
        while next_job < jobs.len() || !self.queue.is_empty() {
            let arrival = jobs.get(next_job).map_or(u64::MAX, |j| j.at);
            let end = self.running.peek().map_or(u64::MAX, |Reverse((at, _, _))| *at);
            self.now = arrival.min(end).min(next_sample);
            while jobs.get(next_job).is_some_and(|j| j.at <= self.now) {
                let job = &jobs[next_job];
                // A job that fits on no worker would block the queue forever.
                if job.spec.per_task.fits(&self.load.capacity) {
                    self.queue.push_back((job, job.spec.tasks));
                }
                next_job += 1;
            }
            while self.running.peek().is_some_and(|Reverse((at, _, _))| *at <= self.now) {
                if let Some(Reverse((_, w, resources))) = self.running.pop() {
                    self.free[w] = self.free[w].plus(&resources);
                }
            }
            while self.start_first() {}
            if self.now >= next_sample {
                next_sample = self.now + SAMPLE_INTERVAL_MS;
                self.sample();
            }
            for wave in self.load.waves.iter().filter(|w| w.at <= self.now) {
                let is_cancelled = |j: &Job| {
                    j.account == wave.account && j.spec.labels.iter().any(|l| **l == *wave.label)
                };
                self.queue.retain(|(j, _)| !(is_cancelled(j) && j.at <= wave.at));
            }
        }
        self.measures.ended_at = self.now;
    }

    fn start_first(&mut self) -> bool {
        let Some(&(job, left)) = self.queue.front() else {
            return false;
        };
        let concurrent_tasks = if job.spec.kind == Kind::Gang { left } else { 1 };
        let Some(workers) = self.find_workers(&job.spec.per_task, concurrent_tasks) else {
            return false;
        };
        if left == job.spec.tasks {
            self.measures.waited(job.spec.kind, self.now - job.at);
        }
        for w in workers {
            self.free[w] = self.free[w].minus(&job.spec.per_task);
            self.measures.placed += 1;
            let run_ms = if w < self.load.failing_workers { 10 } else { job.actual_ms };
            if run_ms > 0 {
                self.running.push(Reverse((self.now + run_ms, w, job.spec.per_task)));
            }
        }
        match left - concurrent_tasks {
            0 => {
                self.queue.pop_front();
            }
            rest => self.queue[0].1 = rest,
        }
        true
    }

    fn find_workers(&self, need: &Resources, count: u32) -> Option<Vec<usize>> {
        let mut workers = Vec::new();
        for (w, free) in self.free.iter().enumerate() {
            let mut free = *free;
            while need.fits(&free) && (workers.len() as u32) < count {
                free = free.minus(need);
                workers.push(w);
            }
        }
        (workers.len() as u32 == count).then_some(workers)
    }

    fn sample(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        let total = total_capacity(&self.load.capacity, self.load.workers);
        let mut free = hollowford_core::Totals::default();
        self.free.iter().for_each(|f| free.add(f));
        self.measures.sample(&used_resources(&total, &free), &total);
    }
}
