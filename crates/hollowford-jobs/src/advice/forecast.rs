//! Free capacity that waiting steps can expect, worker by worker and in total.
//!
//! A pass fills the forecast with what it has left free and with the expected ends of held tasks.
//! The waiting steps then claim the capacity that they will use, the most urgent first, so that a
//! less urgent step doesn't call for advice about workers that others will fill.

use crate::candidate::fit_count;
use hollowford_core::{Millis, Resources, Totals};

/// The expected capacity of one worker.
#[derive(Debug)]
struct WorkerForecast {
    free: Resources,
    /// Position after the worker's last entry in [`Forecast::ends`].
    ends_until: usize,
    claimed: Resources,
    /// Reserved for more urgent gangs and large tasks.
    reserved: Resources,
    /// Time at which the first of the reservations is expected to be used.
    reserved_from: Millis,
}

/// A task that is to be placed, and when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    pub need: Resources,
    /// Latest time at which the task may start.
    pub until: Millis,
    pub run_time: Millis,
}

/// Capacity that is free or expected to become free, by the workers' positions in the pass.
#[derive(Debug, Default)]
pub(crate) struct Forecast {
    workers: Vec<WorkerForecast>,
    /// Expected ends of the workers' tasks, worker by worker and in order of time.
    ends: Vec<(Millis, Resources)>,
    /// Capacity of all workers that is free or expected to become free, minus claims and
    /// reservations. An upper bound of what any step can use.
    total: Totals,
    /// The workers' capacity by the times that steps have asked about, without claims and
    /// reservations.
    rooms: Vec<(Millis, Vec<Resources>)>,
    /// Needs for which no worker has capacity by a time. Claims and reservations only grow.
    refused: Vec<(Resources, Millis)>,
}

impl Forecast {
    /// Returns false if no worker is expected to have capacity for one task in time. Many waiting
    /// steps have the same needs, so that most answers come from an earlier one.
    pub fn has_room(&mut self, demand: &Demand) -> bool {
        let Demand { need, until, .. } = *demand;
        let is_refused = |&(refused, by): &(Resources, Millis)| refused.fits(&need) && until <= by;
        if !self.may_hold(&need, 1) || self.refused.iter().any(is_refused) {
            return false;
        }
        if !self.rooms.iter().any(|&(at, _)| at == until) {
            let room = (0..self.workers.len()).map(|at| self.sum_until(at, until)).collect();
            self.rooms.push((until, room));
        }
        // Reservations are left out, since whether they are in the way depends on the run time.
        let has_room =
            |at: usize| need.fits(&self.room(at, until).minus(&self.workers[at].claimed));
        let found = (0..self.workers.len()).any(has_room);
        if !found {
            self.refused.push((need, until));
        }
        found
    }

    /// Returns the capacity of a worker that is free or becomes free by `until`.
    fn room(&self, at: usize, until: Millis) -> Resources {
        let known = self.rooms.iter().find(|&&(by, _)| by == until);
        known.map_or_else(|| self.sum_until(at, until), |(_, room)| room[at])
    }

    fn sum_until(&self, at: usize, until: Millis) -> Resources {
        let from = at.checked_sub(1).map_or(0, |before| self.workers[before].ends_until);
        let w = &self.workers[at];
        let in_time = self.ends[from..w.ends_until].iter().take_while(|(end, _)| *end <= until);
        in_time.fold(w.free, |sum, (_, allocation)| sum.plus(allocation))
    }

    /// Adds the next worker: its free resources, and the expected ends of its tasks up to the
    /// latest time that any step asks about.
    pub fn add_worker(
        &mut self,
        free: Resources,
        ends: impl IntoIterator<Item = (Millis, Resources)>,
    ) {
        let from = self.ends.len();
        self.ends.extend(ends);
        self.ends[from..].sort_unstable_by_key(|&(end, _)| end);
        self.total.add(&free);
        for (_, allocation) in &self.ends[from..] {
            self.total.add(allocation);
        }
        self.workers.push(WorkerForecast {
            free,
            ends_until: self.ends.len(),
            claimed: Resources::default(),
            reserved: Resources::default(),
            reserved_from: Millis(0),
        });
    }

    /// Returns false if `count` tasks exceed even the sum of all unclaimed capacity.
    pub fn may_hold(&self, need: &Resources, count: u32) -> bool {
        let (needed, total) = (Totals::of(need, count), &self.total);
        needed.component_min(total) == needed
    }

    /// Returns how many tasks are expected to find capacity on the worker at `at` in time.
    pub fn slots(&self, at: usize, demand: &Demand) -> u32 {
        let Some(w) = self.workers.get(at) else { return 0 };
        let mut room = self.room(at, demand.until).minus(&w.claimed);
        if demand.until + demand.run_time > w.reserved_from {
            room = room.minus(&w.reserved);
        }
        fit_count(&demand.need, &room)
    }

    /// Claims capacity on a worker for tasks that are expected to start there.
    pub fn claim(&mut self, at: usize, need: &Resources, count: u32) {
        let Some(w) = self.workers.get_mut(at) else { return };
        for _ in 0..count {
            w.claimed = w.claimed.plus(need);
            self.total.sub(need);
        }
    }

    /// Reserves capacity on a worker for a task that is expected to start at `start`.
    pub fn reserve(&mut self, at: usize, need: &Resources, start: Millis) {
        let Some(w) = self.workers.get_mut(at) else { return };
        let is_first = w.reserved == Resources::default();
        w.reserved = w.reserved.plus(need);
        w.reserved_from = if is_first { start } else { w.reserved_from.min(start) };
        self.total.sub(need);
    }
}
