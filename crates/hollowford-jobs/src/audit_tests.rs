use crate::accounts::NO_ACCOUNT;
use crate::audit::StuckTask;
use crate::engine::{Engine, TimeLimits};
use crate::queue::Queue;
use crate::spec::{JobId, JobSpec, RawJob, RawStep, StepKey};
use hollowford_core::Millis;
use std::sync::Arc;

const TIME_LIMITS: TimeLimits = TimeLimits {
    lease: Millis(3_000),
    previous_lease: Millis(5_000),
    max_lease: Millis(6_000),
    stop_timeout: Millis(400),
    gang_timeout: Millis(3_000),
    ended_job_retention: Millis(60_000),
};

/// Guards against an audit that doesn't see a copy whose end will never be reported.
#[test]
fn both_runs_of_a_task_have_to_be_held() {
    let mut engine = Engine::new(1, TIME_LIMITS, Millis(0));
    let queue = Queue {
        name: "q".into(),
        pool: "pool".into(),
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        slack: Millis(1_000),
        advice: None,
    };
    engine.set_queues(&[queue], Millis(0));
    let step = RawStep { count: 1, speculative: true, ..RawStep::default() };
    let raw = RawJob { template: String::new(), steps: vec![step], schedule: None };
    let spec = Arc::new(JobSpec::try_from(raw).expect("job specification should be valid"));
    engine.submit(JobId(1), NO_ACCOUNT, "q", spec, Millis(0));
    let key = StepKey { job: JobId(1), round: 0, step: 0 }.task(0);
    assert_eq!(engine.stuck_tasks(), []);
    let task = engine.jobs.task_mut(key).expect("the task should be known");
    task.place_run(0, 1);
    task.place_run(1, 2);
    let not_held = |run| StuckTask::NotHeld { task: key, run };
    assert_eq!(engine.stuck_tasks(), [not_held(1), not_held(2)]);
}
