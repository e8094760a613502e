//! User requests that race with the end of a job, are invalid, or meet a failing key-value store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::nodes::{
    DEADLINE, cancel, finish_job, job_stage, node_without_peers, poll, submission, submit,
    two_nodes,
};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use valegap::coordination::node::Node;

/// How long users wait for an answer to a submission or a cancellation.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// A cancellation, a poll and a repeated submission race with the final record of a job whose last
/// task ends. The job is either done or cancelled, and all controllers must answer accordingly.
#[tokio::test]
async fn requests_that_race_with_the_end_of_a_job_are_answered_consistently() {
    let (_store, first, second) = two_nodes().await;
    let mut was_done_first = Vec::new();
    for n in 0..24 {
        let id = format!("run-{n:06}");
        let body = submission(&id, 1.0);
        assert_eq!(submit(&first, &body).await.status, 201);
        let (done, cancelled, polled, repeated) = tokio::join!(
            async {
                tokio::time::sleep(Duration::from_micros(150 * (n % 8))).await;
                finish_job(&first, &id).await
            },
            cancel(&second, &id),
            poll(&first, &id),
            submit(&second, &body),
        );
        let final_stage = if done { "done" } else { "cancelled" };
        assert_eq!(job_stage(&cancelled), final_stage);
        assert!(["pending", final_stage].contains(&job_stage(&polled).as_str()));
        assert_eq!(repeated.status, 200);
        for node in [&first, &second] {
            assert_eq!(job_stage(&poll(node, &id).await), final_stage);
            assert_eq!(job_stage(&cancel(node, &id).await), final_stage);
        }
        was_done_first.push(done);
    }
    assert!(
        was_done_first.contains(&false),
        "no cancellation came first"
    );
}

/// An invalid request is refused immediately, whether or not the key-value store answers. A valid
/// request that can't be decided without the key-value store or the machine types gets a 503.
#[tokio::test]
async fn invalid_requests_are_refused_with_and_without_the_key_value_store() {
    let (_store, connected, _) = two_nodes().await;
    let cut_off = node_without_peers("n2", "127.0.0.1:1".parse().expect("an address"));
    // This read fails: the controller notes that the key-value store doesn't answer.
    let _ = cut_off.clients.kv.get("o/0/owner", DEADLINE).await;
    let job = || submission("run-000001", 1.0);
    let gang = || with_field(job(), "Form", json!("group"));
    let mut incomplete = job();
    let fields = incomplete.as_object_mut().expect("an object");
    fields.remove("Cores");
    let oversized = submission("run-000001", 9.0);
    // Two tasks of five cores each, while the team may use eight cores: the tasks of a batch
    // job could run one after the other, but those of a gang must run at the same time.
    let oversized_gang = with_field(submission("run-000001", 5.0), "Form", json!("group"));
    let unknown_kind = with_field(job(), "Form", json!("swarm"));
    let no_tasks = with_field(gang(), "Voices", json!(0));
    // Two tasks of two accelerators each, while the team may use three accelerators.
    let over_quota = with_field(gang(), "Accelerators", json!(2.0));
    let unknown_team = with_field(job(), "Section", json!("nobody"));
    for node in [&connected, &cut_off] {
        assert_eq!(submit(node, &incomplete).await.status, 400);
        assert_eq!(submit(node, &oversized).await.status, 422);
        assert_eq!(submit(node, &unknown_team).await.status, 422);
        assert_eq!(submit(node, &oversized_gang).await.status, 422);
        assert_eq!(submit(node, &unknown_kind).await.status, 400);
        assert_eq!(submit(node, &no_tasks).await.status, 400);
        assert_eq!(submit(node, &over_quota).await.status, 422);
        assert_eq!(poll(node, "no such id").await.status, 404);
    }
    assert_eq!(poll(&connected, "run-000001").await.status, 404);
    assert_eq!(cancel(&connected, "run-000001").await.status, 404);
    assert_eq!(
        poll(&cut_off, "run-000001").await.status,
        503,
        "without the store the controller can't know whether the job exists"
    );
    let valid = job();
    assert_eq!(submit(&cut_off, &valid).await.status, 503);
    accept_a_gang_of_one(&connected).await;
    connected.lock().machine_types = None;
    assert_eq!(
        submit(&connected, &oversized).await.status,
        503,
        "the machine types are not known yet"
    );
    assert_eq!(submit(&connected, &valid).await.status, 503);
    assert_eq!(submit(&connected, &incomplete).await.status, 400);
}

/// A gang of one task is valid, although its task takes all cores that the team may use.
async fn accept_a_gang_of_one(node: &Arc<Node>) {
    let gang_of_one = with_field(submission("run-000002", 8.0), "Form", json!("group"));
    let gang_of_one = with_field(gang_of_one, "Voices", json!(1));
    assert_eq!(
        submit(node, &gang_of_one).await.status,
        201,
        "a gang of one task is valid"
    );
}

/// Sets one field of a submission.
fn with_field(mut submission: Value, field: &str, value: Value) -> Value {
    submission[field] = value;
    submission
}

/// The key-value store accepts connections but answers no request: users get a 503 before their
/// requests time out.
#[tokio::test]
async fn a_hanging_key_value_store_delays_no_answer_to_users() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let node = node_without_peers("n0", listener.local_addr().expect("an address"));
    let _store = tokio::spawn(async move {
        let mut connections = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            connections.push(stream);
        }
    });
    let start = Instant::now();
    let body = submission("run-000001", 1.0);
    let (submitted, cancelled, polled) = tokio::join!(
        submit(&node, &body),
        cancel(&node, "run-000001"),
        poll(&node, "run-000001"),
    );
    assert!(start.elapsed() < USER_TIMEOUT);
    for response in [submitted, cancelled, polled] {
        assert_eq!(response.status, 503);
    }
}
