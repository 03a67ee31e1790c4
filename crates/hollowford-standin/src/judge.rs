//! Judges the workers' records: did anything run twice at once, or over-commit?

use crate::record::{Line, What};
use std::collections::BTreeMap;

/// Identity of a task over all its attempts: the name in its payload, which a caller
/// that repeats a request repeats too, or else the request's number; then the index.
type TaskKey = (u32, String, u32);

fn key_of(line: &Line) -> TaskKey {
    let name = match line.name.as_str() {
        "" => line.request.to_string(),
        name => name.to_owned(),
    };
    (line.partition, name, line.index)
}

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
    let mut running: BTreeMap<TaskKey, (String, u64, u32)> = BTreeMap::new();
    for line in &lines {
        let key = key_of(line);
        match line.what {
            What::Start => {
                judge_start(&mut verdict, &running, line, &key);
                running.insert(key, (line.worker.clone(), line.request, line.attempt));
            }
            What::NoRoom => verdict.faults.push(format!("over-commitment asked for: {line:?}")),
            What::Done | What::Failed | What::Stopped | What::Lapsed => {
                let own = |(_, request, attempt): &(String, u64, u32)| {
                    (*request, *attempt) == (line.request, line.attempt)
                };
                if running.get(&key).is_some_and(own) {
                    running.remove(&key);
                }
            }
        }
    }
    verdict
}

fn judge_start(
    verdict: &mut Verdict,
    running: &BTreeMap<TaskKey, (String, u64, u32)>,
    line: &Line,
    key: &TaskKey,
) {
    verdict.starts += 1;
    if !line.name.is_empty() {
        *verdict.by_name.entry(line.name.clone()).or_insert(0) += 1;
    }
    if let Some((worker, _, attempt)) = running.get(key) {
        verdict.faults.push(format!("runs on {worker} as attempt {attempt} too: {line:?}"));
    }
    if line.cpu_held > line.cpu_capacity {
        verdict.faults.push(format!("over-committed: {line:?}"));
    }
}
