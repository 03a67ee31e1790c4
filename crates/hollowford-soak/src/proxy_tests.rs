//! What a proxy holds never reaches the next life at its other end.
//!
//! What was seen: a call that a worker's proxy had held came to the worker's next life under its id,
//! which forgot ends by it that nobody had read. No channel outlasts the process at its end.

use crate::proxy::{Mode, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[tokio::test]
async fn what_is_held_for_a_life_ends_with_it() {
    let target = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let lives = watch::Sender::new(0);
    let addr = target.local_addr().expect("its address");
    let proxy = Proxy::open_to_lives(addr, Some(lives.subscribe())).await.expect("a proxy");

    let mut caller = TcpStream::connect(proxy.addr).await.expect("a channel");
    let (mut first, _) = target.accept().await.expect("its other end");
    proxy.set(Mode::HoldRequests);
    caller.write_all(b"order").await.expect("sent");
    lives.send_modify(|n| *n += 1);
    let mut buf = [0; 8];
    assert!(!matches!(caller.read(&mut buf).await, Ok(1..)), "the caller learns that it is over");
    proxy.set(Mode::Pass);
    assert!(!matches!(first.read(&mut buf).await, Ok(1..)), "and nothing comes to the next life");

    // A channel to the next life serves.
    let mut caller = TcpStream::connect(proxy.addr).await.expect("a channel");
    let (mut second, _) = target.accept().await.expect("its other end");
    caller.write_all(b"order").await.expect("sent");
    let read = second.read(&mut buf).await.expect("read");
    assert_eq!(&buf[..read], b"order");
}
