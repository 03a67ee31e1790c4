//! Messages about calls to workers that the owner has its members make.
//!
//! A frame holds many calls, and each template once, since the tasks of a step share theirs.

use hollowford_adapter::Called;
use hollowford_core::Millis;
use hollowford_jobs::{
    End, EndKind, JobId, Look, LookAnswer, Running, StartAnswer, StepKey, TaskKey, WorkerCall,
};
use prost::{Enumeration, Message, Oneof};
use std::sync::Arc;

/// Calls that a member is to make.
#[derive(Clone, PartialEq, Message)]
pub struct Delegated {
    /// Epoch of the owner, which is the fence of the calls.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Templates of the starts.
    #[prost(string, repeated, tag = "2")]
    pub templates: Vec<String>,
    /// The calls.
    #[prost(message, repeated, tag = "3")]
    pub calls: Vec<DelegatedCall>,
}

/// One of them.
#[derive(Clone, PartialEq, Message)]
pub struct DelegatedCall {
    /// Matches the outcome to the call, on one link.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// How long to wait for the answer, beyond the time that the call itself lets the worker
    /// wait, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub limit_ms: u64,
    /// The worker.
    #[prost(string, tag = "3")]
    pub worker: String,
    /// Its address.
    #[prost(string, tag = "4")]
    pub address: String,
    /// What is asked of it.
    #[prost(oneof = "What", tags = "5, 6, 7, 8")]
    pub what: Option<What>,
}

/// What is asked of a worker.
#[derive(Clone, PartialEq, Oneof)]
pub enum What {
    /// Start a task.
    #[prost(message, tag = "5")]
    Start(StartCall),
    /// Stop a task.
    #[prost(message, tag = "6")]
    Stop(TaskRun),
    /// Let a task work at a share of its full pace.
    #[prost(message, tag = "7")]
    Pace(PaceCall),
    /// Renew the lease and list what runs and has ended.
    #[prost(message, tag = "8")]
    Look(LookCall),
}

/// One start of a task.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct TaskRun {
    #[prost(fixed64, tag = "1")]
    job: u64,
    #[prost(uint32, tag = "2")]
    round: u32,
    #[prost(uint32, tag = "3")]
    step: u32,
    #[prost(uint32, tag = "4")]
    index: u32,
    #[prost(uint32, tag = "5")]
    run: u32,
}

/// See [`WorkerCall::Start`].
#[derive(Clone, PartialEq, Message)]
pub struct StartCall {
    #[prost(message, required, tag = "1")]
    run: TaskRun,
    #[prost(uint64, tag = "2")]
    lease_until: u64,
    /// Position of the template in the frame.
    #[prost(uint32, tag = "3")]
    template: u32,
    #[prost(string, tag = "4")]
    saved: String,
    #[prost(string, tag = "5")]
    ticket: String,
}

/// See [`WorkerCall::Pace`].
#[derive(Clone, PartialEq, Message)]
pub struct PaceCall {
    #[prost(message, required, tag = "1")]
    run: TaskRun,
    #[prost(uint32, tag = "2")]
    percent: u32,
}

/// See [`WorkerCall::Look`].
#[derive(Clone, PartialEq, Message)]
pub struct LookCall {
    #[prost(uint64, optional, tag = "1")]
    lease_until: Option<u64>,
    #[prost(uint64, tag = "2")]
    forget: u64,
    #[prost(uint64, tag = "3")]
    wait_ms: u64,
}

/// What came of calls.
#[derive(Clone, PartialEq, Message)]
pub struct Outcomes {
    /// One for each call, or two for one that was answered after its time limit.
    #[prost(message, repeated, tag = "1")]
    pub list: Vec<Outcome>,
}

/// What came of one call.
#[derive(Clone, PartialEq, Message)]
pub struct Outcome {
    /// The call's.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What the worker said.
    #[prost(oneof = "OutcomeOf", tags = "2, 3, 4, 5")]
    pub of: Option<OutcomeOf>,
}

/// What came of a call, by its kind.
#[derive(Clone, PartialEq, Oneof)]
pub enum OutcomeOf {
    /// Of a start.
    #[prost(message, tag = "2")]
    Start(StartOutcome),
    /// Of a stop: whether it was answered.
    #[prost(bool, tag = "3")]
    Stop(bool),
    /// Of a pace: whether it was answered.
    #[prost(bool, tag = "4")]
    Pace(bool),
    /// Of a look.
    #[prost(message, tag = "5")]
    Look(LookOutcome),
}

/// See [`StartAnswer`].
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StartOutcome {
    #[prost(enumeration = "StartSaid", tag = "1")]
    said: i32,
    #[prost(uint64, tag = "2")]
    clock: u64,
}

/// The kinds of [`StartAnswer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum StartSaid {
    /// No answer.
    Unanswered = 0,
    /// It runs.
    Runs = 1,
    /// A newer owner has claimed the worker.
    Fenced = 2,
    /// The run has been stopped or has ended.
    Old = 3,
    /// The lease was over.
    Late = 4,
    /// No room.
    NoRoom = 5,
    /// The ticket is not valid.
    Ticket = 6,
    /// The worker is not well.
    Unhealthy = 7,
    /// Another life answered.
    OtherLife = 8,
    /// Not understood.
    Invalid = 9,
}

/// See [`LookAnswer`].
#[derive(Clone, PartialEq, Message)]
pub struct LookOutcome {
    #[prost(enumeration = "LookSaid", tag = "1")]
    said: i32,
    #[prost(uint64, tag = "2")]
    clock: u64,
    #[prost(message, repeated, tag = "3")]
    running: Vec<RunningTask>,
    #[prost(message, repeated, tag = "4")]
    ended: Vec<EndedTask>,
}

/// The kinds of [`LookAnswer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum LookSaid {
    /// No answer.
    Unanswered = 0,
    /// The lists.
    Lists = 1,
    /// Another life answered.
    OtherLife = 2,
    /// A newer owner has claimed the worker.
    Fenced = 3,
}

/// See [`Running`].
#[derive(Clone, PartialEq, Message)]
pub struct RunningTask {
    #[prost(message, required, tag = "1")]
    run: TaskRun,
    #[prost(string, tag = "2")]
    saved: String,
    #[prost(uint32, tag = "3")]
    progress: u32,
    #[prost(uint32, tag = "4")]
    load: u32,
}

/// See [`End`].
#[derive(Clone, PartialEq, Message)]
pub struct EndedTask {
    #[prost(message, required, tag = "1")]
    run: TaskRun,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(enumeration = "EndedHow", tag = "3")]
    how: i32,
    #[prost(string, tag = "4")]
    saved: String,
}

/// The kinds of [`EndKind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum EndedHow {
    /// Well.
    Done = 0,
    /// By a fault.
    Failed = 1,
    /// By an order.
    Stopped = 2,
    /// Its lease was over.
    Lapsed = 3,
    /// Another member ended.
    Broken = 4,
    /// Its gang was not complete in time.
    Alone = 5,
}

/// What is wrong with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DelegateError {
    /// A part that every such message has is missing.
    #[error("a call without content")]
    Empty,
    /// It names a template that the frame doesn't hold.
    #[error("a start without its template")]
    Template,
}

impl TaskRun {
    fn new(task: TaskKey, run: u32) -> TaskRun {
        let TaskKey { step: StepKey { job, round, step }, index } = task;
        TaskRun { job: job.0, round, step, index, run }
    }

    fn task(&self) -> TaskKey {
        let step = StepKey { job: JobId(self.job), round: self.round, step: self.step };
        step.task(self.index)
    }
}

impl Delegated {
    /// Makes an empty frame of calls of the owner at `epoch`.
    pub fn new(epoch: u64) -> Delegated {
        Delegated { epoch, templates: Vec::new(), calls: Vec::new() }
    }

    /// Adds a call.
    pub fn add(&mut self, id: u64, call: &WorkerCall, limit: Millis) {
        let what = match call {
            WorkerCall::Start { task, run, lease_until, template, saved, ticket, .. } => {
                What::Start(StartCall {
                    run: TaskRun::new(*task, *run),
                    lease_until: *lease_until,
                    template: self.template(template),
                    saved: saved.to_string(),
                    ticket: ticket.to_string(),
                })
            }
            WorkerCall::Stop { task, run, .. } => What::Stop(TaskRun::new(*task, *run)),
            WorkerCall::Pace { task, run, percent, .. } => {
                What::Pace(PaceCall { run: TaskRun::new(*task, *run), percent: *percent })
            }
            WorkerCall::Look { lease_until, forget, wait, .. } => {
                What::Look(LookCall { lease_until: *lease_until, forget: *forget, wait_ms: wait.0 })
            }
        };
        self.calls.push(DelegatedCall {
            id,
            limit_ms: limit.0,
            worker: call.worker().as_str().to_owned(),
            address: call.address().to_string(),
            what: Some(what),
        });
    }

    /// Returns the position of a template, which is added unless it was the last one.
    fn template(&mut self, template: &Arc<str>) -> u32 {
        if self.templates.last().is_none_or(|t| **t != **template) {
            self.templates.push(template.to_string());
        }
        self.templates.len() as u32 - 1
    }
}

impl DelegatedCall {
    /// Reads the call, with the templates of its frame.
    ///
    /// # Errors
    /// When a part is missing.
    pub fn read(&self, templates: &[Arc<str>]) -> Result<WorkerCall, DelegateError> {
        let worker = self.worker.as_str().into();
        let address = self.address.as_str().into();
        Ok(match self.what.as_ref().ok_or(DelegateError::Empty)? {
            What::Start(s) => WorkerCall::Start {
                worker,
                address,
                task: s.run.task(),
                run: s.run.run,
                lease_until: s.lease_until,
                template: templates
                    .get(s.template as usize)
                    .cloned()
                    .ok_or(DelegateError::Template)?,
                saved: s.saved.as_str().into(),
                ticket: s.ticket.as_str().into(),
            },
            What::Stop(r) => WorkerCall::Stop { worker, address, task: r.task(), run: r.run },
            What::Pace(p) => WorkerCall::Pace {
                worker,
                address,
                task: p.run.task(),
                run: p.run.run,
                percent: p.percent,
            },
            What::Look(l) => WorkerCall::Look {
                worker,
                address,
                lease_until: l.lease_until,
                forget: l.forget,
                wait: Millis(l.wait_ms),
            },
        })
    }
}

impl Outcome {
    /// Makes the outcome of a call.
    pub fn new(id: u64, called: &Called) -> Outcome {
        let of = match called {
            Called::Start(answer) => OutcomeOf::Start(start_outcome(answer)),
            Called::Stop(answered) => OutcomeOf::Stop(*answered),
            Called::Pace(answered) => OutcomeOf::Pace(*answered),
            Called::Look(answer) => OutcomeOf::Look(look_outcome(answer)),
        };
        Outcome { id, of: Some(of) }
    }

    /// Reads it.
    ///
    /// # Errors
    /// When it has no content.
    pub fn read(self) -> Result<Called, DelegateError> {
        Ok(match self.of.ok_or(DelegateError::Empty)? {
            OutcomeOf::Start(s) => Called::Start(start_answer(s)),
            OutcomeOf::Stop(answered) => Called::Stop(answered),
            OutcomeOf::Pace(answered) => Called::Pace(answered),
            OutcomeOf::Look(l) => Called::Look(look_answer(l)),
        })
    }
}

fn start_outcome(answer: &StartAnswer) -> StartOutcome {
    let (said, clock) = match answer {
        StartAnswer::Runs(clock) => (StartSaid::Runs, *clock),
        StartAnswer::Fenced => (StartSaid::Fenced, 0),
        StartAnswer::Old => (StartSaid::Old, 0),
        StartAnswer::Late => (StartSaid::Late, 0),
        StartAnswer::NoRoom => (StartSaid::NoRoom, 0),
        StartAnswer::Ticket => (StartSaid::Ticket, 0),
        StartAnswer::Unhealthy => (StartSaid::Unhealthy, 0),
        StartAnswer::OtherLife => (StartSaid::OtherLife, 0),
        StartAnswer::Invalid => (StartSaid::Invalid, 0),
        StartAnswer::Unanswered => (StartSaid::Unanswered, 0),
    };
    StartOutcome { said: said as i32, clock }
}

fn start_answer(outcome: StartOutcome) -> StartAnswer {
    match outcome.said() {
        StartSaid::Runs => StartAnswer::Runs(outcome.clock),
        StartSaid::Fenced => StartAnswer::Fenced,
        StartSaid::Old => StartAnswer::Old,
        StartSaid::Late => StartAnswer::Late,
        StartSaid::NoRoom => StartAnswer::NoRoom,
        StartSaid::Ticket => StartAnswer::Ticket,
        StartSaid::Unhealthy => StartAnswer::Unhealthy,
        StartSaid::OtherLife => StartAnswer::OtherLife,
        StartSaid::Invalid => StartAnswer::Invalid,
        StartSaid::Unanswered => StartAnswer::Unanswered,
    }
}

fn look_outcome(answer: &LookAnswer) -> LookOutcome {
    let said = match answer {
        LookAnswer::Lists(look) => return lists(look),
        LookAnswer::OtherLife => LookSaid::OtherLife,
        LookAnswer::Fenced => LookSaid::Fenced,
        LookAnswer::Unanswered => LookSaid::Unanswered,
    };
    LookOutcome { said: said as i32, ..LookOutcome::default() }
}

fn lists(look: &Look) -> LookOutcome {
    let running = |r: &Running| RunningTask {
        run: TaskRun::new(r.task, r.run),
        saved: r.saved.to_string(),
        progress: r.progress,
        load: r.load,
    };
    let ended = |e: &End| EndedTask {
        run: TaskRun::new(e.task, e.run),
        number: e.number,
        how: ended_how(e.kind) as i32,
        saved: e.saved.to_string(),
    };
    LookOutcome {
        said: LookSaid::Lists as i32,
        clock: look.clock,
        running: look.running.iter().map(running).collect(),
        ended: look.ended.iter().map(ended).collect(),
    }
}

fn look_answer(outcome: LookOutcome) -> LookAnswer {
    match outcome.said() {
        LookSaid::Unanswered => return LookAnswer::Unanswered,
        LookSaid::OtherLife => return LookAnswer::OtherLife,
        LookSaid::Fenced => return LookAnswer::Fenced,
        LookSaid::Lists => {}
    }
    let running = |r: &RunningTask| Running {
        task: r.run.task(),
        run: r.run.run,
        saved: r.saved.as_str().into(),
        progress: r.progress,
        load: r.load,
    };
    let ended = |e: &EndedTask| End {
        number: e.number,
        task: e.run.task(),
        run: e.run.run,
        kind: end_kind(e.how()),
        saved: e.saved.as_str().into(),
    };
    LookAnswer::Lists(Look {
        clock: outcome.clock,
        running: outcome.running.iter().map(running).collect(),
        ended: outcome.ended.iter().map(ended).collect(),
    })
}

fn ended_how(kind: EndKind) -> EndedHow {
    match kind {
        EndKind::Done => EndedHow::Done,
        EndKind::Failed => EndedHow::Failed,
        EndKind::Stopped => EndedHow::Stopped,
        EndKind::Lapsed => EndedHow::Lapsed,
        EndKind::Broken => EndedHow::Broken,
        EndKind::Alone => EndedHow::Alone,
    }
}

fn end_kind(how: EndedHow) -> EndKind {
    match how {
        EndedHow::Done => EndKind::Done,
        EndedHow::Failed => EndKind::Failed,
        EndedHow::Stopped => EndKind::Stopped,
        EndedHow::Lapsed => EndKind::Lapsed,
        EndedHow::Broken => EndKind::Broken,
        EndedHow::Alone => EndKind::Alone,
    }
}
