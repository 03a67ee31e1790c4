//! Conversion between worker calls or their answers and messages.

use super::*;
use hollowford_adapter::WorkerAnswer;
use hollowford_core::Millis;
use hollowford_jobs::{
    End, EndKind, Incarnation, JobId, Look, LookAnswer, Running, StartAnswer, StepKey, TaskKey,
    WorkerCall, WorkerLife,
};
use std::sync::Arc;

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
    /// Creates an empty frame for calls of the owner with this epoch.
    pub fn new(epoch: u64) -> Delegated {
        Delegated { epoch, templates: Vec::new(), calls: Vec::new() }
    }

    pub fn add(&mut self, id: u64, call: &WorkerCall, limit: Millis) {
        let what = match call {
            WorkerCall::Start { task, run, lease_until, template, saved, ticket, .. } => {
                What::Start(StartCall {
                    run: TaskRun::new(*task, *run),
                    lease_until: *lease_until,
                    template: self.template_index(template),
                    saved: saved.to_string(),
                    ticket: ticket.to_string(),
                })
            }
            WorkerCall::Stop { task, run, .. } => What::Stop(TaskRun::new(*task, *run)),
            WorkerCall::Pace { task, run, percent, .. } => {
                What::Pace(PaceCall { run: TaskRun::new(*task, *run), percent: *percent })
            }
            WorkerCall::Look { lease_until, acknowledged, wait, .. } => What::Look(LookCall {
                lease_until: *lease_until,
                acknowledged: *acknowledged,
                wait_ms: wait.0,
            }),
        };
        self.calls.push(DelegatedCall {
            id,
            limit_ms: limit.0,
            worker: call.worker().id().as_str().to_owned(),
            incarnation: call.worker().incarnation().map(|i| i.0),
            address: call.address().to_string(),
            what: Some(what),
        });
    }

    /// Returns the index of a template. Adds it unless it equals the last one.
    fn template_index(&mut self, template: &Arc<str>) -> u32 {
        if self.templates.last().is_none_or(|t| **t != **template) {
            self.templates.push(template.to_string());
        }
        self.templates.len() as u32 - 1
    }
}

impl DelegatedCall {
    /// Converts the message to a call, using the templates of its frame.
    ///
    /// # Errors
    /// Returns an error if the operation is missing or the template is not in the frame.
    pub fn parse(&self, templates: &[Arc<str>]) -> Result<WorkerCall, DelegateError> {
        let incarnation = self.incarnation.map(Incarnation);
        let worker = WorkerLife::new(self.worker.as_str().into(), incarnation);
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
                acknowledged: l.acknowledged,
                wait: Millis(l.wait_ms),
            },
        })
    }
}

impl Outcome {
    /// Creates the message for the outcome of a call.
    pub fn new(id: u64, called: &WorkerAnswer) -> Outcome {
        let of = match called {
            WorkerAnswer::Start(answer) => OutcomeOf::Start(start_outcome(answer)),
            WorkerAnswer::Stop(answered) => OutcomeOf::Stop(*answered),
            WorkerAnswer::Pace(answered) => OutcomeOf::Pace(*answered),
            WorkerAnswer::Look(answer) => OutcomeOf::Look(look_outcome(answer)),
        };
        Outcome { id, of: Some(of) }
    }

    /// Converts the message to the outcome of a call.
    ///
    /// # Errors
    /// Returns an error if the outcome is missing.
    pub fn parse(self) -> Result<WorkerAnswer, DelegateError> {
        Ok(match self.of.ok_or(DelegateError::Empty)? {
            OutcomeOf::Start(s) => WorkerAnswer::Start(start_answer(s)),
            OutcomeOf::Stop(answered) => WorkerAnswer::Stop(answered),
            OutcomeOf::Pace(answered) => WorkerAnswer::Pace(answered),
            OutcomeOf::Look(l) => WorkerAnswer::Look(look_answer(l)),
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
        incarnation: look.incarnation.map(|i| i.0),
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
    let ended: Vec<End> = outcome.ended.iter().map(ended).collect();
    LookAnswer::Lists(Look {
        incarnation: outcome.incarnation.map(Incarnation),
        clock: outcome.clock,
        running: outcome.running.iter().map(running).collect(),
        ends_cut: hollowford_adapter::is_end_list_cut(&ended),
        ended,
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
