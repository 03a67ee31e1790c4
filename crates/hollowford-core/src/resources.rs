//! Amounts of CPU, memory and accelerators.

/// Resources that a task needs or an instance has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub cpu_milli: u32,
    /// Mebibytes of memory.
    pub memory_mib: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// The largest amount of each resource, more than any instance has.
    pub const ALL: Resources =
        Resources { cpu_milli: u32::MAX, memory_mib: u32::MAX, accelerators: u32::MAX };

    /// Creates an amount from thousandths of a core, mebibytes and accelerators.
    pub fn new(cpu_milli: u32, memory_mib: u32, accelerators: u32) -> Resources {
        Resources { cpu_milli, memory_mib, accelerators }
    }

    /// Returns true if no resource of this amount exceeds `available`.
    pub fn fits(&self, available: &Resources) -> bool {
        self.cpu_milli <= available.cpu_milli
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Returns the sum of each resource, saturating at the maximum.
    pub fn plus(&self, rhs: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_add(rhs.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(rhs.memory_mib),
            accelerators: self.accelerators.saturating_add(rhs.accelerators),
        }
    }

    /// Returns the maximum of each resource.
    pub fn component_max(&self, rhs: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.max(rhs.cpu_milli),
            memory_mib: self.memory_mib.max(rhs.memory_mib),
            accelerators: self.accelerators.max(rhs.accelerators),
        }
    }

    /// Returns the difference of each resource, saturating at zero.
    pub fn minus(&self, rhs: &Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(rhs.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(rhs.memory_mib),
            accelerators: self.accelerators.saturating_sub(rhs.accelerators),
        }
    }
}

/// Sum of the resources of several tasks or instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Thousandths of a processor core.
    pub cpu_milli: u64,
    /// Mebibytes of memory.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Totals {
    /// Returns `count` times the amount `r`.
    pub fn of(r: &Resources, count: u32) -> Totals {
        let count = u64::from(count);
        Totals {
            cpu_milli: u64::from(r.cpu_milli) * count,
            memory_mib: u64::from(r.memory_mib) * count,
            accelerators: u64::from(r.accelerators) * count,
        }
    }

    /// Adds another sum to this one.
    pub fn plus(&mut self, rhs: &Totals) {
        self.cpu_milli += rhs.cpu_milli;
        self.memory_mib += rhs.memory_mib;
        self.accelerators += rhs.accelerators;
    }

    /// Returns the minimum of each resource.
    pub fn component_min(&self, rhs: &Totals) -> Totals {
        Totals {
            cpu_milli: self.cpu_milli.min(rhs.cpu_milli),
            memory_mib: self.memory_mib.min(rhs.memory_mib),
            accelerators: self.accelerators.min(rhs.accelerators),
        }
    }

    /// Adds the resources of one task or instance.
    pub fn add(&mut self, r: &Resources) {
        self.cpu_milli += u64::from(r.cpu_milli);
        self.memory_mib += u64::from(r.memory_mib);
        self.accelerators += u64::from(r.accelerators);
    }

    /// Subtracts the resources of one task or instance, saturating at zero.
    pub fn sub(&mut self, r: &Resources) {
        self.cpu_milli = self.cpu_milli.saturating_sub(u64::from(r.cpu_milli));
        self.memory_mib = self.memory_mib.saturating_sub(u64::from(r.memory_mib));
        self.accelerators = self.accelerators.saturating_sub(u64::from(r.accelerators));
    }

    /// Returns the largest fraction, from 0 to 1, of any resource of `total` that this sum uses.
    /// Resources that `total` has none of are ignored.
    pub fn dominant_share(&self, total: &Totals) -> f64 {
        let fraction = |a: u64, b: u64| if b == 0 { 0.0 } else { a as f64 / b as f64 };
        fraction(self.cpu_milli, total.cpu_milli)
            .max(fraction(self.memory_mib, total.memory_mib))
            .max(fraction(self.accelerators, total.accelerators))
    }

    /// Returns true if this sum plus `r` stays within `limit`, where 0 means unlimited.
    pub fn can_add(&self, r: &Resources, limit: &Totals) -> bool {
        let is_within = |have: u64, more: u32, max: u64| max == 0 || have + u64::from(more) <= max;
        is_within(self.cpu_milli, r.cpu_milli, limit.cpu_milli)
            && is_within(self.memory_mib, r.memory_mib, limit.memory_mib)
            && is_within(self.accelerators, r.accelerators, limit.accelerators)
    }
}
