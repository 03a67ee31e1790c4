//! Settings of the scheduling policy.

use crate::reader::{Section, SettingsError};
use hollowford_core::Millis;
use hollowford_engine::Policy;

const KEYS: &[&str] = &[
    "preset",
    "task_lease_ms",
    "renew_every_ms",
    "renewal_bound_ms",
    "drift_margin_ms",
    "headroom",
    "headroom_borrow",
    "max_attempts",
    "retry_backoff_ms",
    "retry_backoff_max_ms",
    "account_queue_bound",
    "queue_bound",
    "share_half_life_ms",
    "gang_drain_after_ms",
    "preempt_per_second",
    "aside_after",
    "aside_for_ms",
    "aside_share",
    "keep_answers_ms",
    "keep_answers_max",
    "packing_tolerance",
];

const MINUTE_MS: u64 = 60_000;
const HOUR_MS: u64 = 60 * MINUTE_MS;

/// Reads the section `policy`: a preset and the values that override it.
///
/// # Errors
/// Describes the first invalid value.
pub fn read_policy(s: &Section<'_>) -> Result<Policy, SettingsError> {
    s.check_keys(KEYS)?;
    let p = preset(s)?;
    let ms = |key, default: Millis, max| s.number(key, default.0, 1..=max).map(Millis);
    let count = |key, default: u64, max| s.number(key, default, 1..=max);
    let task_lease = ms("task_lease_ms", p.task_lease, HOUR_MS)?;
    let renew_every = ms("renew_every_ms", p.renew_every, HOUR_MS)?;
    if renew_every.0 * 2 > task_lease.0 {
        let help = "at most half of task_lease_ms, so that one lost renewal stops no task";
        return Err(s.error("renew_every_ms is too long", help));
    }
    Ok(Policy {
        task_lease,
        renew_every,
        renewal_bound: ms("renewal_bound_ms", p.renewal_bound, 24 * HOUR_MS)?,
        drift_margin: ms("drift_margin_ms", p.drift_margin, MINUTE_MS)?,
        headroom: s.fraction("headroom", p.headroom, 0.0..=0.5)?,
        headroom_borrow: s.flag("headroom_borrow", p.headroom_borrow)?,
        max_attempts: count("max_attempts", p.max_attempts.into(), 100)? as u32,
        retry_backoff: ms("retry_backoff_ms", p.retry_backoff, HOUR_MS)?,
        retry_backoff_max: ms("retry_backoff_max_ms", p.retry_backoff_max, HOUR_MS)?,
        account_queue_bound: count("account_queue_bound", p.account_queue_bound.into(), 1_000_000)?
            as u32,
        queue_bound: count("queue_bound", p.queue_bound.into(), 1_000_000)? as u32,
        share_half_life: ms("share_half_life_ms", p.share_half_life, 24 * HOUR_MS)?,
        gang_drain_after: ms("gang_drain_after_ms", p.gang_drain_after, 24 * HOUR_MS)?,
        preempt_per_second: count("preempt_per_second", p.preempt_per_second.into(), 100_000)?
            as u32,
        quarantine_after: count("aside_after", p.quarantine_after as u64, 100)? as usize,
        quarantine_time: ms("aside_for_ms", p.quarantine_time, HOUR_MS)?,
        max_quarantined_share: s.fraction("aside_share", p.max_quarantined_share, 0.0..=1.0)?,
        answer_retention: ms("keep_answers_ms", p.answer_retention, 24 * HOUR_MS)?,
        max_kept_answers: count("keep_answers_max", p.max_kept_answers as u64, 1_000_000)? as usize,
        packing_tolerance: s.fraction("packing_tolerance", p.packing_tolerance, 0.0..=0.5)?,
        ..p
    })
}

fn preset(s: &Section<'_>) -> Result<Policy, SettingsError> {
    match s.text_or("preset", "default")? {
        "default" => Ok(Policy::default()),
        "kivu" => Ok(Policy::kivu()),
        "ortak-sahne" => Ok(Policy::ortak_sahne()),
        other => {
            let help = "\"default\", \"kivu\" or \"ortak-sahne\"";
            Err(s.error(&format!("there is no preset {other:?}"), help))
        }
    }
}
