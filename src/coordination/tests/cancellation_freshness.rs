//! Cancellations that a leader cannot read from the key-value store during an outage: it learns of
//! them from its peers, or stops renewing worker leases.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde_json::json;
use tokio::net::TcpListener;

use super::peering::make_leader_with_state;
use super::{heartbeat, node, peer};
use crate::clock::FakeClock;
use crate::coordination::executor::execute;
use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::peering::cancellations::{
    confirmed_cancellations, record_peer_cancellations,
};
use crate::coordination::shard::{
    Action, Attempt, Phase, RecoveredMachine, RecoveredState, UnfinishedJob,
};
use crate::coordination::worker_heartbeats::{HeartbeatDecision, handle_heartbeat};
use crate::coordination::worker_leases::cancellation_freshness::{
    CancellationFreshness, staleness_bound,
};
use crate::protocol::TaskId;
use crate::protocol::cloud::MachineType;
use crate::protocol::kv::WatchEvent;
use crate::protocol::peer_messages::{CancellationsRequest, ConfirmedCancellations};
use crate::protocol::users::{JobSpec, JobStage, Submission, parse_submission};
use crate::protocol::workers::{Command, TaskState, TaskStatus};
use crate::storage::keys;
use crate::storage::records::{FORMAT_VERSION, FinalRecord, JobRecord, RosterRecord};

const TOKEN: u64 = 9;
/// The revision of the job's acceptance.
const ACCEPTED_REVISION: u64 = 10;
/// The revision of the last catch-up read.
const CATCH_UP_REVISION: u64 = 12;
/// The revision of the job's cancellation.
const CANCELLED_REVISION: u64 = 13;

fn seconds(n: u64) -> Duration {
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

/// A leader whose shard runs one job, and its peer, both started at the same time, during an outage
/// of the key-value store. The leader's last catch-up read was just before the outage, and the peer
/// votes for all extensions of the leader's lease.
struct StoreOutage {
    clock: Arc<FakeClock>,
    leader: Arc<Node>,
    peer: Arc<Node>,
    lease: Arc<ShardLease>,
    sequence: u64,
}

impl StoreOutage {
    async fn new() -> Self {
        let clock = Arc::new(FakeClock::new());
        let (leader, peer) = (node(clock.clone()), peer(clock.clone()));
        clock.advance(seconds(5));
        let now = leader.now();
        let record = JobRecord {
            format_version: FORMAT_VERSION,
            accepted_at_ms: 0,
            spec: spec(),
        };
        let recovered = RecoveredState {
            jobs: vec![UnfinishedJob::new(
                "run-000001",
                ACCEPTED_REVISION,
                record.clone(),
            )],
            roster: vec![roster_machine()],
            ..RecoveredState::default()
        };
        let accepted = WatchEvent::Put {
            key: keys::job("run-000001"),
            value: serde_json::to_value(&record).expect("a record"),
            mod_revision: ACCEPTED_REVISION,
        };
        for node in [&leader, &peer] {
            node.job_index
                .apply(vec![accepted.clone()], CATCH_UP_REVISION);
            node.lock().cancellations.record_catch_up(now);
        }
        let lease = make_leader_with_state(&leader, TOKEN, recovered);
        leader.with_shard(&lease, "types", |shard, _| {
            shard.set_machine_types(&[machine_type()]);
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

    /// Cancels the job through the peer, which confirms that to the user: the key-value store still
    /// serves the peer, but not the leader.
    fn cancel_through_peer(&self) {
        let final_record = FinalRecord::new(JobStage::Cancelled, spec());
        self.peer
            .job_index
            .record_final("run-000001", &final_record, CANCELLED_REVISION);
    }

    /// Advances the clock, then extends the leader's lease, as its peer's votes would, to one
    /// second after the new time.
    fn advance(&self, time: Duration) {
        self.clock.advance(time);
        self.lease.extend(self.leader.now() + seconds(1));
    }

    /// The answer of a controller to the leader's request for its confirmed cancellations, with
    /// both frames encoded and decoded.
    fn confirmations_of(&self, peer: &Node) -> ConfirmedCancellations {
        let after = self.leader.job_index.revision().expect("a catch-up read");
        let request = CancellationsRequest { after }.encode();
        let request = CancellationsRequest::decode(&request).expect("a frame");
        let answer = confirmed_cancellations(peer, &request).encode();
        ConfirmedCancellations::decode(&answer).expect("a frame")
    }

    /// Records at the leader the cancellations that a controller has confirmed.
    fn record_confirmations_of(&self, peer: &Node) {
        record_peer_cancellations(
            &self.leader,
            "n1",
            self.leader.now(),
            self.confirmations_of(peer),
        );
    }

    /// Delivers to the leader a heartbeat of the worker that runs the job's task; returns the
    /// commands of the answer, or None if the worker's lease is not renewed.
    fn heartbeat(&mut self) -> Option<Vec<Command>> {
        self.heartbeat_listing(vec![TaskStatus {
            task: TaskId::parse("run-000001/0").expect("a task"),
            attempt: 1,
            state: TaskState::Running,
            outcome: None,
        }])
    }

    /// Delivers to the leader a heartbeat of the worker that lists these tasks; returns the commands
    /// of the answer, or None if the worker's lease is not renewed.
    fn heartbeat_listing(&mut self, tasks: Vec<TaskStatus>) -> Option<Vec<Command>> {
        self.sequence += 1;
        let mut heartbeat = heartbeat(TOKEN);
        heartbeat.sequence = self.sequence;
        heartbeat.tasks = tasks;
        match handle_heartbeat(&self.leader, &heartbeat) {
            HeartbeatDecision::Renewed(answer) => Some(answer.commands),
            _ => None,
        }
    }

    /// Lets the leader decide, and returns how many launches are due on the worker's machine.
    fn count_launches(&self) -> usize {
        let launches = self.leader.with_shard(&self.lease, "ticks", |shard, now| {
            shard.tick(now);
            let machine = shard.machines().get("vm-1").expect("the machine");
            let is_launching = |attempt: &&Attempt| attempt.phase == Phase::Launching;
            machine.attempts.values().filter(is_launching).count()
        });
        launches.expect("the leader leads")
    }
}

/// The machine on which the job's task runs, as it stands on the roster.
fn roster_machine() -> RecoveredMachine {
    let heartbeat = heartbeat(TOKEN);
    RecoveredMachine {
        id: heartbeat.machine,
        page: 0,
        record: RosterRecord {
            addr: heartbeat.addr,
            machine_type: heartbeat.machine_type,
            zone: heartbeat.zone,
            spot: heartbeat.spot,
            deleting: false,
        },
    }
}

fn machine_type() -> MachineType {
    MachineType {
        name: heartbeat(TOKEN).machine_type,
        cores: 8.0,
        accelerators: 0.0,
        mem_gb: 32.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: None,
        startup_s: 10.0,
        zones: vec!["north".into()],
    }
}

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
    let outage = StoreOutage::new().await;
    let worker = TcpListener::bind("127.0.0.1:0").await.expect("a socket");
    let launch = |worker: &TcpListener| Action::Command {
        machine: "vm-1".into(),
        addr: worker.local_addr().expect("its address").to_string(),
        agent_epoch: 1,
        number: 1,
        commands: vec![Command::Launch {
            task: TaskId::parse("run-000001/0").expect("a task"),
            attempt: 1,
        }],
    };
    let execute = || execute(outage.leader.clone(), outage.lease.clone(), launch(&worker));
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
