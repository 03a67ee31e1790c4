//! Single requests as large, as slow and as finely divided as the configuration allows: in calm
//! each gets its answer. Those that are larger are told so.
#![allow(clippy::expect_used)]

#[path = "common/node.rs"]
mod node;

use hollowford_adapter_standin::formats::{self, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use node::Cell;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const PLAIN: &str = "/plain/";
/// Pause between the parts of a slow request; ten of them are shorter than the time for a head.
const PAUSE: Duration = Duration::from_millis(240);
const PARTS: usize = 10;
/// Shorter than the time after which an idle connection may be closed.
const IDLE_TIME: Duration = Duration::from_millis(13_500);

/// Returns the head of a request with a body, without the empty line that ends it. Its caller waits
/// long enough for any machine.
fn head(id: u64) -> String {
    let first_lines = format!("POST {PLAIN}{id:016x} HTTP/1.1\r\nhost: {}\r\n", formats::HOST);
    first_lines + "hollowford-timeout-ms: 60000\r\n"
}

fn largest_body() -> Vec<u8> {
    let mut body = formats::job(1, 20).to_string().into_bytes();
    body.resize(MAX_BODY_BYTES, b' ');
    body
}

fn small_body() -> String {
    formats::job(1, 20).to_string()
}

/// Returns the body in chunks of `size` bytes.
fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let chunk = |c: &[u8]| [format!("{:x}\r\n", c.len()).as_bytes(), c, b"\r\n"].concat();
    let mut bytes: Vec<u8> = body.chunks(size).flat_map(chunk).collect();
    bytes.extend(b"0\r\n\r\n");
    bytes
}

/// Sends the parts of a request with `pause` between them and returns the answer's status.
async fn exchange(stream: &mut TcpStream, parts: &[&[u8]], pause: Duration) -> u16 {
    for (i, part) in parts.iter().enumerate() {
        if i > 0 {
            tokio::time::sleep(pause).await;
        }
        stream.write_all(part).await.expect("the process reads the request");
    }
    let mut buf = vec![0; 4_096];
    let n = stream.read(&mut buf).await.expect("an answer");
    let answer = String::from_utf8_lossy(&buf[..n]);
    answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Checks that a request that is sent in these parts is served.
async fn is_served(parts: &[&[u8]], pause: Duration) {
    let cell = Cell::start(1, 1).await;
    let mut stream = TcpStream::connect(cell.nodes[0].callers).await.expect("a connection");
    assert_eq!(exchange(&mut stream, parts, pause).await, 200, "{}", cell.logs());
}

fn sized_head(id: u64, len: usize) -> String {
    head(id) + &format!("content-length: {len}\r\n\r\n")
}

#[tokio::test]
async fn the_largest_body_is_served() {
    let head = sized_head(1, MAX_BODY_BYTES);
    is_served(&[head.as_bytes(), &largest_body()], Duration::ZERO).await;
}

#[tokio::test]
async fn the_largest_body_is_served_when_it_comes_slowly() {
    let head = sized_head(1, MAX_BODY_BYTES);
    let body = largest_body();
    let mut parts: Vec<&[u8]> = body.chunks(MAX_BODY_BYTES.div_ceil(PARTS)).collect();
    parts.insert(0, head.as_bytes());
    is_served(&parts, PAUSE).await;
}

async fn chunks_are_served(size: usize) {
    let head = head(1) + "transfer-encoding: chunked\r\n\r\n";
    is_served(&[head.as_bytes(), &chunked(&largest_body(), size)], Duration::ZERO).await;
}

#[tokio::test]
async fn chunks_of_one_byte_are_served() {
    chunks_are_served(1).await;
}

#[tokio::test]
async fn chunks_of_1000_bytes_are_served() {
    chunks_are_served(1_000).await;
}

#[tokio::test]
async fn chunks_of_32768_bytes_are_served() {
    chunks_are_served(32_768).await;
}

/// Returns a head with a body's length, filled up to the largest size with lines of `line_bytes`.
fn largest_head(line_bytes: usize) -> String {
    let mut lines = head(1) + &format!("content-length: {}\r\n", small_body().len());
    let end = "\r\n";
    while MAX_HEAD_BYTES - lines.len() - end.len() >= 2 * line_bytes {
        lines += &filler(line_bytes);
    }
    lines += &filler(MAX_HEAD_BYTES - lines.len() - end.len());
    lines + end
}

/// Returns a header line of `len` bytes.
fn filler(len: usize) -> String {
    let name_and_end = "f: \r\n".len();
    format!("f: {}\r\n", "x".repeat(len - name_and_end))
}

#[tokio::test]
async fn the_largest_head_is_served() {
    let head = largest_head(1_000);
    assert_eq!(head.len(), MAX_HEAD_BYTES);
    is_served(&[head.as_bytes(), small_body().as_bytes()], Duration::ZERO).await;
}

#[tokio::test]
async fn the_largest_head_is_served_when_it_comes_slowly() {
    let head = largest_head(1_000);
    let body = small_body();
    let mut parts: Vec<&[u8]> = head.as_bytes().chunks(MAX_HEAD_BYTES.div_ceil(PARTS)).collect();
    parts.push(body.as_bytes());
    is_served(&parts, PAUSE).await;
}

// Guards against a limit on the number of header lines, which the configuration doesn't have.
#[tokio::test]
async fn a_head_of_many_short_lines_is_served() {
    let head = largest_head(filler(6).len());
    assert!(head.lines().count() > 900);
    is_served(&[head.as_bytes(), small_body().as_bytes()], Duration::ZERO).await;
}

/// Checks that a request that is sent in these parts is refused with `status`.
async fn is_refused(parts: &[&[u8]], status: u16) {
    let cell = Cell::start(1, 1).await;
    let mut stream = TcpStream::connect(cell.nodes[0].callers).await.expect("a connection");
    assert_eq!(exchange(&mut stream, parts, Duration::ZERO).await, status, "{}", cell.logs());
}

#[tokio::test]
async fn a_head_over_the_limit_is_refused() {
    let head = head(1) + &filler(MAX_HEAD_BYTES) + "\r\n";
    is_refused(&[head.as_bytes()], 431).await;
}

// Guards against a body that is read although its head tells that it is too large.
#[tokio::test]
async fn a_body_over_the_limit_is_refused_before_it_comes() {
    let head = sized_head(1, MAX_BODY_BYTES + 1);
    is_refused(&[head.as_bytes()], 413).await;
}

#[tokio::test]
async fn chunks_over_the_limit_are_refused() {
    let head = head(1) + "transfer-encoding: chunked\r\n\r\n";
    let mut body = largest_body();
    body.push(b' ');
    is_refused(&[head.as_bytes(), &chunked(&body, 32_768)], 413).await;
}

#[tokio::test]
async fn an_idle_connection_serves_the_next_request() {
    let cell = Cell::start(1, 1).await;
    let mut stream = TcpStream::connect(cell.nodes[0].callers).await.expect("a connection");
    let body = small_body();
    for id in 1..=2 {
        let head = sized_head(id, body.len());
        let parts = [head.as_bytes(), body.as_bytes()];
        if id > 1 {
            tokio::time::sleep(IDLE_TIME).await;
        }
        assert_eq!(exchange(&mut stream, &parts, Duration::ZERO).await, 200, "{}", cell.logs());
    }
}
