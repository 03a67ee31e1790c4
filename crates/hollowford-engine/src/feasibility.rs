//! Refuses work that can never run, with a message that names what would fit.

use crate::engine::Engine;
use crate::worker::Worker;
use hollowford_core::{Error, ErrorKind, Kind, Resources, Spec, Spread};
use std::collections::{BTreeMap, BTreeSet};

impl Engine {
    /// Checks that the listed instances could run the work if they were empty. As long as
    /// a listed worker is unclaimed, its size is unknown and the work is allowed to wait.
    ///
    /// # Errors
    /// `Impossible` with what would fit.
    pub(crate) fn check_feasible(&self, spec: &Spec) -> Result<(), Error> {
        let is_unclaimed = |w: &Worker| w.listed && !w.leaving && !w.claimed;
        if self.workers.len() == 0 || self.workers.iter().any(|(_, w)| is_unclaimed(w)) {
            return Ok(());
        }
        let possible = if spec.placement.is_unrestricted() {
            self.max_concurrent_tasks(spec) >= u64::from(min_concurrent_tasks(spec))
        } else {
            self.max_concurrent_tasks_constrained(spec) >= u64::from(min_concurrent_tasks(spec))
        };
        if possible {
            return Ok(());
        }
        Err(Error::new(ErrorKind::Impossible, self.impossible_message(spec)))
    }

    fn max_concurrent_tasks(&self, spec: &Spec) -> u64 {
        let capacities = self.workers.capacity_counts().iter();
        capacities.map(|(cap, n)| u64::from(fit_count(&spec.per_task, cap)) * u64::from(*n)).sum()
    }

    fn max_concurrent_tasks_constrained(&self, spec: &Spec) -> u64 {
        let mut per_rack: BTreeMap<&str, u64> = BTreeMap::new();
        let mut fitting = 0;
        let mut racks = BTreeSet::new();
        for (_, w) in self.workers.iter() {
            let n = fit_count(&spec.per_task, &w.capacity);
            if !w.claimed || !w.listed || w.leaving || n == 0 || !placement_allows(spec, w) {
                continue;
            }
            racks.insert(&*w.rack);
            let n = if spec.placement.spread == Spread::Instance { 1 } else { n };
            fitting += u64::from(n);
            *per_rack.entry(&w.rack).or_insert(0) += u64::from(n);
        }
        if spec.placement.same_rack {
            return per_rack.values().copied().max().unwrap_or(0);
        }
        if spec.placement.spread == Spread::Rack { racks.len() as u64 } else { fitting }
    }

    fn impossible_message(&self, spec: &Spec) -> String {
        let capacities = self.workers.capacity_counts().iter().filter(|(_, n)| **n > 0);
        let Some((cap, _)) = capacities.max_by_key(|(c, _)| (c.accelerators, c.cpu_milli)) else {
            return "the partition has no usable instance".to_owned();
        };
        format!(
            "{} tasks of {} mcpu, {} MiB, {} accelerators can't run at the same time; \
             the largest instance has {} mcpu, {} MiB, {} accelerators, and {} such tasks fit \
             within the placement constraints",
            min_concurrent_tasks(spec),
            spec.per_task.cpu_milli,
            spec.per_task.memory_mib,
            spec.per_task.accelerators,
            cap.cpu_milli,
            cap.memory_mib,
            cap.accelerators,
            self.max_concurrent_tasks_constrained(spec)
        )
    }
}

/// Returns the minimum number of tasks of a request that must run at the same time.
fn min_concurrent_tasks(spec: &Spec) -> u32 {
    if spec.kind == Kind::Gang { spec.tasks } else { 1 }
}

/// Returns how many times `need` fits into `available`.
pub(crate) fn fit_count(need: &Resources, available: &Resources) -> u32 {
    let ratio = |n: u32, r: u32| r.checked_div(n).unwrap_or(u32::MAX);
    ratio(need.cpu_milli, available.cpu_milli)
        .min(ratio(need.memory_mib, available.memory_mib))
        .min(ratio(need.accelerators, available.accelerators))
}

/// Returns true if the placement of the request allows the worker's availability zone and
/// does not exclude the instance.
pub(crate) fn placement_allows(spec: &Spec, w: &Worker) -> bool {
    let p = &spec.placement;
    (p.zones.is_empty() || p.zones.contains(&w.zone)) && !p.exclude_instances.contains(&w.id)
}
