//! Puts a whole answer together from its parts.

use hollowford_core::{Error, ErrorKind};
use hollowford_platform::Platform;
use hollowford_protocol::peer::{ObjectResult, ViewReply};
use hollowford_protocol::v1;
use std::time::Duration;

/// Most bytes of results in one answer; the rest is fetched one by one.
const MAX_ANSWER_RESULT_BYTES: u64 = 2 << 20;
/// Tries to read an object, and the wait between them.
const MAX_READ_ATTEMPTS: usize = 5;
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Fills in the results that are kept as objects, as far as the answer may grow.
///
/// # Errors
/// `Unavailable` when an object can't be read; no part of an answer is given.
pub(super) async fn fill_in_results(
    store: &Platform,
    reply: ViewReply,
) -> Result<v1::RequestView, Error> {
    let missing = || Error::new(ErrorKind::Internal, "a reply without a view");
    let mut view = reply.view.ok_or_else(missing)?;
    let Some(answer) = &mut view.answer else {
        return Ok(view);
    };
    let mut size: u64 = answer.results.iter().map(|result| result.result.len() as u64).sum();
    for object in &reply.objects {
        let Some(result) = answer.results.iter_mut().find(|result| result.index == object.index)
        else {
            continue;
        };
        if size + result.len > MAX_ANSWER_RESULT_BYTES {
            continue;
        }
        size += result.len;
        result.result = read_result(store, object, result).await?;
    }
    Ok(view)
}

/// Reads one result and checks that it is whole.
///
/// # Errors
/// `Unavailable` when the store doesn't answer; `Internal` when the object is not
/// what the worker reported.
pub(super) async fn read_result(
    store: &Platform,
    object: &ObjectResult,
    result: &v1::TaskResult,
) -> Result<Vec<u8>, Error> {
    let mut last_error = String::new();
    for _ in 0..MAX_READ_ATTEMPTS {
        match store.get_object(&object.object).await {
            Ok(Some(bytes)) => return verify(bytes, result),
            Ok(None) => "the result's object is not there yet".clone_into(&mut last_error),
            Err(e) => last_error = e.to_string(),
        }
        tokio::time::sleep(READ_RETRY_DELAY).await;
    }
    Err(Error::new(ErrorKind::Unavailable, last_error))
}

fn verify(bytes: Vec<u8>, result: &v1::TaskResult) -> Result<Vec<u8>, Error> {
    let is_intact =
        bytes.len() as u64 == result.len && xxhash_rust::xxh3::xxh3_64(&bytes) == result.xxh3;
    if is_intact {
        return Ok(bytes);
    }
    Err(Error::new(ErrorKind::Internal, "the result's object is not what the worker reported"))
}
