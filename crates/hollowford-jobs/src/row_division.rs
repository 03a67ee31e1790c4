//! Division of a segment's progress into rows that the store takes.

use crate::progress_rows::{ProgressRow, RoundRow, TaskRow};
use prost::Message;

/// Bytes by which a message grows with a part of it, beside the part: its tag and its length, and
/// the length of the round around it.
const PART_OVERHEAD_BYTES: usize = 12;
/// Size of a row that contains one round without tasks.
const EMPTY_ROW_BYTES: usize = 40;

/// Divides a row into rows of at most `max_bytes`. Each contains the parts of its rounds as far as
/// they fit; together they contain what the row contained.
pub(crate) fn divide(row: ProgressRow, max_bytes: usize) -> Vec<ProgressRow> {
    if row.encoded_len() <= max_bytes {
        return vec![row];
    }
    let mut rows = RowDivider {
        due_rounds: row.due_rounds,
        started: row.started,
        max_bytes,
        ..RowDivider::default()
    };
    for round in row.rounds {
        let number = round.number;
        let due = round.due;
        rows.add_round(number, due);
        for done in round.done {
            rows.add_part((number, due), done.encoded_len(), |r| r.done.push(done));
        }
        for gang in round.gangs {
            rows.add_part((number, due), gang.encoded_len(), |r| r.gangs.push(gang));
        }
        for task in round.tasks {
            let task = without_oversized_checkpoint(task, max_bytes);
            rows.add_part((number, due), task.encoded_len(), |r| r.tasks.push(task));
        }
    }
    rows.finish()
}

/// Removes the checkpoint of a task if no row can hold it. The task then starts from its beginning.
fn without_oversized_checkpoint(mut task: TaskRow, max_bytes: usize) -> TaskRow {
    if task.encoded_len() + PART_OVERHEAD_BYTES + EMPTY_ROW_BYTES > max_bytes {
        task.saved.clear();
    }
    task
}

/// Collects parts of a row in rows of limited size.
#[derive(Default)]
struct RowDivider {
    due_rounds: u32,
    started: bool,
    max_bytes: usize,
    finished: Vec<ProgressRow>,
    rounds: Vec<RoundRow>,
    /// Upper bound of the size of the row with `rounds`.
    bytes: usize,
}

impl RowDivider {
    fn add_round(&mut self, number: u32, due: u64) {
        if self.bytes + EMPTY_ROW_BYTES > self.max_bytes && !self.rounds.is_empty() {
            self.finish_row();
        }
        self.bytes += EMPTY_ROW_BYTES;
        self.rounds.push(RoundRow { number, due, ..RoundRow::default() });
    }

    fn add_part(&mut self, round: (u32, u64), bytes: usize, add: impl FnOnce(&mut RoundRow)) {
        if self.bytes + bytes + PART_OVERHEAD_BYTES > self.max_bytes {
            self.finish_row();
            self.add_round(round.0, round.1);
        }
        self.bytes += bytes + PART_OVERHEAD_BYTES;
        if let Some(round) = self.rounds.last_mut() {
            add(round);
        }
    }

    fn finish_row(&mut self) {
        let rounds = std::mem::take(&mut self.rounds);
        self.finished.push(ProgressRow {
            due_rounds: self.due_rounds,
            rounds,
            started: self.started,
        });
        self.bytes = 0;
    }

    fn finish(mut self) -> Vec<ProgressRow> {
        self.finish_row();
        self.finished
    }
}
