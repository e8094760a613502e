//! Cancellations of which a leader cannot learn from the key-value store.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use super::peering::lead_recovered;
use super::{heartbeat, node, peer};
use crate::clock::FakeClock;
use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::peering::cancellations::{
    confirmed_cancellations, record_peer_cancellations,
};
use crate::coordination::shard::{RecoveredState, UnfinishedJob};
use crate::coordination::worker_heartbeats::{HeartbeatDecision, handle_heartbeat};
use crate::coordination::worker_leases::cancellation_freshness::{
    CancellationFreshness, staleness_bound,
};
use crate::protocol::TaskId;
use crate::protocol::kv::WatchEvent;
use crate::protocol::peer_messages::{CancellationsRequest, ConfirmedCancellations};
use crate::protocol::users::{JobSpec, JobStage, Submission, parse_submission};
use crate::protocol::workers::{Command, TaskState, TaskStatus};
use crate::storage::keys;
use crate::storage::records::{FORMAT_VERSION, FinalRecord, JobRecord};

const TOKEN: u64 = 9;
/// The revisions of the job's acceptance, of the last catch-up read, and of the cancellation.
const ACCEPTED: u64 = 10;
const CAUGHT_UP: u64 = 12;
const CANCELLED: u64 = 13;

fn second(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn spec() -> JobSpec {
    let body = json!({"NameId":"run-000001","Repertoire":"sums","Section":"red","Form":"batch",
        "Tempo":"high","Voices":1,"Cores":1.0,"Accelerators":0.0,"MemGb":1.0,"Score":"img-07",
        "ImageGb":1.0,"Instruments":null,"Hall":null,"OneZone":false,"Scatter":false,
        "Borrowed":true,"DurationS":240.0,"BreathS":0.0,"FermataS":0.0,"CurtainS":null});
    let Submission { spec, .. } =
        parse_submission(body.to_string().as_bytes()).expect("a submission");
    spec
}

/// A leader whose shard runs one job, and its peer, both started at the same time. The leader has
/// just caught up with the key-value store, which answers nobody any more; the peer votes for
/// lease extensions all along.
struct Outage {
    clock: Arc<FakeClock>,
    leader: Arc<Node>,
    peer: Arc<Node>,
    lease: Arc<ShardLease>,
    sequence: u64,
}

impl Outage {
    async fn new() -> Self {
        let clock = Arc::new(FakeClock::new());
        let (leader, peer) = (node(clock.clone()), peer(clock.clone()));
        clock.advance(second(5));
        let now = leader.now();
        let record = JobRecord {
            format_version: FORMAT_VERSION,
            accepted_at_ms: 0,
            spec: spec(),
        };
        let recovered = RecoveredState {
            jobs: vec![UnfinishedJob::new("run-000001", ACCEPTED, record.clone())],
            ..RecoveredState::default()
        };
        let opened = WatchEvent::Put {
            key: keys::job("run-000001"),
            value: serde_json::to_value(&record).expect("a record"),
            mod_revision: ACCEPTED,
        };
        for node in [&leader, &peer] {
            node.job_index.apply(vec![opened.clone()], CAUGHT_UP);
            node.lock().cancellations.record_catch_up(now);
        }
        let lease = lead_recovered(&leader, TOKEN, recovered);
        let _ = leader.clients.kv.get("o/0/owner", KV_DEADLINE).await;
        Self {
            clock,
            leader,
            peer,
            lease,
            sequence: 1,
        }
    }

    /// The key-value store refuses the leader only, and serves the peer, which cancels the
    /// job and confirms that to its user.
    fn peer_cancels(&self) {
        let last = FinalRecord::new(JobStage::Cancelled, spec());
        self.peer
            .job_index
            .record_final("run-000001", &last, CANCELLED);
    }

    /// Lets time pass in the outage; the leader extends its lease by votes.
    fn advance(&self, time: Duration) {
        self.clock.advance(time);
        self.lease.extend(self.leader.now() + second(1));
    }

    fn confirmations_of(&self, peer: &Node) -> ConfirmedCancellations {
        let after = self.leader.job_index.revision().expect("a catch-up read");
        let request = CancellationsRequest { after }.encode();
        let request = CancellationsRequest::decode(&request).expect("a frame");
        let answer = confirmed_cancellations(peer, &request).encode();
        ConfirmedCancellations::decode(&answer).expect("a frame")
    }

    /// The leader asks a controller for the cancellations that it has confirmed.
    fn exchange_confirmations(&self, peer: &Node) {
        record_peer_cancellations(
            &self.leader,
            "n1",
            self.leader.now(),
            self.confirmations_of(peer),
        );
    }

    /// The worker that runs the job's task sends a heartbeat to the leader; returns the
    /// commands of the answer, if its lease is renewed.
    fn heartbeat(&mut self) -> Option<Vec<Command>> {
        self.sequence += 1;
        let mut heartbeat = heartbeat(TOKEN);
        heartbeat.sequence = self.sequence;
        heartbeat.tasks = vec![TaskStatus {
            task: TaskId::parse("run-000001/0").expect("a task"),
            attempt: 1,
            state: TaskState::Running,
            outcome: None,
        }];
        match handle_heartbeat(&self.leader, &heartbeat) {
            HeartbeatDecision::Renewed(answer) => Some(answer.commands),
            _ => None,
        }
    }
}

fn stops(commands: Option<Vec<Command>>) -> bool {
    let commands = commands.expect("the worker is answered");
    commands.iter().any(|c| matches!(c, Command::Stop { .. }))
}

/// The key-value store refuses only the leader, a job is cancelled through another controller,
/// and then the store fails for all: the leader learns of the cancellation from that controller,
/// and no worker loses its lease, however long the outage lasts.
#[tokio::test]
async fn a_leader_learns_from_its_peers_what_they_cancelled_before_an_outage() {
    let mut outage = Outage::new().await;
    assert!(!stops(outage.heartbeat()));
    outage.advance(second(1));
    outage.peer_cancels();
    outage.advance(second(1));
    assert!(!stops(outage.heartbeat()), "no peer has reported it yet");
    outage.exchange_confirmations(&outage.peer.clone());
    assert!(
        stops(outage.heartbeat()),
        "the task is stopped within a heartbeat"
    );
    for _ in 0..100 {
        outage.advance(second(1));
        outage.exchange_confirmations(&outage.peer.clone());
        assert!(
            outage.heartbeat().is_some(),
            "a confirmation a second keeps all leases renewed"
        );
    }
}

/// The same beside a controller that confirms nothing, because it is an older version or
/// unreachable. Votes alone must not be enough to renew leases.
#[tokio::test]
async fn a_leader_without_fresh_cancellations_suspends_lease_renewals() {
    let mut outage = Outage::new().await;
    let bound = staleness_bound(&outage.leader.settings);
    let workers = &outage.leader.settings.platform.settings.workers;
    let latest = outage.leader.now() + workers.max_cancellation_time() - workers.lease_duration();
    outage.peer_cancels();
    outage.advance(bound - second(1));
    assert!(outage.heartbeat().is_some());
    outage.advance(second(1));
    assert!(outage.leader.now() < latest);
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

/// The controller that cancelled has crashed: its next incarnation does not remember the
/// cancellation, so that its confirmation does not count.
#[tokio::test]
async fn confirmations_of_a_later_incarnation_do_not_count() {
    let mut outage = Outage::new().await;
    outage.peer_cancels();
    outage.advance(second(2));
    let restarted = peer(outage.clock.clone());
    restarted.job_index.apply(Vec::new(), CAUGHT_UP);
    for _ in 0..40 {
        outage.advance(second(1));
        outage.exchange_confirmations(&restarted);
    }
    assert_eq!(outage.heartbeat(), None);
}

/// A controller that does not remember all of its cancellations confirms none.
#[tokio::test]
async fn confirmed_cancellations_are_complete_or_absent() {
    let mut outage = Outage::new().await;
    let last = FinalRecord::new(JobStage::Cancelled, spec());
    for n in 0..3_000 {
        let id = format!("run-1{n:05}");
        outage
            .peer
            .job_index
            .record_final(&id, &last, CANCELLED + n);
    }
    assert_eq!(outage.confirmations_of(&outage.peer).jobs, None);
    for _ in 0..40 {
        outage.advance(second(1));
        outage.exchange_confirmations(&outage.peer.clone());
    }
    assert_eq!(outage.heartbeat(), None);
}

/// The shard learns at once what a catch-up read shows: its own watch may hang.
#[tokio::test]
async fn a_job_that_a_catch_up_read_shows_finished_is_stopped_without_the_watch() {
    let mut outage = Outage::new().await;
    let deleted = WatchEvent::Delete {
        key: keys::job("run-000001"),
        mod_revision: CANCELLED,
    };
    outage.leader.job_index.apply(vec![deleted], CANCELLED);
    outage.leader.notify_finished_jobs();
    assert!(stops(outage.heartbeat()));
    // The watch, far behind, still delivers its acceptance.
    let lease = outage.lease.clone();
    let record = JobRecord {
        format_version: FORMAT_VERSION,
        accepted_at_ms: 0,
        spec: spec(),
    };
    let known = outage.leader.with_shard(&lease, "jobs", |shard, now| {
        outage
            .leader
            .notify_job_accepted(shard, "run-000001", ACCEPTED, record, now);
        let job = shard.jobs().get("run-000001");
        job.is_some_and(|job| job.final_stage.is_none())
    });
    assert_eq!(known, Some(false), "it does not become an open job again");
}

#[test]
fn freshness_is_that_of_the_oldest_confirmation() {
    let start = Instant::now();
    let at = |s: u64| start + second(s);
    let others = || ["b", "c"].into_iter();
    let mut freshness = CancellationFreshness::default();
    assert!(
        !freshness.record_peer_answer("b", at(1), start),
        "no catch-up read to extend"
    );
    assert_eq!(freshness.known_up_to(others(), at(1)), None);
    freshness.record_catch_up(at(2));
    assert!(freshness.record_peer_answer("b", at(9), start));
    assert_eq!(freshness.known_up_to(others(), at(9)), Some(at(2)), "c");
    assert!(freshness.record_peer_answer("c", at(8), at(1)));
    assert_eq!(freshness.known_up_to(others(), at(9)), Some(at(8)));
    // It started after its last confirmation: an earlier incarnation may have confirmed more.
    assert!(!freshness.record_peer_answer("c", at(12), at(8)));
    assert!(freshness.record_peer_answer("b", at(12), start));
    assert_eq!(freshness.known_up_to(others(), at(12)), Some(at(8)));
    freshness.record_catch_up(at(13));
    assert_eq!(freshness.known_up_to(others(), at(14)), Some(at(13)));
    let none = std::iter::empty();
    assert_eq!(freshness.known_up_to(none, at(20)), Some(at(20)));
}
