use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;
use crate::clock::SystemClock;
use crate::transport::client::MAX_ANSWER_BYTES;

/// If a watch has missed more changes than fit into one answer, asking again would fail forever.
/// The client reports them as compacted, as for a 410, so that the keys are listed again instead.
#[tokio::test]
async fn a_watch_answer_that_is_too_large_is_reported_as_compacted() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("connects");
        let _ = stream.read(&mut [0; 1024]).await;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            MAX_ANSWER_BYTES + 1
        );
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(&vec![b' '; MAX_ANSWER_BYTES + 1]).await;
    });
    let client = KvClient::new(addr, Arc::new(SystemClock));
    let caught_up = client.catch_up("j/", 0, Duration::from_secs(5)).await;
    assert!(
        matches!(caught_up, Err(KvError::Compacted { .. })),
        "{caught_up:?}"
    );
    let health = client.health();
    assert!(
        health.last_served.is_some() && health.last_failed.is_none(),
        "an answer that is too large still counts as served"
    );
}

#[test]
fn requests_have_the_paths_of_the_key_value_store_interface() {
    for (request, path) in [
        (
            KvRequest::Get {
                key: "o/0/owner".into(),
            },
            "/store/o/0/owner",
        ),
        (
            KvRequest::List {
                prefix: "j/open/".into(),
                after: "j/open/run-1".into(),
            },
            "/store?Prefix=j/open/&After=j/open/run-1&Most=500",
        ),
        (KvRequest::Transaction, "/txn"),
        (KvRequest::GrantLease, "/holds"),
        (KvRequest::RenewLease { lease: 4 }, "/holds/4/renew"),
        (KvRequest::RevokeLease { lease: 4 }, "/holds/4"),
        (
            KvRequest::Watch {
                prefix: "j/".into(),
                after: 7,
                hold_ms: 1500,
            },
            "/follow?Prefix=j/&After=7&HoldMs=1500",
        ),
    ] {
        assert_eq!(request.path(), path);
    }
}

#[test]
fn errors_say_what_was_requested_and_why_it_failed() {
    let request = KvRequest::RenewLease { lease: 4 };
    let refused = KvError::Refused {
        request: request.clone(),
        reason: Refusal::RateLimited,
    };
    assert_eq!(
        refused.to_string(),
        "the renewal of lease 4 was refused: rate limited (429)"
    );
    assert!(refused.is_rate_limited() && !refused.is_protocol_error());
    let answer = Answer {
        status: StatusCode::OK,
        body: "[".into(),
    };
    let undecodable = decode::<KeyValue>(request, &answer).expect_err("no JSON");
    assert!(undecodable.is_protocol_error());
    assert!(std::error::Error::source(&undecodable).is_some());
}
