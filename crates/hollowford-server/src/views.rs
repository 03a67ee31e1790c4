//! Converts the engine's views of requests to messages.

use crate::codec::outcome_to_wire;
use hollowford_core::ErrorKind;
use hollowford_engine::{FinalAnswer, RequestView, TaskResult};
use hollowford_protocol::peer::{ObjectResult, ViewReply};
use hollowford_protocol::v1;

/// Converts a request's view to the reply that the owner sends to the entry.
pub fn view_to_wire(view: &RequestView<'_>) -> ViewReply {
    let mut objects = Vec::new();
    for (index, result) in &view.results {
        if !result.object.is_empty() {
            objects.push(ObjectResult { index: *index, object: result.object.to_string() });
        }
    }
    let wire = v1::RequestView {
        request_id: view.key.id.to_string(),
        version: view.version,
        queued: view.queued,
        running: view.running,
        ended: view.ended,
        answer: view.answer.map(|a| answer_to_wire(a, view)),
        waited_ms: view.waited.map(|w| w.0),
        instances: view.instances.iter().map(|i| (*i).to_owned()).collect(),
        why: view.why.clone(),
        partition: view.partition.0,
        epoch: view.epoch.0,
        is_service: view.is_service,
    };
    ViewReply { view: Some(wire), objects }
}

fn answer_to_wire(answer: &FinalAnswer, view: &RequestView<'_>) -> v1::Answer {
    let kind = ErrorKind::from_name(&answer.reason);
    let result = |(index, r): &(u32, &TaskResult)| v1::TaskResult {
        index: *index,
        result: r.bytes.clone(),
        len: r.len,
        xxh3: r.xxh3,
    };
    let done = answer.outcome == hollowford_engine::Outcome::Done;
    v1::Answer {
        outcome: outcome_to_wire(answer.outcome).into(),
        reason: answer.reason.to_string(),
        message: answer.message.to_string(),
        retry_after_ms: kind.and_then(|k| k.info().retry_after_ms).unwrap_or(0),
        had_begun: answer.had_begun,
        results: if done { view.results.iter().map(result).collect() } else { Vec::new() },
        not_durable: !view.durable,
    }
}
