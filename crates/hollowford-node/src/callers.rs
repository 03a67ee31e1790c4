//! Handles callers' requests at the owner and keeps those that wait for the store.

use crate::inbox::Reply;
use crate::wire::{Call, Said, Verb};
use hollowford_core::Millis;
use hollowford_jobs::{CancelAnswer, Engine, JobId, JobState, SubmitAnswer, decode_spec};
use std::collections::HashMap;
use std::sync::Arc;

/// How long before its time limit a caller is answered, so that the answer arrives in time.
const ANSWER_MARGIN: Millis = Millis(20);
/// Time limit for callers that set none.
const DEFAULT_CALL_TIMEOUT: Millis = Millis(1_200);
/// How long a state request waits for a decided end of the job to be committed. A caller that gets
/// an older state asks again much later.
const MAX_STATE_WAIT: Millis = Millis(150);

/// A request that waits to be committed.
#[derive(Debug)]
struct WaitingCall {
    id: u64,
    verb: Verb,
    reply: Reply,
    /// When the request is answered even if it is not committed.
    deadline: Millis,
}

impl WaitingCall {
    /// Answers a state request with the committed state, and any other request with `said`.
    fn answer(self, engine: &Engine, job: JobId, said: Said) {
        match engine.state(job).filter(|_| self.verb == Verb::State) {
            Some(state) => self.reply.send(self.id, Said::Value, state.code().into()),
            None => self.reply.send(self.id, said, 0),
        }
    }
}

/// Waiting requests by job.
#[derive(Debug, Default)]
pub struct WaitingCalls {
    by_job: HashMap<JobId, Vec<WaitingCall>>,
}

impl WaitingCalls {
    /// Returns true if no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }

    /// Handles a call. Answers it at once or once its batch is committed. Refuses a new job unless
    /// `admitted` is true.
    pub fn handle(
        &mut self,
        engine: &mut Engine,
        call: Call,
        reply: Reply,
        admitted: bool,
        now: Millis,
    ) {
        let job = JobId(call.job);
        let verb = call.verb();
        if verb != Verb::Waiting && !engine.may_access(job, &call.account) {
            // Other accounts' jobs are not disclosed, except that submitting an id in use is
            // rejected.
            let said = if verb == Verb::Submit { Said::NotYours } else { Said::NoJob };
            return reply.send(call.id, said, 0);
        }
        let said = match verb {
            // The end of the job is being written, which takes a few milliseconds.
            Verb::State if engine.is_ending(job) => None,
            Verb::State => match engine.state(job) {
                Some(state) => return reply.send(call.id, Said::Value, state.code().into()),
                None => Some(Said::NoJob),
            },
            Verb::Waiting => {
                return reply.send(call.id, Said::Value, engine.waiting_jobs(&call.queue) as u64);
            }
            Verb::Cancel => match engine.cancel(job, now) {
                CancelAnswer::Ended => Some(Said::Done),
                CancelAnswer::UnknownJob => Some(Said::NoJob),
                CancelAnswer::Pending => None,
            },
            Verb::Submit if !admitted && engine.is_durable(job).is_none() => {
                Some(Said::Unavailable)
            }
            Verb::Submit => submit(engine, job, &call, now),
        };
        match said {
            Some(said) => reply.send(call.id, said, 0),
            None => {
                let deadline = now + call_timeout(&call);
                let waiting = WaitingCall { id: call.id, verb, reply, deadline };
                self.by_job.entry(job).or_default().push(waiting);
            }
        }
    }

    /// Answers the requests that are committed now.
    pub fn answer_committed(&mut self, engine: &Engine) {
        self.by_job.retain(|&job, calls| {
            let state = engine.state(job);
            let ended = state.is_some_and(JobState::is_final);
            let durable = engine.is_durable(job) == Some(true);
            let ready = |w: &mut WaitingCall| if w.verb == Verb::Submit { durable } else { ended };
            for w in calls.extract_if(.., ready) {
                w.answer(engine, job, Said::Done);
            }
            !calls.is_empty()
        });
    }

    /// Answers the requests whose deadline has passed: with `Unavailable` if the job was not sent
    /// to the store, otherwise with `Unsure`, or with the committed state.
    pub fn answer_expired(&mut self, engine: &mut Engine, now: Millis) {
        if self.by_job.is_empty() {
            return;
        }
        let mut unsent = Vec::new();
        self.by_job.retain(|&job, calls| {
            let expired = |w: &WaitingCall| w.deadline <= now;
            if calls.iter().any(|w| w.verb == Verb::Submit && expired(w)) && engine.withdraw(job) {
                unsent.push(job);
                return true;
            }
            for w in calls.extract_if(.., |w| expired(w)) {
                w.answer(engine, job, Said::Unsure);
            }
            !calls.is_empty()
        });
        unsent.into_iter().for_each(|job| self.refuse(job));
    }

    /// Refuses all requests for a job that was withdrawn.
    pub fn refuse(&mut self, job: JobId) {
        for w in self.by_job.remove(&job).unwrap_or_default() {
            w.reply.send(w.id, Said::Unavailable, 0);
        }
    }

    /// Answers all waiting calls with `Deposed` because this owner has lost the partition.
    pub fn answer_deposed(&mut self) {
        for w in self.by_job.drain().flat_map(|(_, calls)| calls) {
            w.reply.send(w.id, Said::Deposed, 0);
        }
    }
}

/// Returns how long a call may wait for the store to commit what it asks for.
pub fn call_timeout(call: &Call) -> Millis {
    if call.verb() == Verb::State { MAX_STATE_WAIT } else { caller_timeout(call) }
}

/// Returns how long the caller waits for its answer.
pub fn caller_timeout(call: &Call) -> Millis {
    match call.limit_ms {
        0 => DEFAULT_CALL_TIMEOUT,
        ms => Millis(ms).since(ANSWER_MARGIN),
    }
}

fn submit(engine: &mut Engine, job: JobId, call: &Call, now: Millis) -> Option<Said> {
    let spec = match decode_spec(&call.spec) {
        Ok(spec) => Arc::new(spec),
        Err(e) => {
            log::error!("job.malformed job={job} error=\"{e}\"");
            return Some(Said::Unavailable);
        }
    };
    match engine.submit(job, &call.account, &call.queue, spec, now) {
        SubmitAnswer::Durable => Some(Said::Done),
        SubmitAnswer::Pending => None,
        SubmitAnswer::UnknownQueue => Some(Said::NoQueue),
        SubmitAnswer::OtherAccount => Some(Said::NotYours),
    }
}
