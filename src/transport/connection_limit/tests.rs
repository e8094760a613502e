use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// Found at full scale: the connections of deleted machines took all sockets.
#[tokio::test]
async fn an_idle_connection_is_closed_and_frees_its_place_in_the_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let idle = Duration::from_millis(80);
    let mut limited = LimitedListener::new(listener, ConnectionLimit::new(1), idle);
    let mut gone = TcpStream::connect(addr).await.expect("connects");
    let (mut held, _) = limited.accept().await;
    let begun = Instant::now();
    gone.write_all(b"x").await.expect("writes");
    let mut byte = [0];
    held.read_exact(&mut byte).await.expect("reads");
    let error = held.read_exact(&mut byte).await.expect_err("idle");
    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    assert!(begun.elapsed() >= idle);
    drop(held);
    let _next = TcpStream::connect(addr).await.expect("connects");
    limited.accept().await;
}

#[tokio::test]
async fn at_the_limit_a_connection_waits_until_another_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let mut limited =
        LimitedListener::new(listener, ConnectionLimit::new(1), Duration::from_secs(60));
    let _first = TcpStream::connect(addr).await.expect("connects");
    let (held, _) = limited.accept().await;
    let _second = TcpStream::connect(addr)
        .await
        .expect("waits in the backlog");
    let blocked = tokio::time::timeout(Duration::from_millis(50), limited.accept()).await;
    assert!(blocked.is_err());
    drop(held);
    limited.accept().await;
}

/// Found with more machines than sockets: the workers that held a connection kept all others out
/// until their leases expired.
#[tokio::test]
async fn a_limit_is_near_capacity_before_it_is_reached() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let limit = ConnectionLimit::new(10);
    let mut limited = LimitedListener::new(listener, limit.clone(), Duration::from_secs(60));
    let mut held = Vec::new();
    for n in 1..=8 {
        let stream = TcpStream::connect(addr).await.expect("connects");
        held.push((limited.accept().await, stream));
        assert_eq!(limit.near_capacity(), n > 7);
    }
    held.pop();
    assert!(!limit.near_capacity());
}
