//! Carries out one call on the partition that it is for.

use super::ReplyTo;
use super::owned::Owned;
use super::waiters::{Durably, LONGEST_WAIT, Until, Waiter, refuse};
use hollowford_core::{AccountId, Error, ErrorKind, Millis, RequestKey, RequestNo, Spec};
use hollowford_engine::Authority;
use hollowford_protocol::peer::{Call, Op, Said};
use hollowford_protocol::{check_label, check_request_id, v1};

/// Most requests in one page.
const MAX_PAGE: u32 = 500;
/// Requests in a page when the caller doesn't say.
const DEFAULT_PAGE: u32 = 100;

/// Carries out a call, now or when what it waits for has come.
pub(super) fn carry_out(owned: &mut Owned, now: Millis, call: Call, reply: ReplyTo) {
    let account = AccountId::from(call.account.as_str());
    let Some(op) = call.op else {
        refuse(reply, ErrorKind::Invalid, "a call without an operation");
        return;
    };
    match op {
        Op::Submit(req) => submit(owned, now, &account, &req, reply),
        Op::Get(req) => get(owned, now, &account, &req, reply),
        Op::Cancel(req) => cancel(owned, now, &account, &req, reply),
        Op::CancelByLabel(req) => cancel_label(owned, now, &account, &req, reply),
        Op::List(req) => {
            let said = list(owned, &account, &req).map(Said::List);
            // The caller may have gone.
            let _ = reply.send(said);
        }
    }
}

/// A command needs the ownership lease and a configuration known to be in force.
fn check_may_change(owned: &Owned, now: Millis) -> Result<(), Error> {
    if owned.authority(now) != Authority::Full {
        let message = "the owner's lease has lapsed; nothing was changed";
        return Err(Error::new(ErrorKind::Unavailable, message));
    }
    if !owned.shared.config_is_fresh() {
        let message = "the configuration can't be confirmed now; nothing was changed";
        return Err(Error::new(ErrorKind::Unavailable, message));
    }
    Ok(())
}

fn submit(
    owned: &mut Owned,
    now: Millis,
    account: &AccountId,
    req: &v1::SubmitRequest,
    reply: ReplyTo,
) {
    match try_submit(owned, now, account, req) {
        Err(e) => {
            // The caller may have gone.
            let _ = reply.send(Err(e));
        }
        Ok(no) if req.wait => wait(owned, now, no, Until::Settled, reply),
        Ok(no) => {
            let seq = owned.engine.last_seq();
            when_durable(owned, seq, Durably::View(no), reply);
        }
    }
}

fn try_submit(
    owned: &mut Owned,
    now: Millis,
    account: &AccountId,
    req: &v1::SubmitRequest,
) -> Result<RequestNo, Error> {
    check_request_id(&req.request_id)?;
    let missing = || Error::new(ErrorKind::Invalid, "spec is missing");
    let spec = Spec::try_from(req.spec.as_ref().ok_or_else(missing)?)?;
    if !owned.engine.allows_write_behind(now) {
        check_may_change(owned, now)?;
    }
    let key = RequestKey::new(account, &req.request_id);
    owned.engine.submit(now, &key, &spec, &mut owned.out)
}

fn find(owned: &Owned, account: &AccountId, id: &str) -> Result<RequestNo, Error> {
    check_request_id(id)?;
    let key = RequestKey::new(account, id);
    let found = owned.engine.find(&key);
    found.ok_or_else(|| Error::new(ErrorKind::NotFound, format!("no request {id}")))
}

fn get(owned: &mut Owned, now: Millis, account: &AccountId, req: &v1::GetRequest, reply: ReplyTo) {
    let no = match find(owned, account, &req.request_id) {
        Ok(no) => no,
        Err(e) => {
            // The caller may have gone.
            let _ = reply.send(Err(e));
            return;
        }
    };
    if req.r#final {
        wait(owned, now, no, Until::Settled, reply);
    } else if req.after_version > 0 {
        wait(owned, now, no, Until::Above(req.after_version), reply);
    } else {
        // What is told must last, so even a plain view waits for its records.
        let seq = owned.engine.last_seq();
        when_durable(owned, seq, Durably::View(no), reply);
    }
}

/// Answers when the request has come so far, or after the longest wait.
fn wait(owned: &mut Owned, now: Millis, no: RequestNo, until: Until, reply: ReplyTo) {
    let expires_at = now + LONGEST_WAIT;
    owned.waiters.add(no, Waiter { until, expires_at, reply });
    let settled = owned.engine.is_wait_over(no);
    let version = owned.engine.view(no).map_or(0, |v| v.version);
    owned.answer(no, |w| match w.until {
        Until::Above(v) => version > v,
        Until::Settled => settled,
    });
}

/// Answers when the ledger holds the record at `seq`.
fn when_durable(owned: &mut Owned, seq: u64, what: Durably, reply: ReplyTo) {
    let stalled = owned.engine.is_ledger_stalled();
    if let Durably::View(no) = what
        && (seq <= owned.ledger.durable() || (stalled && owned.engine.is_accepted(no)))
    {
        // While the ledger stalls, views of accepted requests are still given.
        let _ = reply.send(owned.view(no).map(Said::View));
        return;
    }
    let now = owned.shared.clock.now();
    owned.waiters.add_durable(now, seq, what, reply);
}

fn cancel(
    owned: &mut Owned,
    now: Millis,
    account: &AccountId,
    req: &v1::CancelRequest,
    reply: ReplyTo,
) {
    let key = RequestKey::new(account, &req.request_id);
    let done = check_request_id(&req.request_id)
        .and_then(|()| check_may_change(owned, now))
        .and_then(|()| owned.engine.cancel(now, &key, &mut owned.out));
    match done {
        Ok(no) => {
            let seq = owned.engine.last_seq();
            when_durable(owned, seq, Durably::View(no), reply);
        }
        Err(e) => {
            // The caller may have gone.
            let _ = reply.send(Err(e));
        }
    }
}

fn cancel_label(
    owned: &mut Owned,
    now: Millis,
    account: &AccountId,
    req: &v1::CancelByLabelRequest,
    reply: ReplyTo,
) {
    if let Err(e) = check_label(&req.label).and_then(|()| check_may_change(owned, now)) {
        // The caller may have gone.
        let _ = reply.send(Err(e));
        return;
    }
    let n = owned.engine.cancel_by_label(now, account, &req.label, &mut owned.out);
    let seq = owned.engine.last_seq();
    if seq <= owned.ledger.durable() {
        let _ = reply.send(Ok(Said::Cancelled(v1::CancelByLabelReply { cancelled: n })));
        return;
    }
    owned.waiters.add_durable(now, seq, Durably::Cancelled(n), reply);
}

fn list(owned: &Owned, account: &AccountId, req: &v1::ListRequest) -> Result<v1::ListReply, Error> {
    let limit = match req.limit {
        0 => DEFAULT_PAGE,
        n if n <= MAX_PAGE => n,
        n => {
            let message = format!("limit: {n} is over the bound of {MAX_PAGE}");
            return Err(Error::new(ErrorKind::TooLarge, message));
        }
    };
    let nos = owned.engine.list(account, &req.after, limit as usize);
    let brief = |no: &RequestNo| {
        let mut view = owned.view(*no).ok()?.view?;
        if let Some(answer) = &mut view.answer {
            answer.results.clear();
        }
        Some(view)
    };
    Ok(v1::ListReply { requests: nos.iter().filter_map(brief).collect(), next: String::new() })
}
