//! Cancellations that a leader cannot read from the key-value store during an outage: it learns of
//! them from its peers, or stops renewing worker leases and starting tasks.

use std::time::Instant;

use tokio::net::TcpListener;

use super::peer;
use super::store_outage::{
    ACCEPTED_REVISION, CANCELLED_REVISION, CATCH_UP_REVISION, StoreOutage, seconds, spec,
};
use crate::coordination::executor::execute;
use crate::coordination::worker_leases::cancellation_freshness::{
    CancellationFreshness, staleness_bound,
};
use crate::protocol::kv::WatchEvent;
use crate::protocol::users::JobStage;
use crate::protocol::workers::Command;
use crate::storage::keys;
use crate::storage::records::{FORMAT_VERSION, FinalRecord, JobRecord};

/// Whether an answer stops a task. Panics if the worker was not answered.
fn has_stop(commands: Option<Vec<Command>>) -> bool {
    let commands = commands.expect("the worker is answered");
    commands.iter().any(|c| matches!(c, Command::Stop { .. }))
}

/// The key-value store refuses only the leader, a job is cancelled through another controller, and
/// then the store fails for all controllers. The leader learns of the cancellation from that
/// controller, and keeps all worker leases renewed, however long the outage lasts.
#[tokio::test]
async fn a_leader_learns_from_its_peers_what_they_cancelled_before_an_outage() {
    let mut outage = StoreOutage::new().await;
    assert!(!has_stop(outage.heartbeat()));
    outage.advance(seconds(1));
    outage.cancel_through_peer();
    outage.advance(seconds(1));
    assert!(
        !has_stop(outage.heartbeat()),
        "no peer has reported the cancellation yet"
    );
    outage.record_confirmations_of(&outage.peer.clone());
    assert!(
        has_stop(outage.heartbeat()),
        "the task is stopped within a heartbeat"
    );
    for _ in 0..100 {
        outage.advance(seconds(1));
        outage.record_confirmations_of(&outage.peer.clone());
        assert!(
            outage.heartbeat().is_some(),
            "one confirmation per second keeps all leases renewed"
        );
    }
}

/// While the store refuses the leader, a job is cancelled through a controller that confirms
/// nothing to the leader, because it runs an older version or is unreachable. The votes that extend
/// the leader's own lease must not be enough to renew worker leases.
#[tokio::test]
async fn a_leader_without_fresh_cancellations_suspends_lease_renewals() {
    let mut outage = StoreOutage::new().await;
    let bound = staleness_bound(&outage.leader.settings);
    let workers = &outage.leader.settings.platform.settings.workers;
    let must_suspend_by =
        outage.leader.now() + workers.max_cancellation_time() - workers.lease_duration();
    outage.cancel_through_peer();
    outage.advance(bound - seconds(1));
    assert!(outage.heartbeat().is_some());
    outage.advance(seconds(1));
    assert!(outage.leader.now() < must_suspend_by);
    assert!(
        outage.lease.is_live(outage.leader.now()),
        "the lease is still extended by votes"
    );
    assert_eq!(outage.heartbeat(), None);
    // The key-value store answers again: a catch-up read resumes the renewals.
    outage
        .leader
        .lock()
        .cancellations
        .record_catch_up(outage.leader.now());
    assert!(outage.heartbeat().is_some());
}

/// Guards against `ran_cancelled`: the job was cancelled through a controller that then crashed, and
/// the leader, which had let the worker's lease end, launched the task again.
#[tokio::test]
async fn a_leader_without_fresh_cancellations_starts_no_task() {
    let mut outage = StoreOutage::new().await;
    let bound = staleness_bound(&outage.leader.settings);
    assert!(outage.heartbeat().is_some());
    outage.cancel_through_peer();
    outage.advance(bound);
    // The worker has lost the task.
    assert_eq!(outage.heartbeat_listing(Vec::new()), None);
    for _ in 0..60 {
        assert_eq!(outage.count_launches(), 0);
        outage.advance(seconds(1));
        assert_eq!(outage.heartbeat_listing(Vec::new()), None);
    }
    // The key-value store answers again. A catch-up read would show the cancellation.
    outage
        .leader
        .lock()
        .cancellations
        .record_catch_up(outage.leader.now());
    outage.record_confirmations_of(&outage.peer.clone());
    assert_eq!(outage.count_launches(), 0);
}

/// All controllers live, so the leader learns of all cancellations: a task that its worker loses
/// starts again, however long the outage has lasted.
#[tokio::test]
async fn a_leader_with_fresh_cancellations_starts_accepted_work_in_an_outage() {
    let mut outage = StoreOutage::new().await;
    let bound = staleness_bound(&outage.leader.settings);
    for _ in 0..2 * bound.as_secs() {
        outage.advance(seconds(1));
        outage.record_confirmations_of(&outage.peer.clone());
        assert!(outage.heartbeat().is_some());
    }
    assert!(outage.heartbeat_listing(Vec::new()).is_some());
    assert_eq!(outage.count_launches(), 1);
}

/// A batch may wait before it is sent, and its launches need a permit when it is.
#[tokio::test]
async fn a_launch_that_waited_past_the_run_deadline_is_not_sent() {
    let mut outage = StoreOutage::new().await;
    let worker = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let launch = outage.launch_on(&worker);
    let execute = || execute(outage.leader.clone(), outage.lease.clone(), launch.clone());
    tokio::select! {
        () = execute() => panic!("the worker does not answer"),
        connection = worker.accept() => assert!(connection.is_ok()),
    }
    outage.advance(staleness_bound(&outage.leader.settings));
    tokio::select! {
        () = execute() => {}
        _ = worker.accept() => panic!("the launch was sent"),
    }
}

/// Guards against `ran_cancelled`: a launch waited for a permit to be sent, its job was cancelled
/// meanwhile, and it was sent all the same.
#[tokio::test]
async fn a_launch_that_waited_is_not_sent_once_its_job_is_cancelled() {
    let mut outage = StoreOutage::new().await;
    let worker = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let launch = outage.launch_on(&worker);
    let limit = outage.leader.admission.commands.available_permits() as u32;
    let in_flight = outage.leader.admission.commands.acquire_many(limit).await;
    let leader = outage.leader.clone();
    let mut sending = std::pin::pin!(execute(leader, outage.lease.clone(), launch));
    let wait = std::time::Duration::from_millis(20);
    assert!(tokio::time::timeout(wait, &mut sending).await.is_err());
    outage.cancel_through_peer();
    outage.record_confirmations_of(&outage.peer.clone());
    drop(in_flight);
    tokio::select! {
        () = &mut sending => {}
        _ = worker.accept() => panic!("the launch was sent"),
    }
}

/// A cancellation that reached the job index before the shard was installed is applied to it.
#[tokio::test]
async fn a_cancellation_known_before_the_shard_is_recovered_is_applied_to_it() {
    let mut outage = StoreOutage::new().await;
    let leadership = outage.leader.lock().leadership.take();
    outage.cancel_through_peer();
    outage.record_confirmations_of(&outage.peer.clone());
    outage.leader.lock().leadership = leadership;
    outage.leader.notify_finished_jobs();
    assert!(has_stop(outage.heartbeat()));
}

/// The controller that cancelled the job has crashed. Its next incarnation does not know of the
/// cancellation, so the confirmations of that incarnation must not count.
#[tokio::test]
async fn confirmations_of_a_later_incarnation_do_not_count() {
    let mut outage = StoreOutage::new().await;
    outage.cancel_through_peer();
    outage.advance(seconds(2));
    let restarted = peer(outage.clock.clone());
    restarted.job_index.apply(Vec::new(), CATCH_UP_REVISION);
    for _ in 0..40 {
        outage.advance(seconds(1));
        outage.record_confirmations_of(&restarted);
    }
    assert_eq!(outage.heartbeat(), None);
}

/// A controller that no longer has all of its cancellations in memory confirms none, so that its
/// answer is never taken for a complete list.
#[tokio::test]
async fn confirmed_cancellations_are_complete_or_absent() {
    let mut outage = StoreOutage::new().await;
    let final_record = FinalRecord::new(JobStage::Cancelled, spec());
    for n in 0..3_000 {
        let id = format!("run-1{n:05}");
        outage
            .peer
            .job_index
            .record_final(&id, &final_record, CANCELLED_REVISION + n);
    }
    assert_eq!(outage.confirmations_of(&outage.peer).jobs, None);
    for _ in 0..40 {
        outage.advance(seconds(1));
        outage.record_confirmations_of(&outage.peer.clone());
    }
    assert_eq!(outage.heartbeat(), None);
}

/// A job that a catch-up read shows as finished is reported to the shard at once, since the watch
/// that normally delivers it may hang.
#[tokio::test]
async fn a_job_that_a_catch_up_read_shows_finished_is_stopped_without_the_watch() {
    let mut outage = StoreOutage::new().await;
    let deleted = WatchEvent::Delete {
        key: keys::job("run-000001"),
        mod_revision: CANCELLED_REVISION,
    };
    outage
        .leader
        .job_index
        .apply(vec![deleted], CANCELLED_REVISION);
    outage.leader.notify_finished_jobs();
    assert!(has_stop(outage.heartbeat()));
    // The watch is far behind and still delivers the job's acceptance.
    let lease = outage.lease.clone();
    let record = JobRecord {
        format_version: FORMAT_VERSION,
        accepted_at_ms: 0,
        spec: spec(),
    };
    let is_unfinished = outage.leader.with_shard(&lease, "jobs", |shard, now| {
        outage
            .leader
            .notify_job_accepted(shard, "run-000001", ACCEPTED_REVISION, record, now);
        let job = shard.jobs().get("run-000001");
        job.is_some_and(|job| job.final_stage.is_none())
    });
    assert_eq!(
        is_unfinished,
        Some(false),
        "run-000001 does not become unfinished again"
    );
}

#[test]
fn freshness_is_that_of_the_oldest_confirmation() {
    let start = Instant::now();
    let at = |s: u64| start + seconds(s);
    let others = || ["b", "c"].into_iter();
    let mut freshness = CancellationFreshness::default();
    assert!(
        !freshness.record_peer_answer("b", at(1), start),
        "there is no catch-up read whose freshness could be extended"
    );
    assert_eq!(freshness.known_up_to(others(), at(1)), None);
    freshness.record_catch_up(at(2));
    assert!(freshness.record_peer_answer("b", at(9), start));
    assert_eq!(
        freshness.known_up_to(others(), at(9)),
        Some(at(2)),
        "c has not confirmed yet"
    );
    assert!(freshness.record_peer_answer("c", at(8), at(1)));
    assert_eq!(freshness.known_up_to(others(), at(9)), Some(at(8)));
    // `c` restarted after its last confirmation: its earlier incarnation may have confirmed more
    // cancellations.
    assert!(!freshness.record_peer_answer("c", at(12), at(8)));
    assert!(freshness.record_peer_answer("b", at(12), start));
    assert_eq!(freshness.known_up_to(others(), at(12)), Some(at(8)));
    freshness.record_catch_up(at(13));
    assert_eq!(freshness.known_up_to(others(), at(14)), Some(at(13)));
    let none = std::iter::empty();
    assert_eq!(freshness.known_up_to(none, at(20)), Some(at(20)));
}
