//! Real controllers on loopback, against a simulated cloud and key-value store: they accept,
//! run and finish jobs, and survive restarts and kills.

#![allow(clippy::expect_used, reason = "a panic is how a test fails")]

mod late_transactions;
mod nodes;
mod older_controller;
#[path = "../support/settings.rs"]
mod settings;
mod support;
mod upgrade;
mod user_requests;

use hyper::Method;

use support::cluster::{Cluster, submission};
use support::worker::upload_gang;

/// Controllers exchange the leadership, are killed and restarted within a fraction of a
/// second, at last all of them at once: no job is lost.
#[tokio::test]
async fn controllers_restarted_within_a_second_lose_nothing() {
    let mut cluster = Cluster::start("m").await;
    let ids = ["run-000000", "run-000001", "run-000002"];
    for (at, id) in ids.iter().enumerate() {
        cluster.submit(at, &submission(id, "batch", 8)).await;
    }
    for _ in 0..3 {
        let leader = cluster.leader().await;
        cluster.restart(leader);
        // During the election that follows, another one too.
        cluster.restart((leader + 1) % 3);
    }
    for at in 0..3 {
        cluster.restart(at);
    }
    for id in ids {
        for at in 0..3 {
            cluster.wait_for_stage(at, id, "done").await;
        }
    }
}

#[tokio::test]
async fn three_controllers_finish_jobs_and_survive_a_kill() {
    let mut cluster = Cluster::start("n").await;
    for at in 0..cluster.size() {
        cluster.wait_until_ready(at).await;
    }
    finish_an_array(&cluster).await;
    finish_a_gang(&cluster).await;
    kill_the_leader_during_a_job(&mut cluster).await;
    cancel_a_job(&cluster).await;
    refuse_unknown_and_malformed_requests(&cluster).await;
}

async fn finish_an_array(cluster: &Cluster) {
    let job = submission("run-000001", "batch", 6);
    cluster.submit(0, &job).await;
    cluster.wait_for_stage(1, "run-000001", "done").await;
}

/// Its tasks don't fit on one machine: it runs whole, or never ends.
async fn finish_a_gang(cluster: &Cluster) {
    upload_gang("run-000007", 6);
    let gang = submission("run-000007", "group", 6);
    cluster.submit(1, &gang).await;
    cluster.wait_for_stage(1, "run-000007", "done").await;
}

async fn kill_the_leader_during_a_job(cluster: &mut Cluster) {
    let job = submission("run-000002", "batch", 12);
    cluster.submit(2, &job).await;
    let leader = cluster.leader().await;
    let page = cluster.status_page(leader).await;
    for part in ["fencing token ", "machines", "writes:", "p99"] {
        assert!(page.contains(part), "no {part:?} in {page}");
    }
    cluster.kill(leader);
    for at in 0..cluster.size() {
        cluster.wait_for_stage(at, "run-000002", "done").await;
        // What was confirmed before the kill still holds.
        cluster.wait_for_stage(at, "run-000001", "done").await;
    }
}

/// A repeated cancellation is confirmed with the same stage, by whichever controller.
async fn cancel_a_job(cluster: &Cluster) {
    let job = submission("run-000003", "batch", 2);
    cluster.submit(0, &job).await;
    let confirmed = cluster.cancel(0, "run-000003").await;
    let again = cluster.cancel(1, "run-000003").await;
    assert_eq!(confirmed, again);
}

async fn refuse_unknown_and_malformed_requests(cluster: &Cluster) {
    let unknown = cluster
        .request(0, Method::GET, "/v1/jobs/run-999999", Vec::new())
        .await;
    assert_eq!(unknown.map(|answer| answer.status.as_u16()), Some(404));
    let malformed = cluster
        .request(0, Method::POST, "/v1/jobs", b"{}".to_vec())
        .await;
    assert_eq!(malformed.map(|answer| answer.status.as_u16()), Some(400));
}
