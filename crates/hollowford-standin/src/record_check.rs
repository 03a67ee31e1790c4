//! Checks the workers' records for tasks that ran twice at once and for over-commitment.

use crate::record::{Line, TaskEvent};
use std::collections::BTreeMap;

/// Identity of a task over all its attempts: the partition, the name in its payload or else the
/// request's number, and the index. A caller that repeats a request repeats the name.
type TaskKey = (u32, String, u32);

fn task_key(line: &Line) -> TaskKey {
    let name = match line.name.as_str() {
        "" => line.request.to_string(),
        name => name.to_owned(),
    };
    (line.partition, name, line.index)
}

/// Result of the check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordSummary {
    /// Number of task starts.
    pub starts: usize,
    /// Violations, in words.
    pub violations: Vec<String>,
    /// Number of starts by name in the payload.
    pub starts_by_name: BTreeMap<String, usize>,
}

/// Checks the lines of all workers.
pub fn check_record(mut lines: Vec<Line>) -> RecordSummary {
    lines.sort_by_key(|l| l.at_us);
    let mut summary = RecordSummary::default();
    let mut running: BTreeMap<TaskKey, (String, u64, u32)> = BTreeMap::new();
    for line in &lines {
        let key = task_key(line);
        match line.what {
            TaskEvent::Start => {
                check_start(&mut summary, &running, line, &key);
                running.insert(key, (line.worker.clone(), line.request, line.attempt));
            }
            TaskEvent::NoRoom => {
                summary.violations.push(format!("start beyond the worker's capacity: {line:?}"))
            }
            TaskEvent::Done | TaskEvent::Failed | TaskEvent::Stopped | TaskEvent::Lapsed => {
                let own = |(_, request, attempt): &(String, u64, u32)| {
                    (*request, *attempt) == (line.request, line.attempt)
                };
                if running.get(&key).is_some_and(own) {
                    running.remove(&key);
                }
            }
        }
    }
    summary
}

fn check_start(
    summary: &mut RecordSummary,
    running: &BTreeMap<TaskKey, (String, u64, u32)>,
    line: &Line,
    key: &TaskKey,
) {
    summary.starts += 1;
    if !line.name.is_empty() {
        *summary.starts_by_name.entry(line.name.clone()).or_insert(0) += 1;
    }
    if let Some((worker, _, attempt)) = running.get(key) {
        summary.violations.push(format!("also runs on {worker} as attempt {attempt}: {line:?}"));
    }
    if line.cpu_held > line.cpu_capacity {
        summary.violations.push(format!("over-committed worker: {line:?}"));
    }
}
