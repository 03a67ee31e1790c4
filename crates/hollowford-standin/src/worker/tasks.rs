//! What a worker does with its tasks.

use super::state::{Inner, Running, StandinWorker, TaskKey, key};
use crate::payload::Behaviour;
use crate::record::What;
use hollowford_protocol::v1;
use hollowford_protocol::v1::order::Order;
use hollowford_protocol::v1::report::Report;

/// How often a worker reports use.
const USAGE_EVERY_MS: u64 = 500;
/// Longest result that a report carries itself.
const SHORT_RESULT: usize = 1_024;

impl StandinWorker {
    pub(super) fn obey(&self, session: u64, order: Order) -> bool {
        let mut inner = self.lock();
        if inner.session != session {
            return false;
        }
        // A worker that wakes from a freeze stops what has lapsed before all else.
        self.lapse(&mut inner);
        match order {
            Order::Claim(_) => return false,
            Order::Start(start) => self.start(&mut inner, start),
            Order::Renew(renew) => {
                for r in inner.running.values_mut().filter(|r| !r.start.fixed_lease) {
                    r.lease_until = r.lease_until.max(renew.lease_until);
                }
            }
            Order::Stop(stop) => self.stop(&mut inner, &stop),
            Order::Forget(forget) => {
                if let Some(task) = &forget.task {
                    inner.ended.remove(&key(task));
                }
            }
            Order::Throttle(throttle) => {
                if let Some(r) = throttle.task.and_then(|t| inner.running.get_mut(&key(&t))) {
                    r.behaviour.cpu_milli = Some(throttle.cpu_milli);
                }
            }
        }
        true
    }

    fn start(&self, inner: &mut Inner, start: v1::Start) {
        let Some(task) = start.task else {
            return;
        };
        let now = self.now();
        let behaviour = Behaviour::from(&start.payload[..]);
        let run_ms = behaviour.run_ms.unwrap_or(start.run_time_ms);
        let forever = run_ms == 0;
        let ends_at = if forever { u64::MAX } else { now + run_ms };
        let lease_until = start.lease_until;
        let r = Running { start, task, behaviour, started_at: now, ends_at, lease_until };
        let room = u64::from(self.settings.cpu_milli) - cpu_held(inner);
        let memory = u64::from(self.settings.memory_mib) - memory_held(inner);
        if u64::from(r.start.cpu_milli) > room || u64::from(r.start.memory_mib) > memory {
            self.record(inner, &r, What::NoRoom);
            self.refuse(inner, task, "no room");
            return;
        }
        if lease_until <= now {
            self.refuse(inner, task, "the lease has ended");
            return;
        }
        inner.running.insert(key(&task), r);
        if let Some(r) = inner.running.get(&key(&task)) {
            self.record(inner, r, What::Start);
        }
        self.say(inner, Report::Started(v1::Started { task: Some(task) }));
        if inner.fail_all {
            self.end(inner, &key(&task), v1::End::Failed);
        }
    }

    fn refuse(&self, inner: &Inner, task: v1::TaskRef, message: &str) {
        let refused = v1::Refused { task: Some(task), message: message.to_owned() };
        self.say(inner, Report::Refused(refused));
    }

    fn stop(&self, inner: &mut Inner, stop: &v1::Stop) {
        if let Some(task) = &stop.task {
            let end = v1::End::Stopped;
            self.end(inner, &key(task), end);
        }
    }

    /// Ends a running task, remembers its outcome and reports it.
    fn end(&self, inner: &mut Inner, key: &TaskKey, end: v1::End) {
        let Some(r) = inner.running.remove(key) else {
            return;
        };
        let what = match end {
            v1::End::Done => What::Done,
            v1::End::Failed => What::Failed,
            v1::End::Lapsed => What::Lapsed,
            _ => What::Stopped,
        };
        self.record(inner, &r, what);
        let mut ended = v1::Ended { task: Some(r.task), ..Default::default() };
        ended.set_end(end);
        ended.ran_ms = self.now().saturating_sub(r.started_at);
        match end {
            v1::End::Done => self.fill_result(&r, &mut ended),
            v1::End::Failed => ended.message = "the task failed".to_owned(),
            _ => ended.checkpoint = format!("checkpoint/{}/{}", r.task.request, r.task.index),
        }
        inner.ended.insert(*key, ended.clone());
        self.say(inner, Report::Ended(ended));
    }

    fn fill_result(&self, r: &Running, ended: &mut v1::Ended) {
        let bytes: Vec<u8> = (0..r.behaviour.result).map(|i| i as u8).collect();
        ended.result_len = bytes.len() as u64;
        ended.result_xxh3 = xxhash_rust::xxh3::xxh3_64(&bytes);
        match &self.objects {
            Some(objects) if bytes.len() > SHORT_RESULT => {
                let t = r.task;
                let object = format!("result/{}-{}-{}", t.request, t.index, t.attempt);
                ended.result_object.clone_from(&object);
                let objects = objects.clone();
                tokio::spawn(async move { objects.put_object(&object, bytes).await });
            }
            _ => ended.result = bytes,
        }
    }

    pub(super) fn lapse(&self, inner: &mut Inner) {
        let now = self.now();
        let lapsed: Vec<TaskKey> = inner
            .running
            .iter()
            .filter(|(_, r)| r.lease_until <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in lapsed {
            self.end(inner, &key, v1::End::Lapsed);
        }
    }

    pub(super) fn tick(&self) {
        let mut inner = self.lock();
        self.lapse(&mut inner);
        let now = self.now();
        let due: Vec<(TaskKey, bool)> = inner
            .running
            .iter()
            .filter(|(_, r)| r.ends_at <= now)
            .map(|(key, r)| (*key, r.behaviour.fail))
            .collect();
        for (key, fail) in due {
            let end = if fail { v1::End::Failed } else { v1::End::Done };
            self.end(&mut inner, &key, end);
        }
        if now.saturating_sub(inner.usage_at) >= USAGE_EVERY_MS {
            inner.usage_at = now;
            self.report_usage(&inner);
        }
    }

    fn report_usage(&self, inner: &Inner) {
        let tasks = inner.running.values().filter_map(|r| {
            let cpu_milli = r.behaviour.cpu_milli.unwrap_or(r.start.cpu_milli);
            let memory_mib = r.behaviour.memory_mib.unwrap_or(r.start.memory_mib);
            let odd = cpu_milli != r.start.cpu_milli || memory_mib != r.start.memory_mib;
            odd.then_some(v1::TaskUsage { task: Some(r.task), cpu_milli, memory_mib })
        });
        let usage = v1::Usage { leaving: inner.leaving, tasks: tasks.collect() };
        self.say(inner, Report::Usage(usage));
    }
}

/// Returns the processors that running tasks hold.
pub(super) fn cpu_held(inner: &Inner) -> u64 {
    inner.running.values().map(|r| u64::from(r.start.cpu_milli)).sum()
}

fn memory_held(inner: &Inner) -> u64 {
    inner.running.values().map(|r| u64::from(r.start.memory_mib)).sum()
}
