//! Calls to workers that a member makes for the owner.
//!
//! Each call carries the owner's fence, so the member makes no decisions. Workers treat calls made
//! late, or after the owner was deposed, like calls delayed on the network.

use crate::calls::{AnswerTiming, call_worker};
use crate::delegate_wire::{Delegated, Outcome, Outcomes};
use crate::link::Outbox;
use crate::shared::Shared;
use crate::wire::Body;
use hollowford_core::Millis;
use std::sync::Arc;

/// Makes the calls of a frame and reports the outcome of each to the owner.
pub fn execute_calls(shared: &Arc<Shared>, frame: Delegated, outbox: &Outbox) {
    let workers = shared.workers.with_fence(frame.epoch);
    let templates: Vec<Arc<str>> = frame.templates.iter().map(|t| t.as_str().into()).collect();
    for delegated in frame.calls {
        let id = delegated.id;
        let call = match delegated.parse(&templates) {
            Ok(call) => call,
            Err(e) => {
                log::error!("delegate.malformed call={id} error=\"{e}\"");
                continue;
            }
        };
        let (shared, workers, outbox) = (shared.clone(), workers.clone(), outbox.clone());
        let limit = Millis(delegated.limit_ms);
        tokio::spawn(async move {
            let report = |called, _: AnswerTiming| {
                let list = vec![Outcome::new(id, &called)];
                // If the link has closed, the owner counts the call as unanswered.
                outbox.send(Body::Outcomes(Outcomes { list }));
                std::future::ready(())
            };
            call_worker(&shared, &workers, &call, limit, report).await;
        });
    }
}
