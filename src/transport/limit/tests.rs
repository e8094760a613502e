use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::*;

/// Found at full size: the connections of deleted machines took all sockets.
#[tokio::test]
async fn a_connection_on_which_nothing_comes_gives_its_place_back() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let idle = Duration::from_millis(80);
    let mut limited = Limited::new(listener, Places::new(1), idle);
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
async fn a_further_connection_waits_until_one_is_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let mut limited = Limited::new(listener, Places::new(1), Duration::from_secs(60));
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

/// Found with more machines than sockets: those that held a connection kept
/// all others out until their leases ended.
#[tokio::test]
async fn places_are_crowded_before_they_are_full() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let places = Places::new(10);
    let mut limited = Limited::new(listener, places.clone(), Duration::from_secs(60));
    let mut held = Vec::new();
    for n in 1..=8 {
        let stream = TcpStream::connect(addr).await.expect("connects");
        held.push((limited.accept().await, stream));
        assert_eq!(places.crowded(), n > 7);
    }
    held.pop();
    assert!(!places.crowded());
}
