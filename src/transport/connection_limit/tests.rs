use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// Guards against connections of deleted machines occupying all sockets, which happened at full
/// scale: a deleted machine doesn't close its connections.
#[tokio::test]
async fn an_idle_connection_is_closed_and_no_longer_counts_against_the_limit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let idle_timeout = Duration::from_millis(80);
    let mut limited = LimitedListener::new(listener, ConnectionLimit::new(1), idle_timeout);
    let mut idle_client = TcpStream::connect(addr).await.expect("connects");
    let (mut connection, _) = limited.accept().await;
    let accepted_at = Instant::now();
    idle_client.write_all(b"x").await.expect("writes");
    let mut byte = [0];
    connection.read_exact(&mut byte).await.expect("reads");
    let error = connection.read_exact(&mut byte).await.expect_err("idle");
    assert_eq!(error.kind(), io::ErrorKind::TimedOut);
    assert!(accepted_at.elapsed() >= idle_timeout);
    drop(connection);
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
    let (connection, _) = limited.accept().await;
    let _second = TcpStream::connect(addr)
        .await
        .expect("waits in the backlog");
    let blocked = tokio::time::timeout(Duration::from_millis(50), limited.accept()).await;
    assert!(blocked.is_err());
    drop(connection);
    limited.accept().await;
}

/// Guards against workers with open connections locking out all other workers until the leases of
/// those expire, which happened with more machines than sockets.
#[tokio::test]
async fn a_limit_is_near_capacity_before_it_is_reached() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let limit = ConnectionLimit::new(10);
    let mut limited = LimitedListener::new(listener, limit.clone(), Duration::from_secs(60));
    let mut connections = Vec::new();
    for open_connections in 1..=8 {
        let stream = TcpStream::connect(addr).await.expect("connects");
        connections.push((limited.accept().await, stream));
        assert_eq!(limit.is_near_capacity(), open_connections > 7);
    }
    connections.pop();
    assert!(!limit.is_near_capacity());
}
