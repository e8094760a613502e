//! User requests that race with the end of a job, are invalid, or meet a failing key-value store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::nodes::{DEADLINE, cancel, finish, node, poll, stage, submission, submit, two_nodes};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use valegap::coordination::node::Node;

/// Users wait this long for an answer to a submission or a cancellation.
const USERS_WAIT: Duration = Duration::from_secs(5);

/// A cancellation, a poll and a repeated submission race with the end of a job's last task: all
/// controllers answer with the same history.
#[tokio::test]
async fn requests_that_race_with_the_end_of_a_job_are_answered_consistently() {
    let (_store, first, second) = two_nodes().await;
    let mut ends = Vec::new();
    for n in 0..24 {
        let id = format!("run-{n:06}");
        let body = submission(&id, 1.0);
        assert_eq!(submit(&first, &body).await.status, 201);
        let (done, cancelled, polled, repeated) = tokio::join!(
            async {
                tokio::time::sleep(Duration::from_micros(150 * (n % 8))).await;
                finish(&first, &id).await
            },
            cancel(&second, &id),
            poll(&first, &id),
            submit(&second, &body),
        );
        let end = if done { "done" } else { "cancelled" };
        assert_eq!(stage(&cancelled), end);
        assert!(["pending", end].contains(&stage(&polled).as_str()));
        assert_eq!(repeated.status, 200);
        for node in [&first, &second] {
            assert_eq!(stage(&poll(node, &id).await), end);
            assert_eq!(stage(&cancel(node, &id).await), end);
        }
        ends.push(done);
    }
    assert!(ends.contains(&false), "no cancellation came first");
}

/// What is wrong in itself is refused at once, whether or not the key-value store answers, and
/// never accepted; what cannot be decided now is answered with 503.
#[tokio::test]
async fn invalid_requests_are_refused_with_and_without_the_key_value_store() {
    let (_store, served, _) = two_nodes().await;
    let cut_off = node("n2", "127.0.0.1:1".parse().expect("an address"));
    let _ = cut_off.clients.kv.get("o/0/owner", DEADLINE).await;
    let job = || submission("run-000001", 1.0);
    let gang = || with(job(), "Form", json!("group"));
    let mut incomplete = job();
    let fields = incomplete.as_object_mut().expect("an object");
    fields.remove("Cores");
    let oversized = submission("run-000001", 9.0);
    // Two tasks of five cores: those of an array run in turn, those of a gang never fit together.
    let oversized_gang = with(submission("run-000001", 5.0), "Form", json!("group"));
    let unknown_kind = with(job(), "Form", json!("swarm"));
    let no_tasks = with(gang(), "Voices", json!(0));
    // Two tasks of two accelerators, of which the team may use three.
    let over_quota = with(gang(), "Accelerators", json!(2.0));
    let unknown_team = with(job(), "Section", json!("nobody"));
    for node in [&served, &cut_off] {
        assert_eq!(submit(node, &incomplete).await.status, 400);
        assert_eq!(submit(node, &oversized).await.status, 422);
        assert_eq!(submit(node, &unknown_team).await.status, 422);
        assert_eq!(submit(node, &oversized_gang).await.status, 422);
        assert_eq!(submit(node, &unknown_kind).await.status, 400);
        assert_eq!(submit(node, &no_tasks).await.status, 400);
        assert_eq!(submit(node, &over_quota).await.status, 422);
        assert_eq!(poll(node, "no such id").await.status, 404);
    }
    assert_eq!(poll(&served, "run-000001").await.status, 404);
    assert_eq!(cancel(&served, "run-000001").await.status, 404);
    assert_eq!(
        poll(&cut_off, "run-000001").await.status,
        503,
        "it cannot know"
    );
    let valid = job();
    assert_eq!(submit(&cut_off, &valid).await.status, 503);
    accept_a_gang_of_one(&served).await;
    served.lock().machine_types = None;
    assert_eq!(
        submit(&served, &oversized).await.status,
        503,
        "the machine types are not known yet"
    );
    assert_eq!(submit(&served, &valid).await.status, 503);
    assert_eq!(submit(&served, &incomplete).await.status, 400);
}

async fn accept_a_gang_of_one(node: &Arc<Node>) {
    let gang_of_one = with(submission("run-000002", 8.0), "Form", json!("group"));
    let gang_of_one = with(gang_of_one, "Voices", json!(1));
    assert_eq!(
        submit(node, &gang_of_one).await.status,
        201,
        "a gang of one task is valid"
    );
}

/// A submission with one field changed.
fn with(mut submission: Value, field: &str, value: Value) -> Value {
    submission[field] = value;
    submission
}

/// The key-value store takes requests and answers none: users get a 503 in time.
#[tokio::test]
async fn a_hanging_key_value_store_delays_no_answer_to_users() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let node = node("n0", listener.local_addr().expect("an address"));
    let _open = tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            open.push(stream);
        }
    });
    let start = Instant::now();
    let body = submission("run-000001", 1.0);
    let (submitted, cancelled, polled) = tokio::join!(
        submit(&node, &body),
        cancel(&node, "run-000001"),
        poll(&node, "run-000001"),
    );
    assert!(start.elapsed() < USERS_WAIT);
    for reply in [submitted, cancelled, polled] {
        assert_eq!(reply.status, 503);
    }
}
