//! What the store's rows tell of the progress of one job, put together from its segments.

use crate::progress_rows::{ProgressRow, RoundRow, TaskRow};
use crate::progress_segments::Segment;
use crate::rows::RowError;
use crate::spec::JobId;
use prost::Message;
use std::collections::BTreeMap;

/// Length of a job's id in keys.
const JOB_ID_LEN: usize = 16;

/// The key of a progress row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ProgressKey {
    pub job: JobId,
    pub segment: Segment,
    /// Number of the row in its segment, from 0.
    pub row: u32,
}

impl ProgressKey {
    /// Parses a key. Returns `None` if it is not that of a progress row.
    ///
    /// # Errors
    /// Returns an error if the key begins like that of a progress row but is not one.
    pub fn parse(key: &str) -> Result<Option<ProgressKey>, RowError> {
        let Some(rest) = key.strip_prefix("p/") else { return Ok(None) };
        let unknown = || RowError::Key(key.to_owned());
        let (id, rest) = rest.split_at_checked(JOB_ID_LEN).ok_or_else(unknown)?;
        let (segment, row) = Segment::parse(rest).ok_or_else(unknown)?;
        Ok(Some(ProgressKey { job: id.parse()?, segment, row }))
    }
}

/// The stored progress of one job.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoredProgress {
    /// The segments, each with the number of its rows.
    pub segments: BTreeMap<Segment, u32>,
    /// Number of rounds that have become due.
    pub due_rounds: u32,
    pub started: bool,
    /// Unfinished rounds by number.
    pub rounds: BTreeMap<u32, StoredRound>,
}

/// The stored progress of one round.
#[derive(Clone, Debug, Default)]
pub(crate) struct StoredRound {
    /// When the round became due.
    pub due: u64,
    /// Failed runs of gangs by step.
    pub failed_gang_runs: BTreeMap<u32, Vec<u32>>,
    /// Tasks by step and position.
    pub tasks: BTreeMap<(u32, u32), TaskRow>,
    /// Further tasks that are done: step and position.
    pub done: Vec<(u32, u32)>,
}

impl StoredProgress {
    /// Adds a row. Rows have to be added in the order of their keys' segments: where the whole job
    /// was a segment in an earlier release, its tasks are replaced by those of later segments.
    ///
    /// # Errors
    /// Returns an error if the row can't be decoded.
    pub fn add(&mut self, key: ProgressKey, value: &[u8]) -> Result<(), RowError> {
        let row = ProgressRow::decode(value)?;
        let rows = self.segments.entry(key.segment).or_default();
        *rows = (*rows).max(key.row + 1);
        self.due_rounds = self.due_rounds.max(row.due_rounds);
        self.started |= row.started;
        for r in row.rounds {
            let due = r.due;
            let round = match key.segment {
                // A round that isn't listed any more is done.
                Segment::Tasks { .. } if self.lists_rounds() => self.rounds.get_mut(&r.number),
                _ => Some(self.rounds.entry(r.number).or_default()),
            };
            if let Some(round) = round {
                round.due = round.due.max(due);
                round.add(r);
            }
        }
        Ok(())
    }
}

impl StoredProgress {
    /// Returns true if the rows of a repeated large job list its unfinished rounds.
    fn lists_rounds(&self) -> bool {
        self.segments.keys().any(|s| matches!(s, Segment::Rounds(_)))
    }
}

impl StoredRound {
    fn add(&mut self, row: RoundRow) {
        self.failed_gang_runs.extend(row.gangs.into_iter().map(|g| (g.step, g.failed_runs)));
        self.tasks.extend(row.tasks.into_iter().map(|t| ((t.step, t.index), t)));
        for d in row.done {
            self.done.extend(d.positions().map(|at| (d.step, at)));
        }
    }
}
