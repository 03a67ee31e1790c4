//! Judges the workers' records: did anything run twice at once, or over-commit?

use crate::record::{Line, TaskEvent};
use std::collections::BTreeMap;

/// Identity of a task over all its attempts: the name in its payload, which a caller
/// that repeats a request repeats too, or else the request's number; then the index.
type TaskKey = (u32, String, u32);

fn task_key(line: &Line) -> TaskKey {
    let name = match line.name.as_str() {
        "" => line.request.to_string(),
        name => name.to_owned(),
    };
    (line.partition, name, line.index)
}

/// What the records show.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordSummary {
    /// Starts made.
    pub starts: usize,
    /// Faults found, in words.
    pub violations: Vec<String>,
    /// Starts by the payload's name.
    pub starts_by_name: BTreeMap<String, usize>,
}

/// Judges all lines of all workers.
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
                summary.violations.push(format!("over-commitment asked for: {line:?}"))
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
        summary.violations.push(format!("runs on {worker} as attempt {attempt} too: {line:?}"));
    }
    if line.cpu_held > line.cpu_capacity {
        summary.violations.push(format!("over-committed: {line:?}"));
    }
}
