//! Callers' requests at the owner, and those that wait for the store.

use crate::inbox::Reply;
use crate::wire::{Call, Said, Verb};
use hollowford_core::Millis;
use hollowford_jobs::{CancelAnswer, Engine, JobId, JobState, SubmitAnswer, decode_spec};
use std::collections::HashMap;
use std::sync::Arc;

/// A caller is answered so long before its time is up, so that the answer reaches it in time.
const WAY_BACK: Millis = Millis(20);
/// How long a caller waits that doesn't tell.
const UNTOLD: Millis = Millis(1_200);
/// A question for a state waits so long for an end that is decided to be in the store, since
/// a caller that is told an older state asks again much later.
const STATE_WITHIN: Millis = Millis(150);

/// A caller that waits until its request is in the store.
#[derive(Debug)]
struct Waiter {
    id: u64,
    verb: Verb,
    reply: Reply,
    /// When it is answered as things stand then.
    until: Millis,
}

impl Waiter {
    /// Answers a question for a state with what is in the store now, anything else with
    /// `said`.
    fn answer(self, engine: &Engine, job: JobId, said: Said) {
        match engine.state(job).filter(|_| self.verb == Verb::State) {
            Some(state) => self.reply.send(self.id, Said::Value, state.code().into()),
            None => self.reply.send(self.id, said, 0),
        }
    }
}

/// Callers that wait, by job.
#[derive(Debug, Default)]
pub struct Waiters {
    by_job: HashMap<JobId, Vec<Waiter>>,
}

impl Waiters {
    /// Tells whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.by_job.is_empty()
    }

    /// Takes a call and answers it, at once or once its batch is made. A new job is refused
    /// unless `admitted`.
    pub fn take(
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
            // Nobody is told of another account's job, nor whether there is one, but by handing in
            // the same id.
            let said = if verb == Verb::Submit { Said::NotYours } else { Said::NoJob };
            return reply.send(call.id, said, 0);
        }
        let said = match verb {
            // Its end is on the way to the store, which takes some milliseconds.
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
                let until = now + patience(&call);
                let waiter = Waiter { id: call.id, verb, reply, until };
                self.by_job.entry(job).or_default().push(waiter);
            }
        }
    }

    /// Answers those whose requests are in the store now.
    pub fn committed(&mut self, engine: &Engine) {
        self.by_job.retain(|&job, waiters| {
            let state = engine.state(job);
            let ended = state.is_some_and(JobState::is_final);
            let kept = engine.is_durable(job) == Some(true);
            let ready = |w: &mut Waiter| if w.verb == Verb::Submit { kept } else { ended };
            for w in waiters.extract_if(.., ready) {
                w.answer(engine, job, Said::Done);
            }
            !waiters.is_empty()
        });
    }

    /// Tells those that have waited for too long that nothing was done, if that is so, or that
    /// the effect is not known, or the state as it is in the store.
    pub fn give_up(&mut self, engine: &mut Engine, now: Millis) {
        if self.by_job.is_empty() {
            return;
        }
        let mut unsent = Vec::new();
        self.by_job.retain(|&job, waiters| {
            let late = |w: &Waiter| w.until <= now;
            if waiters.iter().any(|w| w.verb == Verb::Submit && late(w)) && engine.withdraw(job) {
                unsent.push(job);
                return true;
            }
            for w in waiters.extract_if(.., |w| late(w)) {
                w.answer(engine, job, Said::Unsure);
            }
            !waiters.is_empty()
        });
        unsent.into_iter().for_each(|job| self.refuse(job));
    }

    /// Refuses all that wait for a job that was taken back.
    pub fn refuse(&mut self, job: JobId) {
        for w in self.by_job.remove(&job).unwrap_or_default() {
            w.reply.send(w.id, Said::Unavailable, 0);
        }
    }

    /// Sends all to the next owner.
    pub fn fail_all(&mut self) {
        for w in self.by_job.drain().flat_map(|(_, waiters)| waiters) {
            w.reply.send(w.id, Said::Deposed, 0);
        }
    }
}

/// Returns how long a call may wait for the store.
pub fn patience(call: &Call) -> Millis {
    match (call.verb(), call.limit_ms) {
        (Verb::State, _) => STATE_WITHIN,
        (_, 0) => UNTOLD,
        (_, ms) => Millis(ms).since(WAY_BACK),
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
