//! Adds results that are stored as objects to an answer.

use hollowford_core::{Error, ErrorKind};
use hollowford_platform::Platform;
use hollowford_protocol::peer::{ObjectResult, ViewReply};
use hollowford_protocol::v1;
use std::time::Duration;

/// Maximum number of result bytes in one answer. Callers fetch further results one by one.
const MAX_ANSWER_RESULT_BYTES: u64 = 2 << 20;
/// Maximum number of attempts to read an object.
const MAX_READ_ATTEMPTS: usize = 5;
/// Delay between two attempts to read an object.
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reads the results that are stored as objects into the answer, up to
/// [`MAX_ANSWER_RESULT_BYTES`].
///
/// # Errors
/// As [`read_result`], if any of these results can't be read; no partial answer is returned.
pub(super) async fn fill_in_results(
    store: &Platform,
    reply: ViewReply,
) -> Result<v1::RequestView, Error> {
    let missing = || Error::new(ErrorKind::Internal, "the owner's reply has no view");
    let mut view = reply.view.ok_or_else(missing)?;
    let Some(answer) = &mut view.answer else {
        return Ok(view);
    };
    let mut size: u64 =
        answer.results.iter().map(|task_result| task_result.result.len() as u64).sum();
    for object in &reply.objects {
        let Some(task_result) =
            answer.results.iter_mut().find(|task_result| task_result.index == object.index)
        else {
            continue;
        };
        if size + task_result.len > MAX_ANSWER_RESULT_BYTES {
            continue;
        }
        size += task_result.len;
        task_result.result = read_result(store, object, task_result).await?;
    }
    Ok(view)
}

/// Reads one result and checks it against the length and the hash that the worker reported.
///
/// # Errors
/// `Unavailable` if the object can't be read; `Internal` if it differs from what the worker
/// reported.
pub(super) async fn read_result(
    store: &Platform,
    object: &ObjectResult,
    task_result: &v1::TaskResult,
) -> Result<Vec<u8>, Error> {
    let mut last_error = String::new();
    for _ in 0..MAX_READ_ATTEMPTS {
        match store.get_object(&object.object).await {
            Ok(Some(bytes)) => return verify(bytes, task_result),
            Ok(None) => "the result's object does not exist yet".clone_into(&mut last_error),
            Err(e) => last_error = e.to_string(),
        }
        tokio::time::sleep(READ_RETRY_DELAY).await;
    }
    Err(Error::new(ErrorKind::Unavailable, last_error))
}

fn verify(bytes: Vec<u8>, task_result: &v1::TaskResult) -> Result<Vec<u8>, Error> {
    let is_intact = bytes.len() as u64 == task_result.len
        && xxhash_rust::xxh3::xxh3_64(&bytes) == task_result.xxh3;
    if is_intact {
        return Ok(bytes);
    }
    Err(Error::new(
        ErrorKind::Internal,
        "the result's object differs from what the worker reported",
    ))
}
