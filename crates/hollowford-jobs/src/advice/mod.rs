//! Placement advice: which workers may run a step, and the calls that ask for it.

mod calls;
mod forecast;
mod gang_selection;
mod scheduling;
mod selection;
mod tickets;
mod usage;

pub use calls::AdviceChannel;
pub(crate) use calls::{AdviceCall, AdviceChannels};
pub(crate) use scheduling::{AdviceRequest, is_half_full};
pub(crate) use tickets::{AdviceStatus, AllowedShare, StepAdvice};
pub(crate) use usage::OpenAnswers;
