//! Transactions that the key-value store commits late: after the controller that sent them has
//! timed out and the request has been retried.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::nodes::{DEADLINE, cancel, finish_job, job_stage, poll, submission, submit, two_nodes};
use serde_json::{Value, json};
use valegap::coordination::executor::execute;
use valegap::coordination::leadership::lease::ShardLease;
use valegap::coordination::node::Node;
use valegap::coordination::shard::{Action, ShardWrite};
use valegap::protocol::FencingToken;
use valegap::protocol::kv::{Mutation, Transaction};
use valegap::storage::keys;
use valegap::storage::kv_client::TransactionOutcome;

/// The transaction of a submission is delayed, the submission is retried and accepted, and the job
/// is cancelled. When the delayed transaction is then executed, it must not open the job again.
#[tokio::test]
async fn a_late_submission_reopens_no_finished_job() {
    let (store, first, second) = two_nodes().await;
    let body = submission("run-000001", 1.0);
    store.delay_next_write(&keys::job("run-000001"));
    assert_eq!(submit(&first, &body).await.status, 503);
    assert_eq!(store.delayed_count(), 1);
    assert_eq!(submit(&second, &body).await.status, 201);
    assert_eq!(submit(&first, &body).await.status, 200, "known already");
    assert_eq!(job_stage(&cancel(&first, "run-000001").await), "cancelled");
    assert_eq!(store.commit_delayed(), [false]);
    for node in [&first, &second] {
        assert_eq!(job_stage(&poll(node, "run-000001").await), "cancelled");
        let repeated = submit(node, &body).await;
        assert_eq!(
            (repeated.status, job_stage(&repeated).as_str()),
            (200, "cancelled")
        );
    }
    assert_eq!(store.value(&keys::job("run-000001")), None);
}

/// The transaction of an unconfirmed cancellation is delayed. If it is executed after the job is
/// done, the job stays done. If it is committed before the job is done, any controller confirms the
/// cancellation when the user retries it.
#[tokio::test]
async fn a_late_cancellation_changes_no_final_stage_and_its_retry_is_confirmed() {
    let (store, first, second) = two_nodes().await;
    for id in ["run-000001", "run-000002"] {
        assert_eq!(submit(&first, &submission(id, 1.0)).await.status, 201);
    }
    store.delay_next_write(&keys::final_job("run-000001"));
    assert_eq!(cancel(&first, "run-000001").await.status, 503);
    assert!(finish_job(&second, "run-000001").await);
    assert_eq!(store.commit_delayed(), [false]);
    for node in [&first, &second] {
        assert_eq!(job_stage(&poll(node, "run-000001").await), "done");
        assert_eq!(job_stage(&cancel(node, "run-000001").await), "done");
    }
    store.delay_next_write(&keys::final_job("run-000002"));
    assert_eq!(cancel(&first, "run-000002").await.status, 503);
    assert_eq!(store.commit_delayed(), [true]);
    assert_eq!(job_stage(&cancel(&second, "run-000002").await), "cancelled");
    // The controller that confirmed the cancellation reports it to other controllers, although the
    // cancellation was written by the other controller.
    let confirmed = second.job_index.cancelled_after(0).expect("all are known");
    assert_eq!(confirmed.len(), 1);
    assert!(!finish_job(&second, "run-000002").await);
    assert_eq!(job_stage(&poll(&first, "run-000002").await), "cancelled");
}

/// A shard write gets no answer and is retried. The first try is executed after newer writes of the
/// same leader, and must not undo them.
#[tokio::test]
async fn a_late_shard_write_undoes_no_newer_one() {
    let (store, node, _) = two_nodes().await;
    let lease = acquire_leadership(&node).await;
    let key = keys::roster_page(0);
    let write = |value: Value| {
        let mutations = vec![Mutation::put(key.clone(), value)];
        let purposes = Vec::new();
        let action = Action::Write(ShardWrite {
            purposes,
            mutations,
        });
        execute(node.clone(), lease.clone(), action)
    };
    store.delay_next_write(&key);
    write(json!("first")).await;
    assert_eq!(store.delayed_count(), 1, "the first try got no answer");
    assert_eq!(store.value(&key), Some(json!("first")));
    write(json!("second")).await;
    assert_eq!(store.commit_delayed(), [false]);
    assert_eq!(store.value(&key), Some(json!("second")));
    // The sequence record still has the revision on which the leader's next write is conditional.
    write(json!("third")).await;
    assert_eq!(store.value(&key), Some(json!("third")));
    assert!(!lease.has_ended());
}

/// Grants a lease, writes the shard's leader record under it, and returns the leader's lease.
async fn acquire_leadership(node: &Node) -> Arc<ShardLease> {
    let lease_id = node
        .clients
        .kv
        .grant_lease(Duration::from_secs(60), DEADLINE)
        .await;
    let lease_id = lease_id.expect("a lease");
    let leader_record = Mutation::Put {
        key: keys::leader(),
        value: json!({ "v": 2, "label": "n0", "hold": lease_id, "run": 1 }),
        lease: Some(lease_id),
    };
    let txn = Transaction::default().change(leader_record);
    let Ok(TransactionOutcome::Committed { revision }) = node.clients.kv.txn(&txn, DEADLINE).await
    else {
        panic!("the shard has no leader");
    };
    let now = Instant::now();
    let deadline = now + Duration::from_secs(60);
    Arc::new(ShardLease::new(
        lease_id,
        FencingToken::new(revision),
        now,
        deadline,
        now,
    ))
}
