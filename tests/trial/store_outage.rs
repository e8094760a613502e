//! Outages of the key-value store, with controller processes: which tasks start in them.

use std::time::Duration;

use crate::support::cluster::{Cluster, submission};
use crate::support::kv::KvStore;
use crate::support::refusal::Refused;
use crate::support::worker::{launch_count, register_service};

/// The duration of workers' leases. Cancelled tasks have to end within twice this time.
const WORKER_LEASE: Duration = Duration::from_secs(5);
/// How long the store refuses the leader alone: less than the leader's lease.
const LEADER_REFUSED: Duration = Duration::from_millis(400);

async fn start_cluster(node_id_prefix: &str) -> (KvStore, Cluster) {
    let store = KvStore::default();
    let worker_lease_s = WORKER_LEASE.as_secs_f64();
    let cluster = Cluster::start_on(store.clone(), node_id_prefix, worker_lease_s).await;
    for index in 0..cluster.size() {
        cluster.wait_until_ready(index).await;
    }
    (store, cluster)
}

/// Guards against `ran_cancelled`: the controller that confirmed a cancellation restarts in an
/// outage, so that no controller knows of it. The leader let the worker's lease end, and started
/// the task again in the worker's next agent epoch.
#[tokio::test]
async fn a_cancelled_task_does_not_start_again_in_an_outage() {
    const JOB: &str = "run-000021";
    let (store, mut cluster) = start_cluster("q").await;
    register_service(JOB);
    cluster.submit(0, &submission(JOB, "standing", 1)).await;
    cluster.wait_for_stage(0, JOB, "running").await;
    let leader = cluster.leader().await;
    let other = (leader + 1) % cluster.size();
    store.refusal.set(Refused::Only(leader));
    tokio::time::sleep(LEADER_REFUSED).await;
    assert_eq!(cluster.cancel(other, JOB).await, "cancelled");
    store.refusal.set(Refused::Everybody);
    cluster.restart(other);
    let launched = launch_count(JOB);
    tokio::time::sleep(WORKER_LEASE * 3).await;
    let page = cluster.status_page(leader).await;
    assert!(page.contains("before its deadline"), "{page}");
    assert!(page.contains("no task is started"), "{page}");
    assert_eq!(launch_count(JOB), launched);
    store.refusal.set(Refused::Nobody);
    cluster.wait_for_stage(leader, JOB, "cancelled").await;
    assert_eq!(launch_count(JOB), launched);
}

/// While all controllers live, the leader learns from the others that it knows of all
/// cancellations: accepted tasks go on to start, also later than the leader could without them.
#[tokio::test]
async fn accepted_tasks_start_in_an_outage_in_which_all_controllers_live() {
    const JOB: &str = "run-000022";
    let (store, cluster) = start_cluster("r").await;
    let leader = cluster.leader().await;
    cluster.submit(0, &submission(JOB, "batch", 300)).await;
    cluster.wait_for_stage(0, JOB, "running").await;
    store.refusal.set(Refused::Everybody);
    tokio::time::sleep(WORKER_LEASE * 6 / 5).await;
    let launched = launch_count(JOB);
    tokio::time::sleep(WORKER_LEASE).await;
    let launched_later = launch_count(JOB) - launched;
    let page = cluster.status_page(leader).await;
    assert!(page.contains("tasks may start"), "{page}");
    assert!(launched_later > 0, "{launched} tasks were launched before");
    store.refusal.set(Refused::Nobody);
    cluster.wait_for_stage(0, JOB, "done").await;
}
