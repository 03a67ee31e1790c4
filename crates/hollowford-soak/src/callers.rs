//! Callers: they hand in jobs over channels that they keep open, ask for them, cancel some,
//! and write down what they were told.

use crate::cell::QUEUES;
use hollowford_adapter_standin::{Platform, formats};
use reqwest::{Client, Method};
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// A caller waits so long for an answer.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Between two questions, or tries.
const PAUSE: Duration = Duration::from_millis(60);
/// Between two jobs of one caller.
const BETWEEN_JOBS: Duration = Duration::from_millis(25);
/// How often a job is handed in again after an answer that didn't say what came of it.
const TRIES: u32 = 4;
/// How often a job's state is asked for while failures go on; the judge asks on.
const QUESTIONS: u32 = 30;
/// One job in so many is cancelled.
const CANCELLED: u32 = 8;
/// One job in so many crashes the workers that start it.
const CRASHING: u32 = 60;

/// Status of the answer about a job that is not known any more.
pub(crate) const FORGOTTEN: u16 = 410;

/// What one caller knows of a job.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// Prefix of its queue.
    pub queue: &'static str,
    /// How many tasks it has.
    pub tasks: u32,
    /// Some try was answered with success.
    pub accepted: bool,
    /// Some try was not answered, or its effect was not told.
    pub unsure: bool,
    /// It was asked to be cancelled.
    pub cancelling: bool,
    /// When its cancellation was confirmed, by the platform's clock.
    pub cancelled_at: Option<u64>,
    /// It was told to be completed.
    pub completed: bool,
    /// It was told to have failed.
    pub failed: bool,
}

/// What all callers were told.
#[derive(Debug, Default)]
pub struct Book {
    /// By job.
    pub jobs: HashMap<u64, Told>,
    /// Answers that must never be given.
    pub wrong: Vec<String>,
}

/// The book, shared by callers and judge.
pub type SharedBook = Arc<Mutex<Book>>;

/// Locks the book.
pub fn lock(book: &SharedBook) -> MutexGuard<'_, Book> {
    book.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One caller.
#[derive(Debug)]
pub struct Caller {
    /// Its number, part of its jobs' ids.
    pub number: u64,
    /// Where it may call.
    pub nodes: Vec<SocketAddr>,
    /// Its channels.
    pub client: Client,
    /// Its choices.
    pub rng: fastrand::Rng,
    /// What it was told.
    pub book: SharedBook,
    /// Tells the time by which cancellations are noted.
    pub platform: Platform,
    /// It is to end.
    pub stop: Arc<AtomicBool>,
}

impl Caller {
    /// Hands in jobs until it is to stop.
    pub async fn run(mut self) {
        let mut count = 0;
        while !self.stop.load(Ordering::Relaxed) {
            count += 1;
            // Spread over all ids, and never used twice in a run.
            let id = (self.number << 32 | count).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            self.one_job(id).await;
            sleep(BETWEEN_JOBS).await;
        }
    }

    async fn one_job(&mut self, id: u64) {
        let queue = QUEUES[self.rng.usize(..QUEUES.len())];
        let (tasks, body) = self.draw_job();
        lock(&self.book).jobs.insert(id, Told { queue, tasks, ..Told::default() });
        let mut node = self.rng.usize(..self.nodes.len());
        for _ in 0..TRIES {
            match self.call(node, Method::POST, queue, id, &body).await.0 {
                200 => {
                    self.note(id, |t| t.accepted = true);
                    return self.follow(node, queue, id).await;
                }
                // Refused as not run: it may be left at that.
                429 | 503 if self.rng.bool() => return,
                429 | 503 => {}
                _ => self.note(id, |t| t.unsure = true),
            }
            node = self.rng.usize(..self.nodes.len());
            sleep(PAUSE).await;
        }
    }

    /// Asks for a job that was taken until it has ended, and cancels some.
    async fn follow(&mut self, mut node: usize, queue: &'static str, id: u64) {
        if self.rng.u32(..CANCELLED) == 0 {
            sleep(PAUSE * self.rng.u32(..4)).await;
            self.note(id, |t| t.cancelling = true);
            let (status, _) = self.call(node, Method::DELETE, queue, id, &Value::Null).await;
            if status == 200 {
                let now = self.platform.now();
                self.note(id, |t| t.cancelled_at = Some(now));
            }
        }
        for _ in 0..QUESTIONS {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let (status, body) = self.call(node, Method::GET, queue, id, &Value::Null).await;
            let state = body["state"].as_str().unwrap_or("").to_owned();
            if judge_answer(&mut lock(&self.book), id, status, &state) {
                return;
            }
            if status != 200 {
                node = self.rng.usize(..self.nodes.len());
            }
            sleep(PAUSE).await;
        }
    }

    fn note(&self, id: u64, change: impl FnOnce(&mut Told)) {
        lock(&self.book).jobs.entry(id).and_modify(change);
    }

    /// Draws the tasks of each step, their time and what they take, and returns the job.
    fn draw_job(&mut self) -> (u32, Value) {
        let ms = self.rng.u64(10..500);
        let cpu_milli = [500, 1_000, 4_000, 9_000][self.rng.usize(..4)];
        if self.rng.u32(..CRASHING) == 0 {
            return (1, formats::crashing_job(cpu_milli));
        }
        let counts: Vec<u32> = (0..self.rng.usize(1..=3)).map(|_| self.rng.u32(1..5)).collect();
        (counts.iter().sum(), formats::chain_job(&counts, ms, cpu_milli))
    }

    async fn call(
        &self,
        node: usize,
        method: Method,
        queue: &str,
        id: u64,
        body: &Value,
    ) -> (u16, Value) {
        let url = format!("http://{}{queue}{id:016x}", self.nodes[node]);
        call(&self.client, method, &url, body).await
    }
}

/// Makes a request; status 0: no answer.
pub async fn call(client: &Client, method: Method, url: &str, body: &Value) -> (u16, Value) {
    let req = client.request(method, url).header("host", formats::HOST);
    let req = req.timeout(TIMEOUT).body(body.to_string());
    let Ok(answer) = req.send().await else { return (0, Value::Null) };
    let status = answer.status().as_u16();
    let bytes = answer.bytes().await.unwrap_or_default();
    (status, serde_json::from_slice(&bytes).unwrap_or(Value::Null))
}

/// Writes down what was told of a job that was taken, and what is wrong with it. Tells
/// whether the job has ended.
pub fn judge_answer(book: &mut Book, id: u64, status: u16, state: &str) -> bool {
    let Some(told) = book.jobs.get_mut(&id) else { return true };
    let wrong = match (status, state) {
        (FORGOTTEN, _) => Some("is not known any more"),
        (200, "cancelled") if !told.cancelling => Some("is cancelled though nobody asked"),
        (200, "completed") => None,
        (200, _) if told.completed => Some("goes on after it was completed"),
        _ => None,
    };
    told.completed |= status == 200 && state == "completed";
    told.failed |= status == 200 && state == "failed";
    if let Some(wrong) = wrong {
        book.wrong.push(format!("job {id:016x} {wrong}"));
    }
    status == 200 && ["completed", "cancelled", "failed"].contains(&state)
}
