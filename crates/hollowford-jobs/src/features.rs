//! Switches for decisions that operators may turn off.

/// Which optional decisions the engine makes. All are on by default; each has an effect only where
/// the configuration and the load call for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Features {
    /// Whether advice calls are made only for steps that are expected to start while their tickets
    /// are valid.
    pub advice_scheduling: bool,
    /// Whether run times are predicted from earlier runs and not only from callers' estimates.
    pub learned_run_times: bool,
    /// Whether slow tasks of steps that allow it get a second run.
    pub task_copies: bool,
    /// Whether client accounts share a full cell by their weights.
    pub account_shares: bool,
    /// Whether jobs are refused that can't be done while their results have value.
    pub admission_control: bool,
    /// Whether members get calls in proportion to their capacity.
    pub weighted_delegation: bool,
}

impl Default for Features {
    fn default() -> Features {
        Features {
            advice_scheduling: true,
            learned_run_times: true,
            task_copies: true,
            account_shares: true,
            admission_control: true,
            weighted_delegation: true,
        }
    }
}
