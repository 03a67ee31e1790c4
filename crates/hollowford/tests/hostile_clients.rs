//! Clients that don't behave: crowds that send without end, stop just short of the end, send
//! nothing or read nothing, and stay open. Each process lives, stays within the memory and the
//! descriptors of its instance, and answers an ordinary request while the crowd is there.

#[path = "common/crowd.rs"]
mod crowd;
#[path = "common/footprint.rs"]
mod footprint;
#[path = "common/node.rs"]
mod node;

use crowd::{Crowd, Script};
use footprint::Watch;
use hollowford_adapter_standin::formats::{self, MAX_BODY_BYTES, ProcessLimits};
use node::{Cell, CellOptions, Node};
use std::net::SocketAddr;
use tokio::sync::{Mutex, MutexGuard};

const PLAIN: &str = "/plain/";
/// Limits of the smallest instance of any deployment for memory, and below any for descriptors.
const LIMITS: ProcessLimits = ProcessLimits { memory_mb: 120, max_fds: 600 };
/// Number of connections that send many bytes each.
const CROWD: usize = 600;
/// Number of connections that send little.
const QUIET_CROWD: usize = 1_500;
/// Bytes that each connection sends of a head or of lines that have no end.
const ENDLESS_BYTES: usize = 1_000_000;
/// Id of the ordinary request after a crowd.
const ORDINARY_JOB: u64 = 0xfeed;
/// Size that a peer announces for its frame, and how much of it it sends.
const FRAME_BYTES: u32 = 1_000_000;
const SENT_FRAME_BYTES: usize = 990_000;
/// One of so many bodies is sent to its end.
const COMPLETE_EVERY: usize = 10;

/// Lets one test run at a time.
async fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::const_new(());
    ALONE.lock().await
}

/// The same memory with so many descriptors that only the memory limits a crowd.
const MANY_DESCRIPTORS: ProcessLimits = ProcessLimits { max_fds: 4_200, ..LIMITS };
/// Number of connections that take up more than that memory with bodies of legal size.
const LARGE_CROWD: usize = 1_200;

fn options(limits: ProcessLimits, max_open_files: Option<u64>) -> CellOptions {
    CellOptions {
        cpu_shares: vec![0.25; 2],
        workers: 1,
        workers_per_partition: 1,
        limits,
        max_open_files,
    }
}

/// Sends a crowd to one address of the owner, and checks what must hold.
async fn withstands(
    addr: impl Fn(&Node) -> SocketAddr,
    size: usize,
    script: impl Fn(usize) -> Script,
) {
    withstands_with(LIMITS, addr, size, script).await;
}

/// Does the same with other limits.
async fn withstands_with(
    limits: ProcessLimits,
    addr: impl Fn(&Node) -> SocketAddr,
    size: usize,
    script: impl Fn(usize) -> Script,
) {
    let _alone = alone().await;
    let cell = Cell::start_with_options(options(limits, None)).await;
    check_crowd(cell, limits, addr, size, script).await;
}

async fn check_crowd(
    mut cell: Cell,
    limits: ProcessLimits,
    addr: impl Fn(&Node) -> SocketAddr,
    size: usize,
    script: impl Fn(usize) -> Script,
) {
    let owner = cell.owner();
    let n = &cell.nodes[owner];
    let watch = Watch::start(n.pid(), vec![n.callers, n.readiness, n.peers, n.metrics]);
    let crowd = Crowd::open(addr(n), size, script).await;
    let status = cell.submit(owner, PLAIN, ORDINARY_JOB, 1, 20).await;
    drop(crowd);
    let most = watch.finish();
    println!("{most:?} status={status}");
    assert!(cell.nodes[owner].is_running(), "the process has ended:\n{}", cell.logs());
    assert!(most.memory <= limits.memory_mb * 1_000_000, "{most:?}");
    assert!(most.sockets <= limits.max_fds - formats::FILE_DESCRIPTORS, "{most:?}");
    assert_eq!(status, 200, "an ordinary request:\n{}", cell.logs());
}

/// Returns the first lines of a request, without the empty line that ends them.
fn head(method: &str, i: usize) -> String {
    format!("{method} {PLAIN}{i:016x} HTTP/1.1\r\nhost: {}\r\n", formats::HOST)
}

/// Returns a header line of `len` bytes.
fn header_line(len: usize) -> String {
    let name_and_end = "filler: \r\n".len();
    format!("filler: {}\r\n", "x".repeat(len - name_and_end))
}

/// Returns the body of a valid job, padded to the largest size that is allowed.
fn largest_body() -> Vec<u8> {
    let mut body = formats::job(1, 20).to_string().into_bytes();
    body.resize(MAX_BODY_BYTES, b' ');
    body
}

/// Returns a body of the largest size that is allowed. All but a few stop a byte short of its end.
fn largest_body_cut_short(i: usize) -> Vec<u8> {
    let mut body = largest_body();
    if !i.is_multiple_of(COMPLETE_EVERY) {
        body.pop();
    }
    body
}

fn sized_body(i: usize) -> Script {
    let head = head("POST", i) + &format!("content-length: {MAX_BODY_BYTES}\r\n\r\n");
    Script::new(head).then(largest_body_cut_short(i))
}

/// Returns bytes as chunks of `size` bytes, without the last, empty chunk.
fn chunked(bytes: &[u8], size: usize) -> Vec<u8> {
    let chunk = |c: &[u8]| [format!("{:x}\r\n", c.len()).as_bytes(), c, b"\r\n"].concat();
    bytes.chunks(size).flat_map(chunk).collect()
}

fn chunked_body(i: usize, chunk: usize) -> Script {
    let head = head("POST", i) + "transfer-encoding: chunked\r\n\r\n";
    let script = Script::new(head).then(chunked(&largest_body_cut_short(i), chunk));
    if i.is_multiple_of(COMPLETE_EVERY) { script.then("0\r\n\r\n") } else { script }
}

fn endless_head(i: usize) -> Script {
    const LINE_BYTES: usize = 8_000;
    let line = header_line(LINE_BYTES);
    Script::new(head("GET", i)).repeat(line, ENDLESS_BYTES / LINE_BYTES)
}

// Guards against heads far beyond max-header-bytes that a process keeps while it answers them, and
// afterwards on the open connection.
#[tokio::test(flavor = "multi_thread")]
async fn heads_over_the_limit() {
    const LINES: usize = 90;
    const LINE_BYTES: usize = 4_400;
    let script = |i| {
        let lines = header_line(LINE_BYTES).repeat(LINES);
        Script::new(head("GET", i)).then(lines).then("\r\n")
    };
    withstands(|n| n.callers, CROWD, script).await;
}

// Guards against heads that never end.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_of_callers() {
    withstands(|n| n.callers, CROWD, endless_head).await;
}

// Guards against empty lines before a request, which belong to no head.
#[tokio::test(flavor = "multi_thread")]
async fn empty_lines_without_end() {
    let lines = "\r\n".repeat(4_000);
    let times = ENDLESS_BYTES / lines.len();
    withstands(|n| n.callers, CROWD, |_| Script::silent().repeat(lines.clone(), times)).await;
}

// Guards against many bodies of legal size at once, sent whole but for their last byte.
#[tokio::test(flavor = "multi_thread")]
async fn whole_bodies_that_stop_short() {
    withstands(|n| n.callers, CROWD, sized_body).await;
}

// Guards against the same bodies sent piece by piece.
#[tokio::test(flavor = "multi_thread")]
async fn pieces_of_bodies_that_stop_short() {
    withstands(|n| n.callers, CROWD, |i| sized_body(i).in_pieces_of(4_096)).await;
}

// Guards against bodies in large chunks, whose size is not known before their end.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_that_stop_short() {
    withstands(|n| n.callers, CROWD, |i| chunked_body(i, 32_768)).await;
}

// Guards against bodies in very small chunks, each of which costs more than its bytes.
#[tokio::test(flavor = "multi_thread")]
async fn tiny_chunks_that_stop_short() {
    withstands(|n| n.callers, CROWD + CROWD / 3, |i| chunked_body(i, 16)).await;
}

// Guards against bodies that are held by more connections than the memory has room for.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_on_many_connections() {
    withstands_with(MANY_DESCRIPTORS, |n| n.callers, LARGE_CROWD, sized_body).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_on_many_connections() {
    let script = |i| chunked_body(i, 1_000);
    withstands_with(MANY_DESCRIPTORS, |n| n.callers, LARGE_CROWD, script).await;
}

// Guards against heads that never end on more connections than the memory has room for.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_on_many_connections() {
    withstands_with(MANY_DESCRIPTORS, |n| n.callers, LARGE_CROWD, endless_head).await;
}

// Guards against heads within the limit that stop short on more connections than the memory has
// room for.
#[tokio::test(flavor = "multi_thread")]
async fn heads_on_many_connections() {
    const CONNECTIONS: usize = 3_800;
    let script = |i| Script::new(head("GET", i)).then(header_line(16_000));
    withstands_with(MANY_DESCRIPTORS, |n| n.callers, CONNECTIONS, script).await;
}

// Guards against refusals that aren't true: what was refused for want of room must never run.
#[tokio::test(flavor = "multi_thread")]
async fn refused_bodies_never_run() {
    let _alone = alone().await;
    let cell = Cell::start_with_options(options(LIMITS, None)).await;
    let owner = cell.owner();
    let crowd = Crowd::open(cell.nodes[owner].callers, CROWD, sized_body).await;
    assert_eq!(cell.submit(owner, PLAIN, ORDINARY_JOB, 1, 20).await, 200, "{}", cell.logs());
    let statuses = crowd.statuses();
    drop(crowd);
    cell.wait_until_completed(owner, PLAIN, ORDINARY_JOB).await;
    let refused: Vec<usize> = (0..statuses.len()).filter(|&i| statuses[i] == Some(503)).collect();
    assert!(!refused.is_empty(), "{statuses:?}");
    let starts = cell.platform.start_counts();
    for i in refused {
        assert_eq!(cell.state(owner, PLAIN, i as u64).await, "", "job {i}");
        assert!(!starts.contains_key(&format!("{i:016x}.0.0.0")), "job {i}");
    }
}

// Guards against chunks whose extensions have no end.
#[tokio::test(flavor = "multi_thread")]
async fn chunk_extensions_without_end() {
    let head = |i| head("POST", i) + "transfer-encoding: chunked\r\n\r\n1;";
    let part = "x".repeat(8_000);
    let times = ENDLESS_BYTES / part.len();
    withstands(|n| n.callers, CROWD, |i| Script::new(head(i)).repeat(part.clone(), times)).await;
}

// Guards against trailers without end, after a body that is nearly as large as allowed.
#[tokio::test(flavor = "multi_thread")]
async fn trailers_without_end() {
    let line = header_line(4_000);
    let times = ENDLESS_BYTES / line.len();
    let script = |i| {
        let head = head("POST", i) + "transfer-encoding: chunked\r\n\r\n";
        let body = chunked(&largest_body(), 32_768);
        Script::new(head).then(body).then("0\r\n").repeat(line.clone(), times)
    };
    withstands(|n| n.callers, CROWD, script).await;
}

// Guards against requests in series on a connection whose answers nobody reads.
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_to_requests_in_series() {
    let request = format!("GET /nowhere/ HTTP/1.1\r\nhost: {}\r\n\r\n", formats::HOST);
    let requests = request.repeat(100);
    withstands(|n| n.callers, CROWD / 4, |_| Script::silent().repeat(requests.clone(), 20)).await;
}

// Guards against connections that send nothing and use up the descriptors, which the links to
// other processes, the store and the workers need as well.
#[tokio::test(flavor = "multi_thread")]
async fn silent_callers() {
    withstands(|n| n.callers, QUIET_CROWD, |_| Script::silent()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_readiness_probes() {
    withstands(|n| n.readiness, QUIET_CROWD, |_| Script::silent()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_peers() {
    withstands(|n| n.peers, QUIET_CROWD, |_| Script::silent()).await;
}

// Guards against the addresses that are not for callers, but can be reached.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_of_readiness_probes() {
    withstands(|n| n.readiness, CROWD, endless_head).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_of_metrics_readers() {
    withstands(|n| n.metrics, CROWD, endless_head).await;
}

// Guards against answers that nobody reads and that are larger than their requests.
#[tokio::test(flavor = "multi_thread")]
async fn unread_metrics() {
    let requests = "GET /metrics HTTP/1.1\r\nhost: any\r\n\r\n".repeat(400);
    withstands(|n| n.metrics, CROWD / 2, |_| Script::new(requests.clone())).await;
}

// Guards against frames that are announced and then stop short.
#[tokio::test(flavor = "multi_thread")]
async fn peer_frames_that_stop_short() {
    let frame = vec![b'x'; SENT_FRAME_BYTES];
    let script = |_| Script::new(FRAME_BYTES.to_be_bytes()).then(frame.clone());
    withstands(|n| n.peers, CROWD / 2, script).await;
}

// Guards against the same from peers that have introduced themselves: the frame of an empty
// introduction comes first.
#[tokio::test(flavor = "multi_thread")]
async fn frames_after_an_introduction_that_stop_short() {
    const INTRODUCTION: &[u8] = &[0, 0, 0, 2, 0x0a, 0];
    let frame = vec![b'x'; SENT_FRAME_BYTES];
    let script = |_| Script::new(INTRODUCTION).then(FRAME_BYTES.to_be_bytes()).then(frame.clone());
    withstands(|n| n.peers, CROWD / 2, script).await;
}

// Guards against a process that can accept no connection for want of descriptors and never gets
// one back.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_take_all_descriptors() {
    const OPEN_FILES: u64 = 300;
    let _alone = alone().await;
    let cell = Cell::start_with_options(options(LIMITS, Some(OPEN_FILES))).await;
    check_crowd(cell, LIMITS, |n| n.callers, CROWD, |_| Script::silent()).await;
}
