//! Workers that crash, and the tasks that were on them.

use crate::engine::Engine;
use crate::note::Note;
use crate::workers::WorkerIdx;

impl Engine {
    /// Takes note that a worker has crashed under the tasks that it held.
    pub(crate) fn note_crash(&mut self, idx: WorkerIdx) {
        self.stats.crashes += 1;
        let Some(w) = self.workers.get(idx) else { return };
        let (worker, held) = (w.id.clone(), w.held.iter().map(|h| (h.task, h.run)));
        for (key, run) in held.collect::<Vec<_>>() {
            let Some(task) = self.jobs.task_mut(key) else { continue };
            if task.at != Some(idx) || task.run != run {
                continue;
            }
            task.crashed_runs.push(run);
            let crashes = task.crashed_runs.len();
            let worker = worker.clone();
            self.notes.push(Note::CrashedUnder { task: key, run, worker, crashes });
        }
    }
}
