//! The working state of one placement pass: the candidate workers and what the pass leaves free.

use crate::advice::{AdviceRequest, is_half_full};
use crate::candidate::CandidateWorker;
use crate::reservation::StartPlan;
use crate::urgency::WaitingStep;
use crate::workers::WorkerIdx;
use hollowford_core::{Millis, Resources};
use rustc_hash::FxHashMap;
use std::rc::Rc;
use std::sync::Arc;

/// The working state of one pass over the waiting steps.
pub(crate) struct Pass {
    pub now: Millis,
    /// Whether steps that have asked for advice before may ask again in this pass.
    pub may_ask_again: bool,
    /// Workers that may get tasks, with the resources that the pass leaves free.
    pub candidates: Vec<CandidateWorker>,
    /// Position of each worker in `candidates`.
    positions: FxHashMap<WorkerIdx, usize>,
    /// Largest free amount of each resource on any candidate when the pass began. A task that
    /// exceeds it fits nowhere.
    max_free: Resources,
    /// Racks of the candidates, computed on first use.
    racks: Option<Rc<[Arc<str>]>>,
    /// Number of steps with reserved capacity.
    pub reservations: usize,
    /// Gangs with a pending advice call. They may make another one after all other steps had their
    /// turn.
    pub deferred_gangs: Vec<(WaitingStep, Option<StartPlan>)>,
    /// Steps that still wait, in pools where calls for advice are made after all steps had their
    /// turn; the most urgent first.
    pub advice_requests: Vec<AdviceRequest>,
    /// Whether each pool was at least half full when the pass first asked.
    half_full: Vec<(Arc<str>, bool)>,
}

impl Pass {
    /// Begins a pass over the given candidates.
    pub fn new(now: Millis, may_ask_again: bool, mut candidates: Vec<CandidateWorker>) -> Pass {
        if candidates.iter().any(|c| c.learned_slowness != 1.0) {
            candidates.iter_mut().for_each(|c| c.uneven = true);
        }
        let positions = candidates.iter().enumerate().map(|(at, c)| (c.idx, at)).collect();
        let max_free =
            candidates.iter().fold(Resources::default(), |max, c| max.component_max(&c.free));
        Pass {
            now,
            may_ask_again,
            candidates,
            positions,
            max_free,
            racks: None,
            reservations: 0,
            deferred_gangs: Vec::new(),
            advice_requests: Vec::new(),
            half_full: Vec::new(),
        }
    }

    /// Returns true if at least half of a pool was in use when this was first called in the pass.
    pub fn is_half_full(&mut self, pool: &Arc<str>) -> bool {
        if let Some((_, known)) = self.half_full.iter().find(|(p, _)| p == pool) {
            return *known;
        }
        let half_full = is_half_full(&self.candidates, pool);
        self.half_full.push((pool.clone(), half_full));
        half_full
    }

    /// Returns the position of a worker among the candidates, if it is one.
    pub fn position_of(&self, idx: WorkerIdx) -> Option<usize> {
        self.positions.get(&idx).copied()
    }

    /// Returns true if a task with these resources may fit on some candidate.
    pub fn may_fit(&self, need: &Resources) -> bool {
        need.fits(&self.max_free)
    }

    /// Returns the distinct racks of the candidates, sorted by name.
    pub fn racks(&mut self) -> Rc<[Arc<str>]> {
        let candidates = &self.candidates;
        self.racks.get_or_insert_with(|| racks_of(candidates)).clone()
    }
}

fn racks_of(candidates: &[CandidateWorker]) -> Rc<[Arc<str>]> {
    let mut racks: Vec<_> = candidates.iter().filter_map(|c| c.rack.clone()).collect();
    racks.sort_unstable();
    racks.dedup();
    racks.into()
}
