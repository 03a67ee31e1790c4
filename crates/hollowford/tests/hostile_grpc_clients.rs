//! Clients of the gRPC entry and of the other addresses of `hollowford serve` that don't behave.
//! The process lives, stays within the memory of its instance, and answers an ordinary request
//! while the crowd is there.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/crowd.rs"]
mod crowd;
#[path = "common/footprint.rs"]
mod footprint;

use bytes::Bytes;
use common::cell::TestProcess;
use common::tls::{run_check, write_certificates};
use common::{Caller, Cell, Options, spec};
use crowd::{Crowd, Script};
use footprint::Watch;
use h2::SendStream;
use h2::client::SendRequest;
use hollowford_protocol::v1::Kind;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Duration;
use tempfile::TempDir;
use tokio::net::TcpStream;
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Memory for a process, in bytes.
const MEMORY: u64 = 256_000_000;
/// Number of connections of a crowd.
const CROWD: usize = 100;
/// Number of connections that send little.
const QUIET_CROWD: usize = 600;
/// Descriptors of a process whose callers take them all.
const OPEN_FILES: u64 = 400;
/// Time after which a stream that takes no more bytes has taken what it does.
const STALL_TIME: Duration = Duration::from_secs(2);
/// Time limit of the ordinary request. Far longer than needed, because the machine may be busy.
const ORDINARY_TIMEOUT: Duration = Duration::from_secs(30);

/// Lets one test run at a time.
async fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::const_new(());
    ALONE.lock().await
}

fn options() -> Options {
    Options { entries: 1, partitions: 1, worker_processes: 1, ..Options::default() }
}

fn addr(process: &TestProcess, name: &str) -> SocketAddr {
    process.addr(name).parse().unwrap()
}

fn watch(process: &TestProcess) -> Watch {
    let addresses = ["callers", "peers", "admin"].map(|name| addr(process, name));
    Watch::start(process.id(), addresses.to_vec())
}

/// Sends an ordinary request on a new connection and returns whether it was accepted.
async fn ordinary_request(cell: &Cell) -> bool {
    let caller: Caller = cell.caller(0, "university").await;
    let spec = spec(Kind::Batch, 1, 500, 10);
    let submitted = caller.submit("ordinary", &spec, false);
    matches!(timeout(ORDINARY_TIMEOUT, submitted).await, Ok(Ok(_)))
}

/// Checks what must hold while `crowd` is there.
async fn check<C>(mut cell: Cell, watch: Watch, crowd: C, answered: bool) {
    drop(crowd);
    let most = watch.finish();
    println!("{most:?} answered={answered}");
    assert!(cell.entries[0].is_running(), "the process has ended");
    assert!(most.memory <= MEMORY, "{most:?}");
    assert!(answered, "an ordinary request");
}

/// Sends a crowd of plain connections to the address called `name`, and checks what must hold.
async fn withstands(options: Options, name: &str, size: usize, script: impl Fn(usize) -> Script) {
    let _alone = alone().await;
    let cell = Cell::start(options).await;
    let watch = watch(&cell.entries[0]);
    let crowd = Crowd::open(addr(&cell.entries[0], name), size, script).await;
    let answered = ordinary_request(&cell).await;
    check(cell, watch, crowd, answered).await;
}

/// Calls that each connection of a crowd makes, and what is sent of each call's message.
#[derive(Clone, Copy, Debug)]
struct UnfinishedCalls {
    per_connection: usize,
    message_bytes: u32,
    sent_bytes: usize,
}

/// A connection with unfinished calls. The task that drives it ends with the set.
struct GrpcConnection {
    _requests: SendRequest<Bytes>,
    _streams: Vec<SendStream<Bytes>>,
    _driver: JoinSet<()>,
}

/// Sends as much of a message as the process takes.
async fn send(stream: &mut SendStream<Bytes>, calls: UnfinishedCalls) {
    let mut prefix = vec![0];
    prefix.extend(calls.message_bytes.to_be_bytes());
    if stream.send_data(prefix.into(), false).is_err() {
        return;
    }
    let mut left = Bytes::from(vec![b'x'; calls.sent_bytes]);
    while !left.is_empty() {
        stream.reserve_capacity(left.len());
        let capacity = std::future::poll_fn(|cx| stream.poll_capacity(cx));
        let Ok(Some(Ok(n))) = timeout(STALL_TIME, capacity).await else { return };
        let part = left.split_to(n.min(left.len()));
        if stream.send_data(part, false).is_err() {
            return;
        }
    }
}

/// Opens a connection, and begins calls on it with a valid token.
async fn open_calls(addr: SocketAddr, calls: UnfinishedCalls) -> Option<GrpcConnection> {
    let tcp = timeout(STALL_TIME, TcpStream::connect(addr)).await.ok()?.ok()?;
    let (mut requests, connection) = h2::client::handshake(tcp).await.ok()?;
    let mut driver = JoinSet::new();
    driver.spawn(async move {
        // The process may close the connection.
        let _ = connection.await;
    });
    let mut streams = Vec::new();
    for _ in 0..calls.per_connection {
        let Ok(Ok(ready)) = timeout(STALL_TIME, requests.clone().ready()).await else { break };
        requests = ready;
        let req = http::Request::post(format!("http://{addr}/hollowford.v1.Scheduler/Submit"))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .header("authorization", "Bearer university-token")
            .body(())
            .expect("a request");
        let Ok((_, mut stream)) = requests.send_request(req, false) else { break };
        send(&mut stream, calls).await;
        streams.push(stream);
    }
    Some(GrpcConnection { _requests: requests, _streams: streams, _driver: driver })
}

async fn withstands_calls(calls: UnfinishedCalls) {
    let _alone = alone().await;
    let cell = Cell::start(options()).await;
    let watch = watch(&cell.entries[0]);
    let callers = addr(&cell.entries[0], "callers");
    let mut opening = JoinSet::new();
    for _ in 0..CROWD {
        opening.spawn(open_calls(callers, calls));
    }
    let crowd = opening.join_all().await;
    crowd::wait_until_taken(callers).await;
    let answered = ordinary_request(&cell).await;
    check(cell, watch, crowd, answered).await;
}

// Guards against messages of the largest size that the transport takes, which stop short.
#[tokio::test(flavor = "multi_thread")]
async fn large_grpc_messages_that_stop_short() {
    withstands_calls(UnfinishedCalls {
        per_connection: 3,
        message_bytes: 3_900_000,
        sent_bytes: 3_899_000,
    })
    .await;
}

// Guards against many calls at once on each connection, whose messages stop short.
#[tokio::test(flavor = "multi_thread")]
async fn many_grpc_messages_that_stop_short() {
    withstands_calls(UnfinishedCalls {
        per_connection: 100,
        message_bytes: 60_000,
        sent_bytes: 59_000,
    })
    .await;
}

// Guards against callers that take all descriptors and send nothing.
#[tokio::test(flavor = "multi_thread")]
async fn silent_grpc_callers() {
    let options = Options { max_open_files: Some(OPEN_FILES), ..options() };
    withstands(options, "callers", QUIET_CROWD, |_| Script::silent()).await;
}

// Guards against other processes, or what seems to be one, that take all descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn silent_links_to_serve() {
    let options = Options { max_open_files: Some(OPEN_FILES), ..options() };
    withstands(options, "peers", QUIET_CROWD, |_| Script::silent()).await;
}

// Guards against frames that stop short before a peer has authenticated itself.
#[tokio::test(flavor = "multi_thread")]
async fn unauthenticated_frames_that_stop_short() {
    const ANNOUNCED: u32 = 4_000_000;
    let frame = vec![b'x'; 3_990_000];
    let script = |_| Script::new(ANNOUNCED.to_be_bytes()).then(frame.clone());
    withstands(options(), "peers", CROWD, script).await;
}

// Guards against large heads that stop short at the address for operators and probes.
#[tokio::test(flavor = "multi_thread")]
async fn heads_of_operators_that_stop_short() {
    let line = format!("filler: {}\r\n", "x".repeat(8_000));
    let script = |_| Script::new("GET /readyz HTTP/1.1\r\n").repeat(line.clone(), 49);
    withstands(options(), "admin", QUIET_CROWD + QUIET_CROWD / 2, script).await;
}

// Guards against TLS handshakes that are begun and never completed.
#[tokio::test(flavor = "multi_thread")]
async fn tls_handshakes_that_stop() {
    let dir = TempDir::new().unwrap();
    write_certificates(dir.path());
    let tls = json!({
        "certificate": dir.path().join("own.pem"), "key": dir.path().join("key.pem"),
    });
    let options = Options { tls: Some(tls), max_open_files: Some(OPEN_FILES), ..options() };
    let _alone = alone().await;
    let cell = Cell::start(options).await;
    let watch = watch(&cell.entries[0]);
    // The first bytes of a record that announces more.
    let script = |_| Script::new([0x16, 3, 1, 0x3f, 0xff, 1, 0, 0x3f, 0xfb]);
    let callers = addr(&cell.entries[0], "callers");
    let crowd = Crowd::open(callers, QUIET_CROWD, script).await;
    let addr = cell.entries[0].addr("callers");
    let answered = run_check(&addr, "ordinary", Some(&dir.path().join("ca.pem"))).await;
    check(cell, watch, crowd, answered).await;
}
