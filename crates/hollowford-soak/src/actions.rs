//! What a run does to its cell: the failures of its schedule, and their end.

use crate::SoakError;
use crate::proxy::Mode;
use crate::run::{PAUSE, READY_WITHIN, Run};
use crate::schedule::Action;
use hollowford_adapter_standin::Faults;
use std::sync::atomic::Ordering;
use std::time::Instant;
use tokio::time::sleep;

impl Run {
    /// Brings a failure about, or ends it.
    pub async fn act(&mut self, action: Action) -> Result<(), SoakError> {
        if self.is_void(action) {
            return Ok(());
        }
        match action {
            Action::Kill(n) => {
                self.note_ended(n);
                self.cell.nodes[n].process.kill()?;
            }
            Action::Stop(n) => {
                self.note_ended(n);
                self.cell.nodes[n].process.signal("TERM")?;
            }
            Action::Start(n) => self.start(n).await?,
            Action::Pause(n) => self.cell.nodes[n].process.signal("STOP")?,
            Action::Resume(n) => self.cell.nodes[n].process.signal("CONT")?,
            Action::Hangup(n) => self.cell.nodes[n].process.signal("HUP")?,
            Action::Outage(on) => self.change_store(|f| f.outage = on),
            Action::Slow(by) => self.change_store(|f| f.slow_ms = by),
            Action::LoseAnswers(n) => self.change_store(|f| f.lose_answers = n),
            Action::NoHistory(on) => self.change_store(|f| f.no_history = on),
            Action::StorePath(n, mode) => self.cell.nodes[n].store.set(mode),
            Action::CallerPath(n, mode) => self.cell.nodes[n].callers.set(mode),
            Action::WorkerPath(w, mode) => self.cell.workers[w].proxy.set(mode),
            Action::CrashWorker(w) => self.cell.restart_worker(w),
            Action::DrainWorker(w) => {
                let id = self.cell.drain_worker(w);
                self.leavers.insert(id, w);
            }
            Action::ReplaceWorker(w) => {
                self.cell.remove_worker(w);
                self.cell.add_worker(&mut self.rng).await?;
            }
            Action::Configure => {
                self.cell.configure();
                self.newest.store(self.cell.config, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    /// Tells whether what an action is aimed at is not there: a process that is down, or a
    /// worker that was taken away.
    fn is_void(&self, action: Action) -> bool {
        match action {
            Action::Stop(n) | Action::Pause(n) | Action::Resume(n) | Action::Hangup(n) => {
                self.down[n]
            }
            Action::CrashWorker(w) | Action::DrainWorker(w) | Action::ReplaceWorker(w) => {
                self.cell.workers[w].gone
            }
            _ => false,
        }
    }

    /// Takes note that the run itself ends a process.
    fn note_ended(&mut self, node: usize) {
        self.new_life(node);
        self.down[node] = true;
    }

    /// What was known of a process's configuration says nothing of its next life.
    fn new_life(&self, node: usize) {
        self.lives[node].fetch_add(1, Ordering::Relaxed);
    }

    /// Starts a process that was ended, once it has ended.
    async fn start(&mut self, node: usize) -> Result<(), SoakError> {
        if !self.down[node] {
            return Ok(());
        }
        let began = Instant::now();
        while self.cell.nodes[node].process.ended()?.is_none() {
            // A paused process takes the signal once it goes on.
            self.cell.nodes[node].process.signal("CONT")?;
            if began.elapsed() > READY_WITHIN {
                self.wrong.push(format!("process n{node} doesn't end when it is told to"));
                self.cell.nodes[node].process.kill()?;
            }
            sleep(PAUSE).await;
        }
        self.new_life(node);
        self.cell.nodes[node].process.restart()?;
        self.down[node] = false;
        Ok(())
    }

    fn change_store(&mut self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.faults);
        self.cell.platform.set_faults(self.faults.clone());
        // Lost answers are counted down by the store itself.
        self.faults.lose_answers = 0;
    }

    /// Ends everything that is wrong, and waits until all processes are ready.
    pub async fn heal(&mut self) -> Result<(), SoakError> {
        self.harms.end_all(self.cell.platform.now());
        self.change_store(|f| *f = Faults::default());
        for node in &self.cell.nodes {
            node.store.set(Mode::Pass);
            node.callers.set(Mode::Pass);
        }
        self.cell.workers.iter().for_each(|w| w.proxy.set(Mode::Pass));
        for n in 0..self.cell.nodes.len() {
            if self.down[n] {
                self.start(n).await?;
            } else {
                self.cell.nodes[n].process.signal("CONT")?;
            }
        }
        self.await_ready().await
    }
}
