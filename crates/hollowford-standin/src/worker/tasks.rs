//! Starting, ending and reporting of a worker's tasks.

use super::state::{RunningTask, StandinWorker, TaskKey, WorkerState, task_key};
use crate::payload::Behaviour;
use crate::record::TaskEvent;
use hollowford_protocol::v1;
use hollowford_protocol::v1::order::Order;
use hollowford_protocol::v1::report::Report;

/// Time between two reports of resource use.
const USAGE_INTERVAL_MS: u64 = 500;
/// Largest result sent inside a report; larger ones go to the object store.
const MAX_INLINE_RESULT_BYTES: usize = 1_024;

impl StandinWorker {
    pub(super) fn handle_order(&self, session: u64, order: Order) -> bool {
        let mut state = self.lock();
        if state.session != session {
            return false;
        }
        // A worker that was paused first ends the tasks whose leases have lapsed.
        self.end_lapsed_tasks(&mut state);
        match order {
            Order::Claim(_) => return false,
            Order::Start(start) => self.start(&mut state, start),
            Order::Renew(renew) => {
                for r in state.running.values_mut().filter(|r| !r.start.fixed_lease) {
                    r.lease_until = r.lease_until.max(renew.lease_until);
                }
            }
            Order::Stop(stop) => self.stop(&mut state, &stop),
            Order::Forget(forget) => {
                if let Some(task) = &forget.task {
                    state.ended.remove(&task_key(task));
                }
            }
            Order::Throttle(throttle) => {
                if let Some(r) = throttle.task.and_then(|t| state.running.get_mut(&task_key(&t))) {
                    r.behaviour.cpu_milli = Some(throttle.cpu_milli);
                }
            }
        }
        true
    }

    fn start(&self, state: &mut WorkerState, start: v1::Start) {
        let Some(task) = start.task else {
            return;
        };
        let now = self.now();
        let behaviour = Behaviour::from(&start.payload[..]);
        let run_ms = behaviour.run_ms.unwrap_or(start.run_time_ms);
        let forever = run_ms == 0;
        let ends_at = if forever { u64::MAX } else { now + run_ms };
        let lease_until = start.lease_until;
        let r = RunningTask { start, task, behaviour, started_at: now, ends_at, lease_until };
        let free_cpu_milli = u64::from(self.settings.cpu_milli) - allocated_cpu_milli(state);
        let free_memory_mib = u64::from(self.settings.memory_mib) - allocated_memory_mib(state);
        if u64::from(r.start.cpu_milli) > free_cpu_milli
            || u64::from(r.start.memory_mib) > free_memory_mib
        {
            self.record(state, &r, TaskEvent::NoRoom);
            self.refuse(state, task, "no room");
            return;
        }
        if lease_until <= now {
            self.refuse(state, task, "the lease has ended");
            return;
        }
        state.running.insert(task_key(&task), r);
        if let Some(r) = state.running.get(&task_key(&task)) {
            self.record(state, r, TaskEvent::Start);
        }
        self.send_report(state, Report::Started(v1::Started { task: Some(task) }));
        if state.fail_all {
            self.end(state, &task_key(&task), v1::End::Failed);
        }
    }

    fn refuse(&self, state: &WorkerState, task: v1::TaskRef, message: &str) {
        let refused = v1::Refused { task: Some(task), message: message.to_owned() };
        self.send_report(state, Report::Refused(refused));
    }

    fn stop(&self, state: &mut WorkerState, stop: &v1::Stop) {
        if let Some(task) = &stop.task {
            let end = v1::End::Stopped;
            self.end(state, &task_key(task), end);
        }
    }

    /// Ends a running task, keeps its outcome and reports it.
    fn end(&self, state: &mut WorkerState, key: &TaskKey, end: v1::End) {
        let Some(r) = state.running.remove(key) else {
            return;
        };
        let what = match end {
            v1::End::Done => TaskEvent::Done,
            v1::End::Failed => TaskEvent::Failed,
            v1::End::Lapsed => TaskEvent::Lapsed,
            _ => TaskEvent::Stopped,
        };
        self.record(state, &r, what);
        let mut ended = v1::Ended { task: Some(r.task), ..Default::default() };
        ended.set_end(end);
        ended.ran_ms = self.now().saturating_sub(r.started_at);
        match end {
            v1::End::Done => self.fill_result(&r, &mut ended),
            v1::End::Failed => ended.message = "the task failed".to_owned(),
            _ => ended.checkpoint = format!("checkpoint/{}/{}", r.task.request, r.task.index),
        }
        state.ended.insert(*key, ended.clone());
        self.send_report(state, Report::Ended(ended));
    }

    fn fill_result(&self, r: &RunningTask, ended: &mut v1::Ended) {
        let bytes: Vec<u8> = (0..r.behaviour.result_bytes).map(|i| i as u8).collect();
        ended.result_len = bytes.len() as u64;
        ended.result_xxh3 = xxhash_rust::xxh3::xxh3_64(&bytes);
        match &self.object_store {
            Some(object_store) if bytes.len() > MAX_INLINE_RESULT_BYTES => {
                let t = r.task;
                let object = format!("result/{}-{}-{}", t.request, t.index, t.attempt);
                ended.result_object.clone_from(&object);
                let object_store = object_store.clone();
                tokio::spawn(async move { object_store.put_object(&object, bytes).await });
            }
            _ => ended.result = bytes,
        }
    }

    pub(super) fn end_lapsed_tasks(&self, state: &mut WorkerState) {
        let now = self.now();
        let lapsed: Vec<TaskKey> = state
            .running
            .iter()
            .filter(|(_, r)| r.lease_until <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in lapsed {
            self.end(state, &key, v1::End::Lapsed);
        }
    }

    pub(super) fn tick(&self) {
        let mut state = self.lock();
        self.end_lapsed_tasks(&mut state);
        let now = self.now();
        let due: Vec<(TaskKey, bool)> = state
            .running
            .iter()
            .filter(|(_, r)| r.ends_at <= now)
            .map(|(key, r)| (*key, r.behaviour.fail))
            .collect();
        for (key, fail) in due {
            let end = if fail { v1::End::Failed } else { v1::End::Done };
            self.end(&mut state, &key, end);
        }
        if now.saturating_sub(state.usage_reported_at) >= USAGE_INTERVAL_MS {
            state.usage_reported_at = now;
            self.report_usage(&state);
        }
    }

    fn report_usage(&self, state: &WorkerState) {
        let tasks = state.running.values().filter_map(|r| {
            let cpu_milli = r.behaviour.cpu_milli.unwrap_or(r.start.cpu_milli);
            let memory_mib = r.behaviour.memory_mib.unwrap_or(r.start.memory_mib);
            let differs = cpu_milli != r.start.cpu_milli || memory_mib != r.start.memory_mib;
            differs.then_some(v1::TaskUsage { task: Some(r.task), cpu_milli, memory_mib })
        });
        let usage = v1::Usage { leaving: state.leaving, tasks: tasks.collect() };
        self.send_report(state, Report::Usage(usage));
    }
}

/// Returns the CPU allocated to running tasks, in thousandths of a core.
pub(super) fn allocated_cpu_milli(state: &WorkerState) -> u64 {
    state.running.values().map(|r| u64::from(r.start.cpu_milli)).sum()
}

fn allocated_memory_mib(state: &WorkerState) -> u64 {
    state.running.values().map(|r| u64::from(r.start.memory_mib)).sum()
}
