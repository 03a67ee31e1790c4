//! Data that a proxy holds back never reaches the next incarnation of its target.
//!
//! Guards against a held call that arrives at the next incarnation of a worker under the same id, which
//! then forgets ended tasks that nobody has read. Real connections end with the process.

use crate::proxy::{Mode, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[tokio::test]
async fn data_held_for_an_incarnation_is_dropped_with_it() {
    let target = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let generations = watch::Sender::new(0);
    let addr = target.local_addr().expect("its address");
    let proxy =
        Proxy::open_with_generations(addr, Some(generations.subscribe())).await.expect("a proxy");

    let mut caller = TcpStream::connect(proxy.addr).await.expect("a channel");
    let (mut first, _) = target.accept().await.expect("its other end");
    proxy.set_mode(Mode::HoldRequests);
    caller.write_all(b"order").await.expect("sent");
    generations.send_modify(|n| *n += 1);
    let mut buf = [0; 8];
    assert!(
        !matches!(caller.read(&mut buf).await, Ok(1..)),
        "the caller's connection is still open"
    );
    proxy.set_mode(Mode::Pass);
    assert!(!matches!(first.read(&mut buf).await, Ok(1..)), "held data was delivered");

    // A connection to the next incarnation works.
    let mut caller = TcpStream::connect(proxy.addr).await.expect("a channel");
    let (mut second, _) = target.accept().await.expect("its other end");
    caller.write_all(b"order").await.expect("sent");
    let read = second.read(&mut buf).await.expect("read");
    assert_eq!(&buf[..read], b"order");
}
