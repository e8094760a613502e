//! Cancellations that a leader isn't told of by the key-value store.

use crate::protocol::FencingToken;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;

use super::{heartbeat, node, peer};
use crate::clock::FakeClock;
use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::state::Leadership;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::peering::cancellations::{
    confirmed_cancellations, record_peer_cancellations,
};
use crate::coordination::shard::{RecoveredState, Shard};
use crate::coordination::worker_heartbeats::{HeartbeatDecision, handle_heartbeat};
use crate::coordination::worker_leases::advance_delegation::AdvanceGrants;
use crate::coordination::worker_leases::cancellation_freshness::{CancellationFreshness, bound};
use crate::protocol::TaskId;
use crate::protocol::kv::WatchEvent;
use crate::protocol::peer_messages::{CancellationsRequest, ConfirmedCancellations};
use crate::protocol::users::{JobSpec, Stage, parse_submission};
use crate::protocol::workers::{Command, TaskState, TaskStatus};
use crate::storage::keys;
use crate::storage::records::{FORMAT_VERSION, FinalRecord, JobRecord};

const TOKEN: u64 = 9;
/// The revisions at which the job was accepted, looked at, and cancelled.
const ACCEPTED: u64 = 10;
const LOOKED: u64 = 12;
const CANCELLED: u64 = 13;

fn second(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn spec() -> JobSpec {
    let body = json!({"NameId":"run-000001","Repertoire":"sums","Section":"red","Form":"batch",
        "Tempo":"high","Voices":1,"Cores":1.0,"Accelerators":0.0,"MemGb":1.0,"Score":"img-07",
        "ImageGb":1.0,"Instruments":null,"Hall":null,"OneZone":false,"Scatter":false,
        "Borrowed":true,"DurationS":240.0,"BreathS":0.0,"FermataS":0.0,"CurtainS":null});
    let (_, spec) = parse_submission(body.to_string().as_bytes()).expect("a submission");
    spec
}

/// A leader whose shard runs one job, and its peer, which began at the same time.
/// The key-value store has just let the leader look at the jobs; it answers nobody
/// any more, and the peer votes all along.
struct Gap {
    clock: Arc<FakeClock>,
    leader: Arc<Node>,
    peer: Arc<Node>,
    lease: Arc<ShardLease>,
    sequence: u64,
}

impl Gap {
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
            jobs: vec![("run-000001".into(), ACCEPTED, record.clone())],
            ..RecoveredState::default()
        };
        let lease = Arc::new(ShardLease::new(
            1,
            FencingToken::new(TOKEN),
            now,
            now + second(3),
            now,
        ));
        let shard = Shard::recover(
            leader.policy.clone(),
            FencingToken::new(TOKEN),
            recovered,
            now,
            0,
        );
        let opened = WatchEvent::Put {
            key: keys::job("run-000001"),
            value: serde_json::to_value(&record).expect("a record"),
            mod_revision: ACCEPTED,
        };
        for node in [&leader, &peer] {
            node.job_index.apply(vec![opened.clone()], LOOKED);
            node.lock().cancellations.caught_up(now);
        }
        leader.lock().leadership = Some(Leadership {
            lease: lease.clone(),
            shard,
            advance_grants: AdvanceGrants::default(),
            finished_notified: None,
            activities: Default::default(),
        });
        let _ = leader.clients.kv.get("o/0/owner", KV_DEADLINE).await;
        Self {
            clock,
            leader,
            peer,
            lease,
            sequence: 1,
        }
    }

    /// The key-value store refuses the leader alone, and serves the peer, which
    /// cancels the job and tells its user.
    fn peer_cancels(&self) {
        let last = FinalRecord::new(Stage::Cancelled, spec());
        self.peer
            .job_index
            .record_final("run-000001", &last, CANCELLED);
    }

    /// Time passes in an outage; the leader goes on by votes.
    fn pass(&self, time: Duration) {
        self.clock.advance(time);
        self.lease.extend(self.leader.now() + second(1));
    }

    fn told_by(&self, peer: &Node) -> ConfirmedCancellations {
        let after = self.leader.job_index.revision().expect("a look");
        let asked = CancellationsRequest { after }.encode();
        let asked = CancellationsRequest::decode(&asked).expect("a frame");
        let told = confirmed_cancellations(peer, &asked).encode();
        ConfirmedCancellations::decode(&told).expect("a frame")
    }

    /// The leader asks a controller what it told.
    fn ask(&self, peer: &Node) {
        record_peer_cancellations(&self.leader, "n1", self.leader.now(), self.told_by(peer));
    }

    /// The worker that runs the job's task heartbeats to the leader: the commands
    /// that it is answered, if its lease goes on.
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

/// The refusal of the leader alone, a cancellation through another controller, and
/// an outage for all: the leader learns of the cancellation from that controller,
/// and no worker loses its lease however long the outage takes.
#[tokio::test]
async fn a_leader_learns_from_its_peers_what_they_cancelled_before_an_outage() {
    let mut gap = Gap::new().await;
    assert!(!stops(gap.heartbeat()));
    gap.pass(second(1));
    gap.peer_cancels();
    gap.pass(second(1));
    assert!(!stops(gap.heartbeat()), "nobody has told it yet");
    gap.ask(&gap.peer.clone());
    assert!(
        stops(gap.heartbeat()),
        "the task is stopped within a heartbeat"
    );
    for _ in 0..100 {
        gap.pass(second(1));
        gap.ask(&gap.peer.clone());
        assert!(
            gap.heartbeat().is_some(),
            "a word a second keeps all leases"
        );
    }
}

/// The same beside a controller that says nothing of what it told: an older
/// version, or one that can't be reached. The vote alone must not be enough.
#[tokio::test]
async fn a_leader_that_can_not_know_of_cancellations_lets_leases_end() {
    let mut gap = Gap::new().await;
    let bound = bound(&gap.leader.settings);
    let workers = &gap.leader.settings.platform.settings.workers;
    let latest = gap.leader.now() + workers.cancel() - workers.lease();
    gap.peer_cancels();
    gap.pass(bound - second(1));
    assert!(gap.heartbeat().is_some());
    gap.pass(second(1));
    assert!(gap.leader.now() < latest);
    assert!(gap.lease.live(gap.leader.now()), "the promises still come");
    assert_eq!(gap.heartbeat(), None);
    // The key-value store answers again: a look, and all is as before.
    gap.leader.lock().cancellations.caught_up(gap.leader.now());
    assert!(gap.heartbeat().is_some());
}

/// The controller that cancelled has ended since: its next run remembers nothing,
/// so that its word doesn't count, however willingly it gives it.
#[tokio::test]
async fn the_word_of_a_controller_that_began_later_does_not_count() {
    let mut gap = Gap::new().await;
    gap.peer_cancels();
    gap.pass(second(2));
    let restarted = peer(gap.clock.clone());
    restarted.job_index.apply(Vec::new(), LOOKED);
    for _ in 0..40 {
        gap.pass(second(1));
        gap.ask(&restarted);
    }
    assert_eq!(gap.heartbeat(), None);
}

/// Neither does the word of one that doesn't remember all.
#[tokio::test]
async fn a_word_is_exact_or_absent() {
    let mut gap = Gap::new().await;
    let last = FinalRecord::new(Stage::Cancelled, spec());
    for n in 0..3_000 {
        let id = format!("run-1{n:05}");
        gap.peer.job_index.record_final(&id, &last, CANCELLED + n);
    }
    assert_eq!(gap.told_by(&gap.peer).jobs, None);
    for _ in 0..40 {
        gap.pass(second(1));
        gap.ask(&gap.peer.clone());
    }
    assert_eq!(gap.heartbeat(), None);
}

/// What a look tells the job index, the shard is told as well: its own watch may
/// hang in a refusal.
#[tokio::test]
async fn what_a_look_shows_to_be_over_is_stopped_without_the_watch() {
    let mut gap = Gap::new().await;
    let gone = WatchEvent::Delete {
        key: keys::job("run-000001"),
        mod_revision: CANCELLED,
    };
    gap.leader.job_index.apply(vec![gone], CANCELLED);
    gap.leader.notify_finished_jobs();
    assert!(stops(gap.heartbeat()));
    // The watch, far behind, still tells of its acceptance.
    let lease = gap.lease.clone();
    let record = JobRecord {
        format_version: FORMAT_VERSION,
        accepted_at_ms: 0,
        spec: spec(),
    };
    let known = gap.leader.with_shard(&lease, "jobs", |shard, now| {
        gap.leader
            .notify_job_accepted(shard, "run-000001", ACCEPTED, record, now);
        let job = shard.jobs().get("run-000001");
        job.is_some_and(|job| job.final_stage.is_none())
    });
    assert_eq!(known, Some(false), "it is not taken for an open job again");
}

#[test]
fn what_is_known_is_as_old_as_the_oldest_word() {
    let start = Instant::now();
    let at = |s: u64| start + second(s);
    let others = || ["b", "c"].into_iter();
    let mut awareness = CancellationFreshness::default();
    assert!(
        !awareness.peer_answered("b", at(1), start),
        "no look to add to"
    );
    assert_eq!(awareness.known_up_to(others(), at(1)), None);
    awareness.caught_up(at(2));
    assert!(awareness.peer_answered("b", at(9), start));
    assert_eq!(awareness.known_up_to(others(), at(9)), Some(at(2)), "c");
    assert!(awareness.peer_answered("c", at(8), at(1)));
    assert_eq!(awareness.known_up_to(others(), at(9)), Some(at(8)));
    // It began after what was last known of it: it may have told more before.
    assert!(!awareness.peer_answered("c", at(12), at(8)));
    assert!(awareness.peer_answered("b", at(12), start));
    assert_eq!(awareness.known_up_to(others(), at(12)), Some(at(8)));
    awareness.caught_up(at(13));
    assert_eq!(awareness.known_up_to(others(), at(14)), Some(at(13)));
    let none = std::iter::empty();
    assert_eq!(awareness.known_up_to(none, at(20)), Some(at(20)));
}
