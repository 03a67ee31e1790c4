//! One run of the soak, from its seed to its report.

use crate::SoakError;
use crate::callers::{Caller, SharedBook, lock};
use crate::cell::{Cell, Size};
use crate::harm::Harms;
use crate::judge::{ConfigWatch, await_ends, judge_leaving, judge_starts};
use crate::schedule::{Action, Entry, draw};
use hollowford_adapter_standin::{Faults, formats};
use reqwest::Client;
use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Longest time for a process to become ready.
pub(crate) const READY_WITHIN: Duration = Duration::from_secs(60);
/// Between two looks at whether a process is ready, or has ended.
pub(crate) const PAUSE: Duration = Duration::from_millis(20);

/// Where a run's actions are kept beside its logs: the platform's clock in milliseconds, and what
/// was done.
const PLAYED: &str = "played.txt";

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program under test.
    pub program: PathBuf,
    /// How large the cell is.
    pub size: Size,
    /// Callers at a time.
    pub callers: u64,
    /// How long things go wrong, in milliseconds.
    pub span_ms: u64,
    /// Where logs of runs with a finding are kept; none: nowhere.
    pub keep: Option<PathBuf>,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Things that went wrong from outside.
    pub actions: usize,
    /// Jobs handed in.
    pub jobs: usize,
    /// Of these, jobs that were taken.
    pub taken: usize,
    /// Tasks begun.
    pub starts: usize,
    /// Promises that were not kept.
    pub wrong: Vec<String>,
}

/// A run under way.
pub(crate) struct Run {
    pub cell: Cell,
    /// Faults of the store that are in force.
    pub faults: Faults,
    /// Counts what happens to each process, see [`ConfigWatch::life`].
    pub lives: Vec<Arc<AtomicU64>>,
    /// Newest version of the configuration that was written.
    pub newest: Arc<AtomicU64>,
    /// Processes that are down, ended by the run or by themselves.
    pub down: Vec<bool>,
    /// What is wrong, apart from what callers were told.
    pub wrong: Vec<String>,
    /// What was harmed when.
    pub harms: Harms,
    /// Workers that were told to leave, by id, and their numbers.
    pub leavers: HashMap<String, usize>,
    pub rng: fastrand::Rng,
    /// What was done, a line each.
    played: Vec<String>,
}

/// Runs one seed.
///
/// # Errors
/// When the cell can't be started or changed, which says nothing about the program.
pub async fn run_seed(seed: u64, o: &Options) -> Result<Report, SoakError> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let schedule = draw(&mut rng, o.size, o.span_ms);
    let cell = Cell::start(&o.program, o.size, &mut rng).await?;
    let nodes = cell.nodes.len();
    let mut run = Run {
        newest: Arc::new(AtomicU64::new(cell.config)),
        cell,
        faults: Faults::default(),
        lives: (0..nodes).map(|_| Arc::default()).collect(),
        down: vec![false; nodes],
        wrong: Vec::new(),
        harms: Harms::default(),
        leavers: HashMap::new(),
        rng,
        played: Vec::new(),
    };
    run.await_ready().await?;
    let book = SharedBook::default();
    let stop: Arc<AtomicBool> = Arc::default();
    let mut tasks = run.start_callers(o.callers, &book, &stop)?;
    run.play(&schedule).await?;
    run.heal().await?;
    stop.store(true, Ordering::Relaxed);
    while tasks.join_next().await.is_some() {}
    run.finish(seed, schedule.len(), &book, o).await
}

impl Run {
    fn start_callers(
        &mut self,
        callers: u64,
        book: &SharedBook,
        stop: &Arc<AtomicBool>,
    ) -> Result<JoinSet<()>, SoakError> {
        let mut tasks = JoinSet::new();
        let nodes: Vec<_> = self.cell.nodes.iter().map(|n| n.callers.addr).collect();
        for number in 1..=callers {
            let caller = Caller {
                number,
                nodes: nodes.clone(),
                client: client()?,
                rng: self.rng.fork(),
                book: book.clone(),
                platform: self.cell.platform.clone(),
                stop: stop.clone(),
            };
            tasks.spawn(caller.run());
        }
        for (node, life) in nodes.iter().zip(&self.lives) {
            let watch = ConfigWatch {
                node: *node,
                life: life.clone(),
                newest: self.newest.clone(),
                book: book.clone(),
                stop: stop.clone(),
                client: client()?,
            };
            tasks.spawn(watch.run());
        }
        Ok(tasks)
    }

    async fn play(&mut self, schedule: &[Entry]) -> Result<(), SoakError> {
        let began = Instant::now();
        for entry in schedule {
            let at = Duration::from_millis(entry.at_ms);
            sleep(at.saturating_sub(began.elapsed())).await;
            self.check_processes()?;
            self.note_action(entry.action);
            self.act(entry.action).await?;
        }
        Ok(())
    }

    fn note_action(&mut self, action: Action) {
        let now = self.cell.platform.now();
        self.harms.note(action, now);
        self.played.push(format!("{now} {action:?}"));
    }

    /// Notes processes that have ended by themselves.
    fn check_processes(&mut self) -> Result<(), SoakError> {
        for (i, node) in self.cell.nodes.iter_mut().enumerate() {
            if !self.down[i] && node.process.ended()?.is_some() {
                self.down[i] = true;
                self.wrong.push(format!("process n{i} has ended by itself"));
            }
        }
        Ok(())
    }

    /// Waits until all processes are ready, and notes those that don't become so.
    pub async fn await_ready(&mut self) -> Result<(), SoakError> {
        let client = client()?;
        let began = Instant::now();
        for i in 0..self.cell.nodes.len() {
            let url = format!("http://{}{}", self.cell.nodes[i].readiness, formats::READY_PATH);
            loop {
                let answer = client.get(&url).timeout(READY_WITHIN).send().await;
                if answer.is_ok_and(|a| a.status().is_success()) {
                    break;
                }
                if began.elapsed() > READY_WITHIN {
                    self.wrong.push(format!("process n{i} doesn't become ready"));
                    break;
                }
                sleep(PAUSE).await;
            }
        }
        Ok(())
    }

    async fn finish(
        mut self,
        seed: u64,
        actions: usize,
        book: &SharedBook,
        o: &Options,
    ) -> Result<Report, SoakError> {
        let nodes: Vec<_> = self.cell.nodes.iter().map(|n| n.callers.addr).collect();
        let stuck = await_ends(book, &nodes, &client()?).await;
        self.check_processes()?;
        let book = lock(book);
        let mut wrong = std::mem::take(&mut self.wrong);
        wrong.extend(stuck);
        wrong.extend(book.wrong.iter().cloned());
        wrong.extend(self.cell.platform.violations());
        wrong.extend(judge_starts(&self.cell, &book, &self.harms));
        let starts = self.cell.platform.starts_while_leaving();
        wrong.extend(judge_leaving(&starts, &self.leavers, &self.harms));
        if let (false, Some(keep)) = (wrong.is_empty(), &o.keep) {
            let folder = keep.join(format!("seed-{seed}"));
            self.cell.keep_logs(&folder)?;
            std::fs::write(folder.join(PLAYED), self.played.join("\n"))?;
        }
        Ok(Report {
            seed,
            actions,
            jobs: book.jobs.len(),
            taken: book.jobs.values().filter(|t| t.accepted).count(),
            starts: self.cell.platform.starts().len(),
            wrong,
        })
    }
}

fn client() -> Result<Client, SoakError> {
    Ok(Client::builder().no_proxy().build()?)
}
