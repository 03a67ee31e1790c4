//! Switches for decisions that operators may turn off.

/// Which optional decisions the engine makes. Each has an effect only where the configuration and the
/// load call for it. All are on by default but [`Features::advice_scheduling`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Features {
    /// Whether advice calls are made only for steps that are expected to start while their tickets
    /// are valid. Off by default: it halves the answers that are never used, but callers of the
    /// measured deployments were not served better.
    pub advice_scheduling: bool,
    /// Whether run times are predicted from earlier runs and not only from callers' estimates.
    pub learned_run_times: bool,
    /// Whether slow tasks of steps that allow it get a second run.
    pub task_copies: bool,
    /// Whether client accounts share a full cell by their weights.
    pub account_shares: bool,
}

impl Default for Features {
    fn default() -> Features {
        Features {
            advice_scheduling: false,
            learned_run_times: true,
            task_copies: true,
            account_shares: true,
        }
    }
}
