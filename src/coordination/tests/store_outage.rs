//! A leader and its peer during an outage of the key-value store, and one job whose task the leader's
//! only worker runs.

use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::net::TcpListener;

use super::peering::make_leader_with_state;
use super::{heartbeat, node, peer};
use crate::clock::FakeClock;
use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::peering::cancellations::{
    confirmed_cancellations, record_peer_cancellations,
};
use crate::coordination::shard::{
    Action, Attempt, CommandOutcome, Phase, RecoveredMachine, RecoveredState, UnfinishedJob,
};
use crate::coordination::worker_heartbeats::{HeartbeatDecision, handle_heartbeat};
use crate::protocol::cloud::MachineType;
use crate::protocol::kv::WatchEvent;
use crate::protocol::peer_messages::{CancellationsRequest, ConfirmedCancellations};
use crate::protocol::users::{JobSpec, JobStage, Submission, parse_submission};
use crate::protocol::workers::{Command, TaskState, TaskStatus};
use crate::protocol::{MachineId, TaskId};
use crate::storage::keys;
use crate::storage::records::{FORMAT_VERSION, FinalRecord, JobRecord, RosterRecord};

const TOKEN: u64 = 9;
/// The revision of the job's acceptance.
pub(super) const ACCEPTED_REVISION: u64 = 10;
/// The revision of the last catch-up read.
pub(super) const CATCH_UP_REVISION: u64 = 12;
/// The revision of the job's cancellation.
pub(super) const CANCELLED_REVISION: u64 = 13;

pub(super) fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

pub(super) fn spec() -> JobSpec {
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
pub(super) struct StoreOutage {
    pub(super) clock: Arc<FakeClock>,
    pub(super) leader: Arc<Node>,
    pub(super) peer: Arc<Node>,
    pub(super) lease: Arc<ShardLease>,
    sequence: u64,
}

impl StoreOutage {
    pub(super) async fn new() -> Self {
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
    pub(super) fn cancel_through_peer(&self) {
        let final_record = FinalRecord::new(JobStage::Cancelled, spec());
        self.peer
            .job_index
            .record_final("run-000001", &final_record, CANCELLED_REVISION);
    }

    /// Advances the clock, then extends the leader's lease, as its peer's votes would, to one
    /// second after the new time.
    pub(super) fn advance(&self, time: Duration) {
        self.clock.advance(time);
        self.lease.extend(self.leader.now() + seconds(1));
    }

    /// The answer of a controller to the leader's request for its confirmed cancellations, with
    /// both frames encoded and decoded.
    pub(super) fn confirmations_of(&self, peer: &Node) -> ConfirmedCancellations {
        let after = self.leader.job_index.revision().expect("a catch-up read");
        let request = CancellationsRequest { after }.encode();
        let request = CancellationsRequest::decode(&request).expect("a frame");
        let answer = confirmed_cancellations(peer, &request).encode();
        ConfirmedCancellations::decode(&answer).expect("a frame")
    }

    /// Records at the leader the cancellations that a controller has confirmed.
    pub(super) fn record_confirmations_of(&self, peer: &Node) {
        record_peer_cancellations(
            &self.leader,
            "n1",
            self.leader.now(),
            self.confirmations_of(peer),
        );
    }

    /// Delivers to the leader a heartbeat of the worker that runs the job's task; returns the
    /// commands of the answer, or None if the worker's lease is not renewed.
    pub(super) fn heartbeat(&mut self) -> Option<Vec<Command>> {
        self.heartbeat_listing(vec![TaskStatus {
            task: TaskId::parse("run-000001/0").expect("a task"),
            attempt: 1,
            state: TaskState::Running,
            outcome: None,
        }])
    }

    /// Delivers to the leader a heartbeat of the worker that lists these tasks; returns the commands
    /// of the answer, or None if the worker's lease is not renewed.
    pub(super) fn heartbeat_listing(&mut self, tasks: Vec<TaskStatus>) -> Option<Vec<Command>> {
        self.sequence += 1;
        let mut heartbeat = heartbeat(TOKEN);
        heartbeat.sequence = self.sequence;
        heartbeat.tasks = tasks;
        match handle_heartbeat(&self.leader, &heartbeat) {
            HeartbeatDecision::Renewed(renewal) => Some(renewal.commands().to_vec()),
            _ => None,
        }
    }

    /// The batch by which the leader launches the job's task at a worker with this listener.
    pub(super) fn launch_on(&mut self, worker: &TcpListener) -> Action {
        let addr = worker.local_addr().expect("its address").to_string();
        self.sequence += 1;
        let mut heartbeat = heartbeat(TOKEN);
        heartbeat.addr = addr;
        heartbeat.sequence = self.sequence;
        let actions = self.leader.with_shard(&self.lease, "ticks", |shard, now| {
            let machine: MachineId = heartbeat.machine.as_str().into();
            // The probe that the recovered machine was sent.
            let executed = CommandOutcome::Executed(heartbeat);
            shard.command_answered(&machine, 1, &[], executed, now);
            shard.tick(now);
            shard.take_actions()
        });
        let is_launch = |action: &Action| match action {
            Action::Command { commands, .. } => matches!(commands[..], [Command::Launch { .. }]),
            _ => false,
        };
        let launch = actions.expect("the leader leads").into_iter();
        launch.into_iter().find(is_launch).expect("a launch")
    }

    /// Lets the leader decide, and returns how many launches are due on the worker's machine.
    pub(super) fn count_launches(&self) -> usize {
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
