//! Reads submitted jobs from requests.

use hollowford_adapter::decode_job;
use hollowford_connections::{Connection, ReadBodyError, Reservation, read_body};
use hollowford_core::Millis;
use hollowford_jobs::{JobId, encode_spec};
use poem::Request;
use poem::http::{HeaderMap, StatusCode, header};
use std::sync::Arc;
use tokio::time::timeout;

/// Copies of a job's specification that a process keeps while it relays it: the call, its frame and
/// the encoded frame.
const SPEC_COPIES: usize = 3;

/// A job as it is sent to the owner.
#[derive(Debug)]
pub struct SubmittedJob {
    /// The encoded specification.
    pub spec: Vec<u8>,
    /// The bytes that the process keeps for it.
    pub reservation: Reservation,
}

/// Reads the job in a request's body of at most `max_bytes`, for at most `limit`.
///
/// # Errors
/// Returns the status to answer if the job is rejected or has no room.
pub async fn read_job(
    req: &mut Request,
    job: JobId,
    max_bytes: usize,
    limit: Millis,
) -> Result<SubmittedJob, StatusCode> {
    if announced_bytes(req.headers()) > max_bytes as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let Some(connection) = req.extensions().get::<Arc<Connection>>().cloned() else {
        log::error!("job.unread job={job} error=\"the request has no connection\"");
        return Err(StatusCode::INTERNAL_SERVER_ERROR);
    };
    // Many short header lines take far more memory than their bytes.
    drop(std::mem::take(req.headers_mut()));
    let reading = read_body(&connection, req.take_body(), max_bytes);
    let read = timeout(limit.duration(), reading).await;
    let (body, reservation) = match read {
        Ok(read) => read.map_err(|e| status_of(&e, job))?,
        Err(_) => return Err(StatusCode::SERVICE_UNAVAILABLE),
    };
    decode(job, &body, reservation)
}

/// Decodes a body and encodes it for the owner.
fn decode(
    job: JobId,
    body: &[u8],
    mut reservation: Reservation,
) -> Result<SubmittedJob, StatusCode> {
    let spec = decode_job(body).map_err(|e| {
        log::info!("job.invalid job={job} error=\"{e}\"");
        StatusCode::BAD_REQUEST
    })?;
    let spec = encode_spec(&spec);
    let resized = reservation.resize(SPEC_COPIES * spec.len());
    resized.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
    Ok(SubmittedJob { spec, reservation })
}

/// Returns the size that a request announces for its body; 0 if it announces none.
fn announced_bytes(headers: &HeaderMap) -> u64 {
    let value = headers.get(header::CONTENT_LENGTH).and_then(|v| v.to_str().ok());
    value.and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn status_of(error: &ReadBodyError, job: JobId) -> StatusCode {
    match error {
        ReadBodyError::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ReadBodyError::NoRoom(_) => StatusCode::SERVICE_UNAVAILABLE,
        ReadBodyError::Broken(e) => {
            log::info!("job.unread job={job} error=\"{e}\"");
            StatusCode::BAD_REQUEST
        }
    }
}
