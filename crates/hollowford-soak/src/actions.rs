//! Applies the actions of a schedule to the cell, and ends all failures.

use crate::SoakError;
use crate::proxy::Mode;
use crate::run::{POLL_INTERVAL, READY_TIMEOUT, Run};
use crate::schedule::Action;
use hollowford_adapter_standin::Faults;
use std::sync::atomic::Ordering;
use std::time::Instant;
use tokio::time::sleep;

impl Run {
    /// Applies one action; does nothing if its process or worker is not there.
    pub async fn apply(&mut self, action: Action) -> Result<(), SoakError> {
        if self.is_not_applicable(action) {
            return Ok(());
        }
        match action {
            Action::Kill(n) => {
                self.mark_stopped(n);
                self.cell.nodes[n].process.kill()?;
            }
            Action::Stop(n) => {
                self.mark_stopped(n);
                self.cell.nodes[n].process.signal("TERM")?;
            }
            Action::Start(n) => self.start(n).await?,
            Action::Pause(n) => self.cell.nodes[n].process.signal("STOP")?,
            Action::Resume(n) => self.cell.nodes[n].process.signal("CONT")?,
            Action::Hangup(n) => self.cell.nodes[n].process.signal("HUP")?,
            Action::Outage(on) => self.update_store_faults(|f| f.outage = on),
            Action::Slow(by) => self.update_store_faults(|f| f.slow_ms = by),
            Action::LoseAnswers(n) => self.update_store_faults(|f| f.lose_answers = n),
            Action::NoHistory(on) => self.update_store_faults(|f| f.no_history = on),
            Action::StorePath(n, mode) => self.cell.nodes[n].store_proxy.set_mode(mode),
            Action::CallerPath(n, mode) => self.cell.nodes[n].caller_proxy.set_mode(mode),
            Action::WorkerPath(w, mode) => self.cell.workers[w].proxy.set_mode(mode),
            Action::CutOff(w, is_cut_off) => self.cell.set_cut_off(w, is_cut_off),
            Action::CrashWorker(w) => self.cell.restart_worker(w),
            Action::DrainWorker(w) => {
                let id = self.cell.drain_worker(w);
                self.drained_workers.insert(id, w);
            }
            Action::ReplaceWorker(w) => {
                self.cell.remove_worker(w);
                self.cell.add_worker(&mut self.rng).await?;
            }
            Action::Configure => {
                self.cell.write_next_config();
                self.newest_config_version.store(self.cell.config_version, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    /// Returns true if the action's process is down or its worker was removed.
    fn is_not_applicable(&self, action: Action) -> bool {
        match action {
            Action::Stop(n) | Action::Pause(n) | Action::Resume(n) | Action::Hangup(n) => {
                self.down[n]
            }
            Action::CrashWorker(w) | Action::DrainWorker(w) | Action::ReplaceWorker(w) => {
                self.cell.workers[w].removed
            }
            _ => false,
        }
    }

    /// Records that the run itself stops a process.
    fn mark_stopped(&mut self, node: usize) {
        self.next_process_generation(node);
        self.down[node] = true;
    }

    /// Counts a stop or start: configuration versions read before it say nothing about those after it.
    fn next_process_generation(&self, node: usize) {
        self.process_generations[node].fetch_add(1, Ordering::Relaxed);
    }

    /// Starts a stopped process again, once it has exited.
    async fn start(&mut self, node: usize) -> Result<(), SoakError> {
        if !self.down[node] {
            return Ok(());
        }
        let started_at = Instant::now();
        while self.cell.nodes[node].process.exit_success()?.is_none() {
            // A paused process handles the stop signal only after it was resumed.
            self.cell.nodes[node].process.signal("CONT")?;
            if started_at.elapsed() > READY_TIMEOUT {
                self.violations.push(format!("process n{node} doesn't end after a stop signal"));
                self.cell.nodes[node].process.kill()?;
            }
            sleep(POLL_INTERVAL).await;
        }
        self.next_process_generation(node);
        self.cell.nodes[node].process.restart()?;
        self.down[node] = false;
        Ok(())
    }

    fn update_store_faults(&mut self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.faults);
        self.cell.platform.set_faults(self.faults.clone());
        // The store counts lost answers down itself.
        self.faults.lose_answers = 0;
    }

    /// Ends all failures, and waits until all processes are ready.
    pub async fn end_failures(&mut self) -> Result<(), SoakError> {
        self.disruptions.end_all(self.cell.platform.now());
        self.update_store_faults(|f| *f = Faults::default());
        for node in &self.cell.nodes {
            node.store_proxy.set_mode(Mode::Pass);
            node.caller_proxy.set_mode(Mode::Pass);
        }
        self.cell.workers.iter().for_each(|w| w.proxy.set_mode(Mode::Pass));
        (0..self.cell.workers.len()).for_each(|w| self.cell.set_cut_off(w, false));
        for n in 0..self.cell.nodes.len() {
            if self.down[n] {
                self.start(n).await?;
            } else {
                self.cell.nodes[n].process.signal("CONT")?;
            }
        }
        self.wait_until_ready().await
    }
}
