//! Placement advice: which workers may run a step, and the calls that ask for it.

mod calls;
mod gang_selection;
mod selection;
mod tickets;

pub use calls::AdviceChannel;
pub(crate) use calls::{AdviceCall, AdviceChannels};
pub(crate) use tickets::{AdviceStatus, AllowedShare, StepAdvice};
