use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;
use crate::clock::SteadyClock;
use crate::transport::client::MAX_ANSWER;

/// A watch that has missed more than an answer may hold would ask for the same
/// for ever: the keys are read again instead, as after a 410.
#[tokio::test]
async fn what_is_too_much_to_follow_is_read_again_in_pages() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("connects");
        let _ = stream.read(&mut [0; 1024]).await;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            MAX_ANSWER + 1
        );
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(&vec![b' '; MAX_ANSWER + 1]).await;
    });
    let client = KvClient::new(addr, Arc::new(SteadyClock));
    let looked = client.catch_up("j/", 0, Duration::from_secs(5)).await;
    assert!(matches!(looked, Err(KvError::TooOld)), "{looked:?}");
    let (served, failed) = client.health();
    assert!(
        served.is_some() && failed.is_none(),
        "the service did answer"
    );
}
