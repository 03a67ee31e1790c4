//! Puts a whole answer together from its parts.

use hollowford_core::{Error, ErrorKind};
use hollowford_platform::Platform;
use hollowford_protocol::peer::{ObjectResult, ViewReply};
use hollowford_protocol::v1;
use std::time::Duration;

/// Most bytes of results in one answer; the rest is fetched one by one.
const ANSWER_BYTES: u64 = 2 << 20;
/// Tries to read an object, and the wait between them.
const TRIES: usize = 5;
const TRY_WAIT: Duration = Duration::from_millis(50);

/// Fills in the results that are kept as objects, as far as the answer may grow.
///
/// # Errors
/// `Unavailable` when an object can't be read; no part of an answer is given.
pub(super) async fn complete(store: &Platform, reply: ViewReply) -> Result<v1::RequestView, Error> {
    let missing = || Error::new(ErrorKind::Internal, "a reply without a view");
    let mut view = reply.view.ok_or_else(missing)?;
    let Some(answer) = &mut view.answer else {
        return Ok(view);
    };
    let mut size: u64 = answer.results.iter().map(|r| r.result.len() as u64).sum();
    for object in &reply.objects {
        let Some(r) = answer.results.iter_mut().find(|r| r.index == object.index) else {
            continue;
        };
        if size + r.len > ANSWER_BYTES {
            continue;
        }
        size += r.len;
        r.result = read_whole(store, object, r).await?;
    }
    Ok(view)
}

/// Reads one result and checks that it is whole.
///
/// # Errors
/// `Unavailable` when the store doesn't answer; `Internal` when the object is not
/// what the worker reported.
pub(super) async fn read_whole(
    store: &Platform,
    object: &ObjectResult,
    r: &v1::TaskResult,
) -> Result<Vec<u8>, Error> {
    let mut last = String::new();
    for _ in 0..TRIES {
        match store.get_object(&object.object).await {
            Ok(Some(bytes)) => return check(bytes, r),
            Ok(None) => "the result's object is not there yet".clone_into(&mut last),
            Err(e) => last = e.to_string(),
        }
        tokio::time::sleep(TRY_WAIT).await;
    }
    Err(Error::new(ErrorKind::Unavailable, last))
}

fn check(bytes: Vec<u8>, r: &v1::TaskResult) -> Result<Vec<u8>, Error> {
    let whole = bytes.len() as u64 == r.len && xxhash_rust::xxh3::xxh3_64(&bytes) == r.xxh3;
    if whole {
        return Ok(bytes);
    }
    Err(Error::new(ErrorKind::Internal, "the result's object is not what the worker reported"))
}
