//! What an account uses of a pool now and what it was served recently.

use hollowford_core::{Millis, Resources, Totals};

/// Half-life of the served resources. It exceeds the run time of the longest usual tasks, 6 s, so
/// that an account whose gang has just ended isn't served again as if it had got nothing.
const HALF_LIFE: Millis = Millis(8_000);

/// Current and recent usage of one account in one pool.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Resources of the tasks that it holds now.
    pub current: Totals,
    /// Exponentially decayed mean of `current`: processors, memory, accelerators.
    served: [f64; 3],
}

impl Usage {
    /// Adds the usage since the last update, `elapsed` ago, to the served resources.
    pub fn update_served(&mut self, elapsed: Millis) {
        let decay = decay_after(elapsed);
        for (served, used) in self.served.iter_mut().zip(amounts(&self.current)) {
            *served = *served * decay + used * (1.0 - decay);
        }
    }

    /// Subtracts what a task has added since it started, `age` ago. Used for runs that were lost
    /// with their worker.
    pub fn refund(&mut self, allocation: &Resources, age: Millis) {
        let added = 1.0 - decay_after(age);
        let task = amounts(&Totals::of(allocation, 1));
        for (served, amount) in self.served.iter_mut().zip(task) {
            *served = (*served - amount * added).max(0.0);
        }
    }

    /// Returns the dominant share of the pool that the account uses now.
    pub fn current_share(&self, capacity: &Totals) -> f64 {
        dominant_share(&amounts(&self.current), capacity)
    }

    /// Returns the dominant share of the pool that the account was served recently, which includes
    /// what it uses now.
    pub fn served_share(&self, capacity: &Totals) -> f64 {
        dominant_share(&self.served, capacity)
    }
}

fn decay_after(elapsed: Millis) -> f64 {
    0.5_f64.powf(elapsed.0 as f64 / HALF_LIFE.0 as f64)
}

fn amounts(t: &Totals) -> [f64; 3] {
    [t.cpu_milli as f64, t.memory_mib as f64, t.accelerators as f64]
}

/// Returns the largest fraction of any resource of `capacity`. Resources that the pool has none of
/// are ignored.
fn dominant_share(used: &[f64; 3], capacity: &Totals) -> f64 {
    let share = |(&used, total): (&f64, f64)| if total > 0.0 { used / total } else { 0.0 };
    used.iter().zip(amounts(capacity)).map(share).fold(0.0, f64::max)
}
