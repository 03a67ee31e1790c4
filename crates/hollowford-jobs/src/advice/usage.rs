//! Whether answers of the advice service are used: a task of the step starts while its tickets are
//! valid.

use crate::engine::Engine;
use crate::event::Event;
use crate::spec::StepKey;
use hollowford_core::Millis;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;

/// Answers whose tickets are valid and that no start has followed yet.
#[derive(Debug, Default)]
pub(crate) struct OpenAnswers {
    /// The end of the validity and the number of named workers of each answer, by step.
    by_step: FxHashMap<StepKey, Vec<(Millis, usize)>>,
    /// The steps by the end of their answers' validity.
    by_end: BTreeSet<(Millis, StepKey)>,
}

impl OpenAnswers {
    /// Records an answer about `asked` workers.
    pub fn answered(&mut self, step: StepKey, asked: usize, valid_until: Millis) {
        self.by_step.entry(step).or_default().push((valid_until, asked));
        self.by_end.insert((valid_until, step));
    }

    /// Records a start of a step. Returns how many answers it uses.
    pub fn started(&mut self, step: StepKey) -> usize {
        let answers = self.by_step.remove(&step).unwrap_or_default();
        for &(valid_until, _) in &answers {
            self.by_end.remove(&(valid_until, step));
        }
        answers.len()
    }

    /// Removes the answers whose tickets have lapsed, and returns the step and the number of named
    /// workers of each.
    pub fn take_lapsed(&mut self, now: Millis) -> Vec<(StepKey, usize)> {
        let mut out = Vec::new();
        while let Some(&(at, step)) = self.by_end.first().filter(|(at, _)| *at <= now) {
            self.by_end.pop_first();
            let Some(answers) = self.by_step.get_mut(&step) else { continue };
            out.extend(answers.extract_if(.., |a| a.0 == at).map(|(_, asked)| (step, asked)));
            if answers.is_empty() {
                self.by_step.remove(&step);
            }
        }
        out
    }
}

impl Engine {
    /// Records that a task of a step starts, which uses the step's answers.
    pub(crate) fn advice_used(&mut self, key: StepKey) {
        let used = self.open_answers.started(key);
        if used == 0 {
            return;
        }
        self.stats.used_answers += used as u64;
        if let Some(step) = self.jobs.step_mut(key) {
            step.advice.unused_answers = 0;
        }
    }

    /// Records the answers whose tickets have lapsed without a start.
    pub(crate) fn expire_unused_advice(&mut self, now: Millis) {
        for (key, asked) in self.open_answers.take_lapsed(now) {
            self.stats.unused_answers += 1;
            if let Some(step) = self.jobs.step_mut(key) {
                step.advice.unused_answers += 1;
            }
            self.events.push(Event::AdviceUnused { step: key, asked });
        }
    }
}
