//! Converts the schema's messages into validated types and back.

use crate::v1;
use hollowford_core::{
    Error, ErrorKind, InstanceId, Kind, MAX_GANG_TASKS, MAX_PAYLOAD_BYTES, MAX_TASKS, Placement,
    Resources, Spec, Spread,
};

/// Maximum length of request ids, labels, zones and instance ids.
const MAX_NAME_BYTES: usize = 64;
const MAX_LABELS: usize = 8;
const MAX_ZONES: usize = 32;
const MAX_EXCLUDED_INSTANCES: usize = 64;
/// Maximum of run times and start limits: 30 days, in milliseconds.
const MAX_TIME_MS: u64 = 30 * 24 * 3_600_000;

fn invalid(message: impl Into<String>) -> Error {
    Error::new(ErrorKind::Invalid, message)
}

fn check_limit(name: &str, have: usize, max: usize) -> Result<(), Error> {
    if have <= max {
        return Ok(());
    }
    Err(Error::new(ErrorKind::TooLarge, format!("{name}: {have} exceeds the limit of {max}")))
}

/// Checks a request id: 1 to 64 bytes, none of them a control character.
///
/// # Errors
/// `Invalid` or `TooLarge`; the message names the field.
pub fn check_request_id(id: &str) -> Result<(), Error> {
    check_name("request_id", id)
}

/// Checks a label; the same rules apply as for request ids.
///
/// # Errors
/// `Invalid` or `TooLarge`; the message names the field.
pub fn check_label(label: &str) -> Result<(), Error> {
    check_name("label", label)
}

fn check_name(field: &str, s: &str) -> Result<(), Error> {
    if s.is_empty() {
        return Err(invalid(format!("{field} is empty")));
    }
    check_limit(field, s.len(), MAX_NAME_BYTES)?;
    if s.chars().any(char::is_control) {
        return Err(invalid(format!("{field} contains a control character")));
    }
    Ok(())
}

impl TryFrom<&v1::RequestSpec> for Spec {
    type Error = Error;

    fn try_from(raw: &v1::RequestSpec) -> Result<Spec, Error> {
        let kind = kind_from_wire(raw.kind())?;
        check_counts(raw, kind)?;
        for label in &raw.labels {
            check_label(label)?;
        }
        let per_task = raw.per_task.as_ref().ok_or_else(|| invalid("per_task is missing"))?;
        let per_task =
            Resources::new(per_task.cpu_milli, per_task.memory_mib, per_task.accelerators);
        if per_task.cpu_milli == 0 {
            return Err(invalid("per_task.cpu_milli is 0; it must be at least 1"));
        }
        if kind == Kind::Service && !raw.repeatable {
            return Err(invalid("a service must be repeatable, since lost tasks are restarted"));
        }
        Ok(Spec {
            kind,
            tasks: raw.tasks,
            per_task,
            run_time_ms: raw.run_time_ms,
            repeatable: raw.repeatable,
            urgent: raw.urgent || kind == Kind::Check,
            labels: raw.labels.iter().map(|l| l.as_str().into()).collect(),
            placement: placement_from_wire(raw.placement.as_ref(), kind)?,
            payload: raw.payload.clone(),
            start_within_ms: raw.start_within_ms,
        })
    }
}

fn kind_from_wire(kind: v1::Kind) -> Result<Kind, Error> {
    match kind {
        v1::Kind::Check => Ok(Kind::Check),
        v1::Kind::Gang => Ok(Kind::Gang),
        v1::Kind::Batch => Ok(Kind::Batch),
        v1::Kind::Service => Ok(Kind::Service),
        v1::Kind::Unspecified => Err(invalid("kind is missing or unknown")),
    }
}

fn check_counts(raw: &v1::RequestSpec, kind: Kind) -> Result<(), Error> {
    if raw.tasks == 0 {
        return Err(invalid("tasks is 0; it must be at least 1"));
    }
    let max = if kind == Kind::Gang { MAX_GANG_TASKS } else { MAX_TASKS };
    check_limit("tasks", raw.tasks as usize, max as usize)?;
    check_limit("labels", raw.labels.len(), MAX_LABELS)?;
    check_limit("payload", raw.payload.len(), MAX_PAYLOAD_BYTES)?;
    check_limit("run_time_ms", raw.run_time_ms as usize, MAX_TIME_MS as usize)?;
    check_limit("start_within_ms", raw.start_within_ms as usize, MAX_TIME_MS as usize)
}

fn placement_from_wire(raw: Option<&v1::Placement>, kind: Kind) -> Result<Placement, Error> {
    let Some(raw) = raw else {
        return Ok(Placement::default());
    };
    check_limit("placement.zones", raw.zones.len(), MAX_ZONES)?;
    check_limit(
        "placement.exclude_instances",
        raw.exclude_instances.len(),
        MAX_EXCLUDED_INSTANCES,
    )?;
    for name in raw.zones.iter().chain(&raw.exclude_instances) {
        check_name("placement", name)?;
    }
    if raw.same_rack && kind != Kind::Gang {
        return Err(invalid("placement.same_rack is only allowed for gangs"));
    }
    let spread = match raw.spread() {
        v1::Spread::Unspecified => Spread::None,
        v1::Spread::Instance => Spread::Instance,
        v1::Spread::Rack => Spread::Rack,
    };
    if raw.same_rack && spread == Spread::Rack {
        return Err(invalid("placement.same_rack cannot be combined with spread by rack"));
    }
    Ok(Placement {
        zones: raw.zones.iter().map(|z| z.as_str().into()).collect(),
        exclude_instances: raw.exclude_instances.iter().map(|i| i.as_str().into()).collect(),
        spread,
        same_rack: raw.same_rack,
    })
}

/// Converts a validated specification to the schema's message.
pub fn spec_to_wire(spec: &Spec) -> v1::RequestSpec {
    let kind = match spec.kind {
        Kind::Check => v1::Kind::Check,
        Kind::Gang => v1::Kind::Gang,
        Kind::Batch => v1::Kind::Batch,
        Kind::Service => v1::Kind::Service,
    };
    v1::RequestSpec {
        kind: kind.into(),
        tasks: spec.tasks,
        per_task: Some(resources_to_wire(&spec.per_task)),
        run_time_ms: spec.run_time_ms,
        repeatable: spec.repeatable,
        urgent: spec.urgent,
        labels: spec.labels.iter().map(|l| l.to_string()).collect(),
        placement: placement_to_wire(&spec.placement),
        payload: spec.payload.clone(),
        start_within_ms: spec.start_within_ms,
    }
}

fn resources_to_wire(r: &Resources) -> v1::Resources {
    v1::Resources { cpu_milli: r.cpu_milli, memory_mib: r.memory_mib, accelerators: r.accelerators }
}

fn placement_to_wire(p: &Placement) -> Option<v1::Placement> {
    if p.is_unrestricted() {
        return None;
    }
    let spread = match p.spread {
        Spread::None => v1::Spread::Unspecified,
        Spread::Instance => v1::Spread::Instance,
        Spread::Rack => v1::Spread::Rack,
    };
    Some(v1::Placement {
        zones: p.zones.iter().map(|z| z.to_string()).collect(),
        exclude_instances: p.exclude_instances.iter().map(InstanceId::to_string).collect(),
        spread: spread.into(),
        same_rack: p.same_rack,
    })
}
