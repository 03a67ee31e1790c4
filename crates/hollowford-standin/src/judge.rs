//! Judges the workers' records: did anything run twice at once, or over-commit?

use crate::record::{Line, What};
use std::collections::BTreeMap;

/// Identity of a task over all its attempts.
type TaskKey = (u32, u64, u32);

/// What the records show.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Starts made.
    pub starts: usize,
    /// Faults found, in words.
    pub faults: Vec<String>,
    /// Starts by the payload's name.
    pub by_name: BTreeMap<String, usize>,
}

/// Judges all lines of all workers.
pub fn judge(mut lines: Vec<Line>) -> Verdict {
    lines.sort_by_key(|l| l.at_us);
    let mut verdict = Verdict::default();
    let mut running: BTreeMap<TaskKey, (String, u32)> = BTreeMap::new();
    for line in &lines {
        let key = (line.partition, line.request, line.index);
        match line.what {
            What::Start => {
                judge_start(&mut verdict, &running, line, &key);
                running.insert(key, (line.worker.clone(), line.attempt));
            }
            What::NoRoom => verdict.faults.push(format!("over-commitment asked for: {line:?}")),
            What::Done | What::Failed | What::Stopped | What::Lapsed => {
                if running.get(&key).is_some_and(|(_, attempt)| *attempt == line.attempt) {
                    running.remove(&key);
                }
            }
        }
    }
    verdict
}

fn judge_start(
    verdict: &mut Verdict,
    running: &BTreeMap<TaskKey, (String, u32)>,
    line: &Line,
    key: &TaskKey,
) {
    verdict.starts += 1;
    if !line.name.is_empty() {
        *verdict.by_name.entry(line.name.clone()).or_insert(0) += 1;
    }
    if let Some((worker, attempt)) = running.get(key) {
        verdict.faults.push(format!("runs on {worker} as attempt {attempt} too: {line:?}"));
    }
    if line.cpu_held > line.cpu_capacity {
        verdict.faults.push(format!("over-committed: {line:?}"));
    }
}
