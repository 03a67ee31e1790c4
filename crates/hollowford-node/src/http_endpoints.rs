//! HTTP endpoints for callers, readiness probes and metrics.

use crate::access::{self, Access};
use crate::relay::{RelayOutcome, relay};
use crate::shared::Shared;
use crate::submitted_job::read_job;
use crate::wire::{Call, Said, Verb};
use futures::future::join_all;
use hollowford_adapter::{
    CallerRequest, Config, READY_PATH, Route, client_credential, client_timeout, encode_job_state,
    encode_waiting_count, parse_request_path,
};
use hollowford_connections::Reservation;
use hollowford_core::Millis;
use hollowford_jobs::{JobId, JobState};
use poem::http::{Method, StatusCode, header};
use poem::{Endpoint, Request, Response};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Time limit for calls whose caller sets none. It covers a takeover.
const DEFAULT_CALL_TIMEOUT: Millis = Millis(2_500);
/// Maximum time for a call, however long its caller waits.
const MAX_CALL_TIMEOUT: Millis = Millis(60_000);
/// Part of the caller's time limit that is reserved for returning the answer.
const ANSWER_MARGIN: Millis = Millis(60);
/// Value of the `Retry-After` header, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";
/// A process that has not reached an owner for this long reports that it isn't ready.
const OWNER_UNREACHABLE_TIMEOUT: Millis = Millis(2_500);

/// Endpoint for callers.
#[derive(Debug)]
pub struct CallerEndpoint {
    shared: Arc<Shared>,
}

impl CallerEndpoint {
    pub fn new(shared: Arc<Shared>) -> CallerEndpoint {
        CallerEndpoint { shared }
    }

    async fn answer(&self, mut req: Request) -> Response {
        let started_at = self.shared.clock.now();
        let limit = deadline(&req, started_at);
        // The reservation counts the job's bytes until the request is answered.
        let (call, _reservation) = match self.parse_call(&mut req, limit).await {
            Ok(parsed) => parsed,
            Err(status) => {
                log::info!("call.refused path={} status={}", req.uri().path(), status.as_u16());
                return self.respond_empty(status, "refused", started_at);
            }
        };
        let (verb, job, config) = (call.verb(), JobId(call.job), call.config);
        let relayed = self.relay(call, limit).await;
        let resp = self.respond(verb, relayed, started_at);
        let status = resp.status();
        let changes = matches!(verb, Verb::Submit | Verb::Cancel);
        if changes || status.is_server_error() {
            let took = self.shared.clock.now().since(started_at);
            log::info!(
                "call.answered verb={} job={job} status={} config={config} owner={relayed:?} \
                 took_ms={} limit_ms={}",
                verb.name(),
                status.as_u16(),
                took.0,
                limit.since(started_at).0
            );
        }
        resp
    }

    /// Relays a call to the owner of the job's partition, or a count to all owners.
    async fn relay(&self, call: Call, limit: Millis) -> RelayOutcome {
        if call.verb() == Verb::Waiting {
            return self.count_waiting(call, limit).await;
        }
        match self.shared.partition_of(&call.account, JobId(call.job)) {
            Some(partition) => relay(&self.shared, partition, call, limit).await,
            None => RelayOutcome::NotSent,
        }
    }

    /// Returns the sum of the counts of all partitions, or the first failure.
    async fn count_waiting(&self, call: Call, limit: Millis) -> RelayOutcome {
        let partitions = self.shared.partitions();
        let counts = partitions.iter().map(|p| relay(&self.shared, p, call.clone(), limit));
        let mut sum = None;
        for counted in join_all(counts).await {
            match counted {
                RelayOutcome::Said(Said::Value, n) => sum = Some(sum.unwrap_or(0) + n),
                other => return other,
            }
        }
        sum.map_or(RelayOutcome::NotSent, |n| RelayOutcome::Said(Said::Value, n))
    }

    /// Parses a request into a call to the owner, with the bytes that are kept for its body. Returns
    /// the status to answer if the request is rejected.
    async fn parse_call(
        &self,
        req: &mut Request,
        limit: Millis,
    ) -> Result<(Call, Option<Reservation>), StatusCode> {
        let config = self.shared.config.load_full().ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
        let (route, rest) = find_route(&config, req).ok_or(StatusCode::NOT_FOUND)?;
        let request = parse_request_path(&rest).ok_or(StatusCode::BAD_REQUEST)?;
        let mut call = self.authorize(&config, route, req)?;
        let CallerRequest::Job(JobId(job)) = request else {
            call.set_verb(Verb::Waiting);
            let get = *req.method() == Method::GET;
            return if get { Ok((call, None)) } else { Err(StatusCode::METHOD_NOT_ALLOWED) };
        };
        call.job = job;
        call.set_verb(match *req.method() {
            Method::GET => Verb::State,
            Method::DELETE => Verb::Cancel,
            Method::POST => Verb::Submit,
            _ => return Err(StatusCode::METHOD_NOT_ALLOWED),
        });
        if call.verb() != Verb::Submit {
            return Ok((call, None));
        }
        let left = limit.since(self.shared.clock.now());
        let submitted = read_job(req, JobId(job), config.limits.max_body_bytes, left).await?;
        call.spec = submitted.spec;
        Ok((call, Some(submitted.reservation)))
    }

    /// Creates a call for the client account of the request. An unknown key is rejected at once,
    /// unless this process knows that its configuration is outdated; then the owner decides.
    fn authorize(&self, config: &Config, route: &Route, req: &Request) -> Result<Call, StatusCode> {
        let credential = client_credential(|name| req.header(name));
        let mut call =
            Call { queue: route.queue.to_string(), config: config.version, ..Call::default() };
        match access::check(config, Some(route), credential.as_ref()) {
            Access::Granted(account) => call.account = account.to_owned(),
            Access::Unknown if self.shared.config_is_behind() => call.unknown_key = true,
            Access::Unknown => return Err(StatusCode::UNAUTHORIZED),
        }
        call.credential = credential.map_or_else(Vec::new, |c| c.as_bytes().to_vec());
        Ok(call)
    }

    fn respond(&self, verb: Verb, relayed: RelayOutcome, started_at: Millis) -> Response {
        let verb_name = verb.name();
        match relayed {
            RelayOutcome::Said(Said::Done, _) => {
                self.respond_empty(StatusCode::OK, verb_name, started_at)
            }
            RelayOutcome::Said(Said::Value, value) => {
                let body = if verb == Verb::State {
                    decode_state(value).map(encode_job_state)
                } else {
                    Some(encode_waiting_count(value))
                };
                match body {
                    Some(body) => self.respond_with(StatusCode::OK, verb_name, started_at, body),
                    None => {
                        self.respond_empty(StatusCode::INTERNAL_SERVER_ERROR, verb_name, started_at)
                    }
                }
            }
            RelayOutcome::Said(Said::UnknownKey, _) => {
                self.respond_empty(StatusCode::UNAUTHORIZED, verb_name, started_at)
            }
            RelayOutcome::Said(Said::NotYours, _) => {
                self.respond_empty(StatusCode::CONFLICT, verb_name, started_at)
            }
            RelayOutcome::Said(Said::NoJob, _) => {
                self.respond_empty(StatusCode::GONE, verb_name, started_at)
            }
            RelayOutcome::Said(Said::Unavailable, _) | RelayOutcome::NotSent => {
                self.respond_empty(StatusCode::SERVICE_UNAVAILABLE, verb_name, started_at)
            }
            RelayOutcome::Said(..) | RelayOutcome::Unsure => {
                self.respond_empty(StatusCode::GATEWAY_TIMEOUT, verb_name, started_at)
            }
        }
    }

    fn respond_empty(&self, status: StatusCode, verb: &str, started_at: Millis) -> Response {
        self.respond_with(status, verb, started_at, "{}".to_owned())
    }

    fn respond_with(
        &self,
        status: StatusCode,
        verb: &str,
        started_at: Millis,
        body: String,
    ) -> Response {
        let m = &self.shared.metrics;
        m.calls.with_label_values(&[verb, status.as_str()]).inc();
        let took = self.shared.clock.now().since(started_at);
        m.call_seconds.observe(took.duration().as_secs_f64());
        let mut resp =
            Response::builder().status(status).content_type("application/json").body(body);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            resp.headers_mut()
                .insert(header::RETRY_AFTER, header::HeaderValue::from_static(RETRY_AFTER_SECONDS));
        }
        if self.shared.is_stopping() {
            resp.headers_mut()
                .insert(header::CONNECTION, header::HeaderValue::from_static("close"));
        }
        resp
    }
}

/// Counts a request as open until it is dropped, including when the caller disconnects.
struct OpenCallGuard<'a>(&'a Shared);

impl OpenCallGuard<'_> {
    fn new(shared: &Shared) -> OpenCallGuard<'_> {
        shared.open_calls.fetch_add(1, Ordering::Relaxed);
        OpenCallGuard(shared)
    }
}

impl Drop for OpenCallGuard<'_> {
    fn drop(&mut self) {
        self.0.open_calls.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Endpoint for CallerEndpoint {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let _open = OpenCallGuard::new(&self.shared);
        Ok(self.answer(req).await)
    }
}

/// Returns when the call's time limit ends.
fn deadline(req: &Request, now: Millis) -> Millis {
    let limit = client_timeout(|name| req.header(name));
    let limit = limit.map_or(DEFAULT_CALL_TIMEOUT, |l| l.since(ANSWER_MARGIN));
    now + limit.min(MAX_CALL_TIMEOUT)
}

/// Returns the route with the longest matching prefix and the rest of the path.
fn find_route<'a>(config: &'a Config, req: &Request) -> Option<(&'a Route, String)> {
    let host = req.header(header::HOST)?;
    let host = host.split(':').next()?;
    let path = req.uri().path();
    let matches = |r: &&Route| r.host == host && path.starts_with(&r.prefix);
    let route = config.routes.iter().filter(matches).max_by_key(|r| r.prefix.len())?;
    Some((route, path[route.prefix.len()..].to_owned()))
}

/// Decodes a job state sent by the owner.
fn decode_state(value: u64) -> Option<JobState> {
    JobState::from_code(u32::try_from(value).ok()?).ok()
}

/// Endpoint for the load balancer's readiness probes.
#[derive(Debug)]
pub struct ReadinessEndpoint {
    shared: Arc<Shared>,
}

impl ReadinessEndpoint {
    pub fn new(shared: Arc<Shared>) -> ReadinessEndpoint {
        ReadinessEndpoint { shared }
    }
}

impl Endpoint for ReadinessEndpoint {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let s = &self.shared;
        let reached = s.max_owner_contact_age() < OWNER_UNREACHABLE_TIMEOUT;
        let ready = s.config_version() > 0 && !s.is_stopping() && reached;
        let status = match req.uri().path() {
            READY_PATH if ready => StatusCode::OK,
            READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        Ok(Response::builder().status(status).finish())
    }
}

/// Endpoint for Prometheus metrics.
#[derive(Debug)]
pub struct MetricsEndpoint {
    shared: Arc<Shared>,
}

impl MetricsEndpoint {
    pub fn new(shared: Arc<Shared>) -> MetricsEndpoint {
        MetricsEndpoint { shared }
    }
}

impl Endpoint for MetricsEndpoint {
    type Output = Response;

    async fn call(&self, _req: Request) -> poem::Result<Response> {
        self.shared.metrics.set_log_dropped(crate::logs::dropped_lines());
        self.shared.metrics.set_connections(&self.shared.connections);
        Ok(match self.shared.metrics.text() {
            Ok(text) => Response::builder().content_type("text/plain; version=0.0.4").body(text),
            Err(e) => {
                log::error!("metrics.failed error=\"{e}\"");
                Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).finish()
            }
        })
    }
}
