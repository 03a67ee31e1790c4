//! Executes the calls of client accounts on an owned partition.

use super::ReplySender;
use super::owned_partition::OwnedPartition;
use super::waiting_calls::{DurableReply, MAX_CALL_WAIT, WaitCondition, WaitingCall, refuse};
use hollowford_core::{AccountId, Error, ErrorKind, Millis, RequestKey, RequestNo, Spec};
use hollowford_engine::Authority;
use hollowford_protocol::peer::{Call, Op, Said};
use hollowford_protocol::{check_label, check_request_id, v1};

/// Maximum number of requests in one page of a list.
const MAX_PAGE_SIZE: u32 = 500;
/// Number of requests in a page when the caller sets no limit.
const DEFAULT_PAGE_SIZE: u32 = 100;

/// Executes a call. The reply is sent at once, or once the request has changed or the record is
/// durable that the call waits for.
pub(super) fn execute_call(
    owned: &mut OwnedPartition,
    now: Millis,
    call: Call,
    reply: ReplySender,
) {
    let account = AccountId::from(call.account.as_str());
    let Some(op) = call.op else {
        refuse(reply, ErrorKind::Invalid, "the call has no operation");
        return;
    };
    match op {
        Op::Submit(req) => submit(owned, now, &account, &req, reply),
        Op::Get(req) => get(owned, now, &account, &req, reply),
        Op::Cancel(req) => cancel(owned, now, &account, &req, reply),
        Op::CancelByLabel(req) => cancel_by_label(owned, now, &account, &req, reply),
        Op::List(req) => {
            let said = list(owned, &account, &req).map(Said::List);
            // The caller may have disconnected.
            let _ = reply.send(said);
        }
    }
}

/// Checks that this owner may accept changes: it holds the ownership lease, and the account
/// configuration was confirmed recently.
///
/// # Errors
/// `Unavailable`.
fn check_writable(owned: &OwnedPartition, now: Millis) -> Result<(), Error> {
    if owned.authority(now) != Authority::Full {
        let message = "the owner's lease has expired; nothing was changed";
        return Err(Error::new(ErrorKind::Unavailable, message));
    }
    if !owned.shared.is_config_fresh() {
        let message = "the configuration can't be confirmed now; nothing was changed";
        return Err(Error::new(ErrorKind::Unavailable, message));
    }
    Ok(())
}

fn submit(
    owned: &mut OwnedPartition,
    now: Millis,
    account: &AccountId,
    req: &v1::SubmitRequest,
    reply: ReplySender,
) {
    match try_submit(owned, now, account, req) {
        Err(e) => {
            // The caller may have disconnected.
            let _ = reply.send(Err(e));
        }
        Ok(number) if req.wait => {
            wait_for_change(owned, now, number, WaitCondition::Finished, reply)
        }
        Ok(number) => {
            let seq = owned.engine.last_seq();
            reply_when_durable(owned, seq, DurableReply::View(number), reply);
        }
    }
}

fn try_submit(
    owned: &mut OwnedPartition,
    now: Millis,
    account: &AccountId,
    req: &v1::SubmitRequest,
) -> Result<RequestNo, Error> {
    check_request_id(&req.request_id)?;
    let missing = || Error::new(ErrorKind::Invalid, "spec is missing");
    let spec = Spec::try_from(req.spec.as_ref().ok_or_else(missing)?)?;
    if !owned.engine.allows_write_behind(now) {
        check_writable(owned, now)?;
    }
    let key = RequestKey::new(account, &req.request_id);
    owned.engine.submit(now, &key, &spec, &mut owned.actions)
}

fn find(owned: &OwnedPartition, account: &AccountId, id: &str) -> Result<RequestNo, Error> {
    check_request_id(id)?;
    let key = RequestKey::new(account, id);
    let found = owned.engine.find(&key);
    found.ok_or_else(|| Error::new(ErrorKind::NotFound, format!("no request {id}")))
}

fn get(
    owned: &mut OwnedPartition,
    now: Millis,
    account: &AccountId,
    req: &v1::GetRequest,
    reply: ReplySender,
) {
    let number = match find(owned, account, &req.request_id) {
        Ok(number) => number,
        Err(e) => {
            // The caller may have disconnected.
            let _ = reply.send(Err(e));
            return;
        }
    };
    if req.r#final {
        wait_for_change(owned, now, number, WaitCondition::Finished, reply);
    } else if req.after_version > 0 {
        wait_for_change(owned, now, number, WaitCondition::VersionAbove(req.after_version), reply);
    } else {
        // A caller must not see a state that a takeover could lose, so the view is sent only
        // once its records are durable.
        let seq = owned.engine.last_seq();
        reply_when_durable(owned, seq, DurableReply::View(number), reply);
    }
}

/// Replies when the request meets the condition, or after [`MAX_CALL_WAIT`].
fn wait_for_change(
    owned: &mut OwnedPartition,
    now: Millis,
    number: RequestNo,
    condition: WaitCondition,
    reply: ReplySender,
) {
    let expires_at = now + MAX_CALL_WAIT;
    owned.waiting_calls.add(number, WaitingCall { condition, expires_at, reply });
    let finished = owned.engine.is_wait_over(number);
    let version = owned.engine.view(number).map_or(0, |v| v.version);
    owned.answer_waiting(number, |w| match w.condition {
        WaitCondition::VersionAbove(v) => version > v,
        WaitCondition::Finished => finished,
    });
}

/// Replies when the record at `seq` is durable.
fn reply_when_durable(
    owned: &mut OwnedPartition,
    seq: u64,
    content: DurableReply,
    reply: ReplySender,
) {
    let stalled = owned.engine.is_ledger_stalled();
    if let DurableReply::View(number) = content
        && (seq <= owned.ledger.durable_seq() || (stalled && owned.engine.is_accepted(number)))
    {
        // While the ledger is stalled, callers can still read requests that were accepted.
        let _ = reply.send(owned.view(number).map(Said::View));
        return;
    }
    let now = owned.shared.clock.now();
    owned.waiting_calls.add_durable(now, seq, content, reply);
}

fn cancel(
    owned: &mut OwnedPartition,
    now: Millis,
    account: &AccountId,
    req: &v1::CancelRequest,
    reply: ReplySender,
) {
    let key = RequestKey::new(account, &req.request_id);
    let done = check_request_id(&req.request_id)
        .and_then(|()| check_writable(owned, now))
        .and_then(|()| owned.engine.cancel(now, &key, &mut owned.actions));
    match done {
        Ok(number) => {
            let seq = owned.engine.last_seq();
            reply_when_durable(owned, seq, DurableReply::View(number), reply);
        }
        Err(e) => {
            // The caller may have disconnected.
            let _ = reply.send(Err(e));
        }
    }
}

fn cancel_by_label(
    owned: &mut OwnedPartition,
    now: Millis,
    account: &AccountId,
    req: &v1::CancelByLabelRequest,
    reply: ReplySender,
) {
    if let Err(e) = check_label(&req.label).and_then(|()| check_writable(owned, now)) {
        // The caller may have disconnected.
        let _ = reply.send(Err(e));
        return;
    }
    let n = owned.engine.cancel_by_label(now, account, &req.label, &mut owned.actions);
    let seq = owned.engine.last_seq();
    if seq <= owned.ledger.durable_seq() {
        let _ = reply.send(Ok(Said::Cancelled(v1::CancelByLabelReply { cancelled: n })));
        return;
    }
    owned.waiting_calls.add_durable(now, seq, DurableReply::Cancelled(n), reply);
}

fn list(
    owned: &OwnedPartition,
    account: &AccountId,
    req: &v1::ListRequest,
) -> Result<v1::ListReply, Error> {
    let limit = match req.limit {
        0 => DEFAULT_PAGE_SIZE,
        n if n <= MAX_PAGE_SIZE => n,
        n => {
            let message = format!("limit: {n} is over the maximum of {MAX_PAGE_SIZE}");
            return Err(Error::new(ErrorKind::TooLarge, message));
        }
    };
    let numbers = owned.engine.list(account, &req.after, limit as usize);
    let summary = |number: &RequestNo| {
        let mut view = owned.view(*number).ok()?.view?;
        if let Some(answer) = &mut view.answer {
            answer.results.clear();
        }
        Some(view)
    };
    Ok(v1::ListReply {
        requests: numbers.iter().filter_map(summary).collect(),
        next: String::new(),
    })
}
