//! Division of a job's progress into segments, which are written separately.
//!
//! A row of the store has a maximum size, and a job may have 128,000 tasks and any number of
//! rounds. The progress of a small job is one segment with one row. That of a larger one is divided
//! into segments with a fixed number of tasks or rounds each, and only those that have changed are
//! written, so that neither the rows nor the batches grow with the job. A segment that still doesn't
//! fit into one row has several.
//!
//! Several segments may change together, and the first of them may be stored in an earlier batch
//! than the last. Each is therefore complete in itself, and they are written in the order in which
//! they were first changed: the due rounds before the tasks of these rounds.

use crate::spec::{JobId, JobSpec, TaskKey};
use rustc_hash::FxHashMap;
use std::collections::BTreeMap;
use std::collections::hash_map::Entry;

/// Limits of the rows in which jobs are stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RowLimits {
    /// Maximum size of a row's value, in bytes.
    pub max_row_bytes: usize,
    /// Maximum number of tasks in one segment. All owners of a partition must use the same number.
    pub tasks_per_segment: u32,
}

impl Default for RowLimits {
    fn default() -> RowLimits {
        RowLimits { max_row_bytes: 65_536, tasks_per_segment: 256 }
    }
}

/// Maximum number of rounds in one segment.
const ROUNDS_PER_SEGMENT: u32 = 512;

/// A part of a job's progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Segment {
    /// All progress of a small job.
    Job,
    /// The rounds of a large job from `ROUNDS_PER_SEGMENT` times this number.
    Rounds(u32),
    /// Tasks of one step of a large job.
    Tasks {
        round: u32,
        step: u32,
        /// Number of the segment within the step, from 0.
        block: u32,
    },
}

impl Segment {
    /// Returns the segment with a round of a large job.
    pub fn of_round(round: u32) -> Segment {
        Segment::Rounds(round / ROUNDS_PER_SEGMENT)
    }

    /// Returns the numbers of the rounds in the segment `Rounds(number)`.
    pub fn rounds(number: u32) -> std::ops::Range<u32> {
        let first = number.saturating_mul(ROUNDS_PER_SEGMENT);
        first..first.saturating_add(ROUNDS_PER_SEGMENT)
    }

    /// Returns the key of one of the segment's rows; rows are counted from 0.
    pub fn row_key(self, job: JobId, row: u32) -> String {
        match self {
            Segment::Job if row == 0 => format!("p/{job}"),
            Segment::Job => format!("p/{job}/more/{row}"),
            Segment::Rounds(number) => format!("p/{job}/rounds/{number}/{row}"),
            Segment::Tasks { round, step, block } => {
                format!("p/{job}/tasks/{round}/{step}/{block}/{row}")
            }
        }
    }

    /// Parses what follows the job's id in a row's key. Returns the segment and the number of the
    /// row.
    pub fn parse(rest: &str) -> Option<(Segment, u32)> {
        if rest.is_empty() {
            return Some((Segment::Job, 0));
        }
        let mut parts = rest.strip_prefix('/')?.split('/');
        let kind = parts.next()?;
        let numbers = parts.map(|n| n.parse().ok()).collect::<Option<Vec<u32>>>()?;
        match (kind, &numbers[..]) {
            ("more", &[row]) => Some((Segment::Job, row)),
            ("rounds", &[number, row]) => Some((Segment::Rounds(number), row)),
            ("tasks", &[round, step, block, row]) => {
                Some((Segment::Tasks { round, step, block }, row))
            }
            _ => None,
        }
    }
}

/// How the progress of one job is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SegmentLayout {
    /// Maximum number of tasks in a segment; `None` if the whole job is one segment.
    tasks_per_segment: Option<u32>,
}

impl SegmentLayout {
    /// Returns the layout of a job. It depends only on the specification, so all owners use the
    /// same.
    pub fn of(spec: &JobSpec, limits: RowLimits) -> SegmentLayout {
        let is_small = spec.task_count() <= u64::from(limits.tasks_per_segment);
        SegmentLayout { tasks_per_segment: (!is_small).then_some(limits.tasks_per_segment.max(1)) }
    }

    /// Returns true if the whole job is one segment.
    pub fn is_single(self) -> bool {
        self.tasks_per_segment.is_none()
    }

    /// Returns the segment with the progress of a task.
    pub fn segment_of(self, task: TaskKey) -> Segment {
        match self.tasks_per_segment {
            None => Segment::Job,
            Some(n) => {
                let (round, step) = (task.step.round, task.step.step);
                Segment::Tasks { round, step, block: task.index / n }
            }
        }
    }

    /// Returns the segments of a step with `tasks` tasks, by their first tasks.
    pub fn first_tasks(self, tasks: u32) -> impl Iterator<Item = u32> {
        let n = self.tasks_per_segment.unwrap_or(tasks.max(1));
        (0..tasks).step_by(n as usize)
    }

    /// Returns the positions of the tasks in a block of a step.
    pub fn tasks(self, block: u32) -> std::ops::Range<usize> {
        let n = self.tasks_per_segment.unwrap_or(u32::MAX) as usize;
        let first = (block as usize).saturating_mul(n);
        first..first.saturating_add(n)
    }
}

/// Segments with changes that are in no batch yet, in the order in which they are to be written.
/// Each change is numbered, from 1; it is in the store once the segments up to its number are.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnwrittenSegments {
    by_number: BTreeMap<u64, Segment>,
    /// The number of each segment.
    numbers: FxHashMap<Segment, u64>,
    last_number: u64,
}

impl UnwrittenSegments {
    /// Marks a segment as changed.
    pub fn mark(&mut self, segment: Segment) {
        if let Entry::Vacant(entry) = self.numbers.entry(segment) {
            self.last_number += 1;
            entry.insert(self.last_number);
            self.by_number.insert(self.last_number, segment);
        }
    }

    /// Marks a segment again under the number under which it was taken, because its batch was
    /// refused or had no room.
    pub fn restore(&mut self, number: u64, segment: Segment) {
        if let Some(later) = self.numbers.insert(segment, number) {
            self.by_number.remove(&later);
        }
        self.by_number.insert(number, segment);
    }

    /// Takes the segment to be written next, and its number.
    pub fn take_next(&mut self) -> Option<(u64, Segment)> {
        let (number, segment) = self.by_number.pop_first()?;
        self.numbers.remove(&segment);
        Some((number, segment))
    }

    pub fn is_empty(&self) -> bool {
        self.by_number.is_empty()
    }

    pub fn contains(&self, segment: Segment) -> bool {
        self.numbers.contains_key(&segment)
    }

    /// Returns the number of the last change.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Returns the number up to which all segments have been taken.
    pub fn taken_up_to(&self) -> u64 {
        self.by_number.first_key_value().map_or(self.last_number, |(&first, _)| first - 1)
    }
}

/// Rows that the store may have of each segment.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoredSegments {
    /// Number of rows by segment, in ascending order.
    rows: Vec<(Segment, u32)>,
}

impl StoredSegments {
    /// Records that the store may have the first `rows` rows of a segment.
    pub fn add(&mut self, segment: Segment, rows: u32) {
        match self.find(segment) {
            Ok(at) => self.rows[at].1 = self.rows[at].1.max(rows),
            Err(at) => self.rows.insert(at, (segment, rows)),
        }
    }

    /// Returns the number of rows of a segment.
    pub fn row_count(&self, segment: Segment) -> u32 {
        self.find(segment).map_or(0, |at| self.rows[at].1)
    }

    fn find(&self, segment: Segment) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&segment, |&(s, _)| s)
    }

    /// Returns the key of the only row of a small job. `None` if there are more rows, or none.
    pub fn only_key(&self, job: JobId) -> Option<String> {
        match self.rows[..] {
            [(segment, 1)] => Some(segment.row_key(job, 0)),
            _ => None,
        }
    }

    /// Removes the segments that match, and returns the keys of their rows.
    pub fn remove(&mut self, job: JobId, matches: impl Fn(Segment) -> bool) -> Vec<String> {
        let removed = self.rows.extract_if(.., |&mut (s, _)| matches(s));
        removed.flat_map(|(s, rows)| (0..rows).map(move |row| s.row_key(job, row))).collect()
    }
}
