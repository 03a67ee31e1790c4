//! Callers' HTTP.

use crate::access::{self, Access};
use crate::relay::{RelayOutcome, relay};
use crate::shared::Shared;
use crate::wire::{Call, Said, Verb};
use futures::future::join_all;
use hollowford_adapter::{
    CallerRequest, Config, READY_PATH, Route, client_credential, client_timeout, decode_job,
    encode_state, encode_waiting, parse_request_path,
};
use hollowford_core::Millis;
use hollowford_jobs::{JobId, JobState, encode_spec};
use poem::http::{Method, StatusCode, header};
use poem::{Endpoint, Request, Response};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// How long a call is tried for whose caller doesn't tell how long it waits. Takeovers take less.
const PATIENCE: Millis = Millis(2_500);
/// Left of a caller's own time limit for the answer's way back.
const WAY_BACK: Millis = Millis(60);
/// When to come back after a refusal, in seconds.
const RETRY_AFTER: &str = "1";
/// A process that has not reached an owner for so long gets no new channels.
const OWNER_OUT_OF_REACH: Millis = Millis(2_500);

/// Answers callers.
#[derive(Debug)]
pub struct Front {
    shared: Arc<Shared>,
}

impl Front {
    /// Makes the endpoint.
    pub fn new(shared: Arc<Shared>) -> Front {
        Front { shared }
    }

    async fn answer(&self, mut req: Request) -> Response {
        let began = self.shared.clock.now();
        let limit = deadline(&req, began);
        let call = match self.understand(&mut req).await {
            Ok(call) => call,
            Err(status) => {
                log::info!("call.refused path={} status={}", req.uri().path(), status.as_u16());
                return self.plain(status, "refused", began);
            }
        };
        let (verb, job, config) = (call.verb(), JobId(call.job), call.config);
        let relayed = self.relay(call, limit).await;
        let resp = self.respond(verb, relayed, began);
        let status = resp.status();
        let changes = matches!(verb, Verb::Submit | Verb::Cancel);
        if changes || status.is_server_error() {
            let took = self.shared.clock.now().since(began);
            log::info!(
                "call.answered verb={} job={job} status={} config={config} owner={relayed:?} \
                 took_ms={} limit_ms={}",
                verb.name(),
                status.as_u16(),
                took.0,
                limit.since(began).0
            );
        }
        resp
    }

    /// Sends a call to the owner of its job's partition, or a count to all owners.
    async fn relay(&self, call: Call, limit: Millis) -> RelayOutcome {
        if call.verb() == Verb::Waiting {
            return self.count(call, limit).await;
        }
        match self.shared.partition_of(&call.account, JobId(call.job)) {
            Some(partition) => relay(&self.shared, partition, call, limit).await,
            None => RelayOutcome::NotSent,
        }
    }

    /// Adds up the counts of all partitions; if one of them isn't told, none is.
    async fn count(&self, call: Call, limit: Millis) -> RelayOutcome {
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

    /// Reads what the caller wants of the owner, or the status that refuses it.
    async fn understand(&self, req: &mut Request) -> Result<Call, StatusCode> {
        let config = self.shared.config.load_full().ok_or(StatusCode::SERVICE_UNAVAILABLE)?;
        let (route, rest) = find_route(&config, req).ok_or(StatusCode::NOT_FOUND)?;
        let what = parse_request_path(&rest).ok_or(StatusCode::BAD_REQUEST)?;
        let mut call = self.identify(&config, route, req)?;
        let CallerRequest::Job(JobId(job)) = what else {
            call.set_verb(Verb::Waiting);
            let get = *req.method() == Method::GET;
            return if get { Ok(call) } else { Err(StatusCode::METHOD_NOT_ALLOWED) };
        };
        call.job = job;
        call.set_verb(match *req.method() {
            Method::GET => Verb::State,
            Method::DELETE => Verb::Cancel,
            Method::POST => Verb::Submit,
            _ => return Err(StatusCode::METHOD_NOT_ALLOWED),
        });
        if call.verb() == Verb::Submit {
            call.spec = read_job(req, JobId(job), config.limits.body_bytes).await?;
        }
        Ok(call)
    }

    /// Begins a call with the client account that it is made for. An unknown key is refused at once,
    /// unless this process knows that it is behind: then the owner decides.
    fn identify(&self, config: &Config, route: &Route, req: &Request) -> Result<Call, StatusCode> {
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

    fn respond(&self, verb: Verb, relayed: RelayOutcome, began: Millis) -> Response {
        let verb_name = verb.name();
        match relayed {
            RelayOutcome::Said(Said::Done, _) => self.plain(StatusCode::OK, verb_name, began),
            RelayOutcome::Said(Said::Value, value) => {
                let body = if verb == Verb::State {
                    state_of(value).map(encode_state)
                } else {
                    Some(encode_waiting(value))
                };
                match body {
                    Some(body) => self.finish(StatusCode::OK, verb_name, began, body),
                    None => self.plain(StatusCode::INTERNAL_SERVER_ERROR, verb_name, began),
                }
            }
            RelayOutcome::Said(Said::UnknownKey, _) => {
                self.plain(StatusCode::UNAUTHORIZED, verb_name, began)
            }
            RelayOutcome::Said(Said::NotYours, _) => {
                self.plain(StatusCode::CONFLICT, verb_name, began)
            }
            RelayOutcome::Said(Said::NoJob, _) => self.plain(StatusCode::GONE, verb_name, began),
            RelayOutcome::Said(Said::Unavailable, _) | RelayOutcome::NotSent => {
                self.plain(StatusCode::SERVICE_UNAVAILABLE, verb_name, began)
            }
            RelayOutcome::Said(..) | RelayOutcome::Unsure => {
                self.plain(StatusCode::GATEWAY_TIMEOUT, verb_name, began)
            }
        }
    }

    fn plain(&self, status: StatusCode, verb: &str, began: Millis) -> Response {
        self.finish(status, verb, began, "{}".to_owned())
    }

    fn finish(&self, status: StatusCode, verb: &str, began: Millis, body: String) -> Response {
        let m = &self.shared.metrics;
        m.calls.with_label_values(&[verb, status.as_str()]).inc();
        let took = self.shared.clock.now().since(began);
        m.call_seconds.observe(took.duration().as_secs_f64());
        let mut resp =
            Response::builder().status(status).content_type("application/json").body(body);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            resp.headers_mut()
                .insert(header::RETRY_AFTER, header::HeaderValue::from_static(RETRY_AFTER));
        }
        if self.shared.is_stopping() {
            resp.headers_mut()
                .insert(header::CONNECTION, header::HeaderValue::from_static("close"));
        }
        resp
    }
}

/// Counts a request as open for as long as it lives, also when its caller goes away.
struct OpenCall<'a>(&'a Shared);

impl OpenCall<'_> {
    fn new(shared: &Shared) -> OpenCall<'_> {
        shared.open_calls.fetch_add(1, Ordering::Relaxed);
        OpenCall(shared)
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.open_calls.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Endpoint for Front {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let _open = OpenCall::new(&self.shared);
        Ok(self.answer(req).await)
    }
}

/// Returns until when a call is tried for.
fn deadline(req: &Request, now: Millis) -> Millis {
    let limit = client_timeout(|name| req.header(name));
    now + limit.map_or(PATIENCE, |l| l.since(WAY_BACK))
}

/// Reads a job that is handed in, or the status that refuses it.
async fn read_job(req: &mut Request, job: JobId, most: usize) -> Result<Vec<u8>, StatusCode> {
    let body = req.take_body().into_bytes_limit(most).await;
    let body = body.map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?;
    let spec = decode_job(&body).map_err(|e| {
        log::info!("job.invalid job={job} error=\"{e}\"");
        StatusCode::BAD_REQUEST
    })?;
    Ok(encode_spec(&spec))
}

/// Finds the route with the longest prefix of the path, and what follows the prefix.
fn find_route<'a>(config: &'a Config, req: &Request) -> Option<(&'a Route, String)> {
    let host = req.header(header::HOST)?;
    let host = host.split(':').next()?;
    let path = req.uri().path();
    let matches = |r: &&Route| r.host == host && path.starts_with(&r.prefix);
    let route = config.routes.iter().filter(matches).max_by_key(|r| r.prefix.len())?;
    Some((route, path[route.prefix.len()..].to_owned()))
}

/// Reads a state that the owner told.
fn state_of(value: u64) -> Option<JobState> {
    JobState::from_code(u32::try_from(value).ok()?).ok()
}

/// Answers the balancer.
#[derive(Debug)]
pub struct Readiness {
    shared: Arc<Shared>,
}

impl Readiness {
    /// Makes the endpoint.
    pub fn new(shared: Arc<Shared>) -> Readiness {
        Readiness { shared }
    }
}

impl Endpoint for Readiness {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let s = &self.shared;
        let reached = s.owners_age() < OWNER_OUT_OF_REACH;
        let ready = s.config_version() > 0 && !s.is_stopping() && reached;
        let status = match req.uri().path() {
            READY_PATH if ready => StatusCode::OK,
            READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        Ok(Response::builder().status(status).finish())
    }
}

/// Answers questions for the metrics.
#[derive(Debug)]
pub struct MetricsPage {
    shared: Arc<Shared>,
}

impl MetricsPage {
    /// Makes the endpoint.
    pub fn new(shared: Arc<Shared>) -> MetricsPage {
        MetricsPage { shared }
    }
}

impl Endpoint for MetricsPage {
    type Output = Response;

    async fn call(&self, _req: Request) -> poem::Result<Response> {
        self.shared.metrics.set_log_dropped(crate::logs::dropped());
        Ok(match self.shared.metrics.text() {
            Ok(text) => Response::builder().content_type("text/plain; version=0.0.4").body(text),
            Err(e) => {
                log::error!("metrics.failed error=\"{e}\"");
                Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).finish()
            }
        })
    }
}
