//! Formats and prints request views.

use hollowford_protocol::v1;
use serde_json::{Value, json};

/// Returns a view as JSON, with the lengths of results instead of their contents.
pub fn to_json(v: &v1::RequestView) -> Value {
    json!({
        "request_id": v.request_id, "version": v.version, "queued": v.queued,
        "running": v.running, "ended": v.ended, "waited_ms": v.waited_ms,
        "instances": v.instances, "why": v.why, "partition": v.partition, "epoch": v.epoch,
        "answer": v.answer.as_ref().map(answer_to_json),
    })
}

fn answer_to_json(a: &v1::Answer) -> Value {
    let results: Vec<Value> =
        a.results.iter().map(|r| json!({"index": r.index, "len": r.len})).collect();
    json!({
        "outcome": outcome(a), "reason": a.reason, "message": a.message,
        "retry_after_ms": a.retry_after_ms, "had_begun": a.had_begun, "results": results,
    })
}

/// Returns the name of an outcome.
pub fn outcome(a: &v1::Answer) -> &'static str {
    match a.outcome() {
        v1::Outcome::Unspecified => "none",
        v1::Outcome::Done => "done",
        v1::Outcome::Failed => "failed",
        v1::Outcome::NotRun => "not run",
        v1::Outcome::MayHaveRun => "may have run",
        v1::Outcome::Cancelled => "cancelled",
    }
}

/// Returns a view as one line.
pub fn to_line(v: &v1::RequestView) -> String {
    let state = match &v.answer {
        Some(a) if a.message.is_empty() => outcome(a).to_owned(),
        Some(a) => format!("{} ({})", outcome(a), a.message),
        None => format!("{} queued, {} running, {} ended", v.queued, v.running, v.ended),
    };
    let waited = v.waited_ms.map_or_else(String::new, |ms| format!(" waited {ms} ms"));
    let on = match v.instances.first() {
        Some(first) if v.instances.len() > 1 => {
            format!(" on {first} and {} more", v.instances.len() - 1)
        }
        Some(first) => format!(" on {first}"),
        None => String::new(),
    };
    format!("{}: {state}{on}{waited}", v.request_id)
}

/// Prints a view as JSON or as a line.
pub fn print(v: &v1::RequestView, json: bool) {
    if json {
        println!("{}", to_json(v));
    } else {
        println!("{}", to_line(v));
    }
}
