//! Sample values for the shard's tests: jobs, machines, task statuses, recovered states and a
//! policy.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::coordination::shard::{
    Policy, RecoveredMachine, RecoveredState, TeamPolicy, UnfinishedJob,
};
use crate::coordination::worker_leases::run_permit::RunDeadline;
use crate::protocol::TaskId;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobKind, JobSpec, Priority};
use crate::protocol::workers::{AttemptOutcome, TaskState, TaskStatus};
use crate::storage::records::{FORMAT_VERSION, JobRecord, RosterRecord};

/// How long a worker keeps its tasks running without an answer from a controller.
pub(super) const WORKER_LEASE: Duration = Duration::from_secs(27);
/// The longest time that a task may run after its job's cancellation is confirmed to the user.
pub(super) const CANCELLATION_BOUND: Duration = Duration::from_secs(52);
/// How long a controller that does not reach the leader may renew worker leases, under a delegation
/// that the leader granted in advance. The sum of this and [`WORKER_LEASE`] stays below
/// [`CANCELLATION_BOUND`].
pub(super) const ADVANCE_DELEGATION: Duration = Duration::from_secs(24);
/// How long the leader may let tasks run for another [`WORKER_LEASE`] after the moment up to which it
/// knows of all cancellations. The sum of both stays below [`CANCELLATION_BOUND`].
pub(super) const STALENESS_BOUND: Duration = Duration::from_secs(24);
/// How long a ready task of a gang waits for the gang's other tasks to be ready.
pub(super) const GANG_WAIT: Duration = Duration::from_secs(30);

/// A batch job of the class `sums` whose tasks may run on any machine type, in any zone and on spot
/// machines.
pub(in crate::coordination::shard) fn spec(team: &str, cores: f64, tasks: u32) -> JobSpec {
    JobSpec {
        class: "sums".into(),
        team: team.into(),
        kind: JobKind::Batch,
        priority: Priority::Standard,
        tasks,
        cores,
        accelerators: 0.0,
        mem_gb: 1.0,
        image: "img-0".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        scatter: false,
        spot: true,
        duration_s: 10.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    }
}

/// The stored record of a job that was accepted at time zero.
pub(in crate::coordination::shard) fn record(spec: JobSpec) -> JobRecord {
    JobRecord {
        format_version: FORMAT_VERSION,
        accepted_at_ms: 0,
        spec,
    }
}

/// One machine type, offered in two zones.
pub(super) fn machine_types() -> Vec<MachineType> {
    vec![MachineType {
        name: "m8".into(),
        cores: 8.0,
        accelerators: 0.0,
        mem_gb: 32.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: Some(0.3),
        startup_s: 10.0,
        zones: vec!["north".into(), "south".into()],
    }]
}

/// A policy with two teams: `red` has a quota of 8 cores and a limit of 16, `blue` has neither.
pub(in crate::coordination::shard) fn policy() -> Policy {
    let team = |cores, cores_max| TeamPolicy {
        cores,
        cores_max,
        ..TeamPolicy::default()
    };
    Policy {
        node_id: "n0".into(),
        teams: [
            ("red".to_owned(), team(8.0, 16.0)),
            ("blue".to_owned(), team(0.0, 0.0)),
        ]
        .into(),
        start_objectives: HashMap::new(),
        finish_objectives: HashMap::new(),
        deadline_multiples: HashMap::new(),
        heartbeat_interval: Duration::from_secs(3),
        worker_lease: WORKER_LEASE,
        gang_wait: GANG_WAIT,
        advance_delegation: ADVANCE_DELEGATION,
        txn_ops: 8,
        value_bytes: 8192,
        snapshot_interval: Duration::from_secs(3),
        max_staleness: Duration::from_secs(15),
        snapshot_writes_per_s: 10.0,
        record_writes_per_s: 20.0,
        suspect_after: Duration::from_secs(6),
        dead_after: Duration::from_secs(7),
        headroom: 0.1,
        idle_timeout: Duration::from_secs(10),
        quota_hold: Duration::from_secs(30),
        scale_out_retry: Duration::from_secs(15),
    }
}

/// The deadline of a leader that knows of all cancellations for as long as any test lasts.
pub(super) fn distant_run_deadline(now: Instant) -> RunDeadline {
    RunDeadline::new(Some(now), Duration::from_secs(1_000_000))
}

/// A machine of a recovered roster: type `m8`, in the zone `north`.
pub(super) fn roster_machine(id: &str) -> RecoveredMachine {
    RecoveredMachine {
        id: id.to_owned(),
        page: 0,
        record: RosterRecord {
            addr: "10.0.0.1:9000".into(),
            machine_type: "m8".into(),
            zone: "north".into(),
            spot: false,
            deleting: false,
        },
    }
}

/// The state that a new leader recovers: the job `run-1`, which an earlier leader had accepted, and
/// a roster of the given machines.
pub(super) fn recovered_job(tasks: u32, machines: &[&str]) -> RecoveredState {
    RecoveredState {
        jobs: vec![UnfinishedJob::new(
            "run-1",
            5,
            record(spec("red", 1.0, tasks)),
        )],
        roster: machines.iter().map(|id| roster_machine(id)).collect(),
        ..RecoveredState::default()
    }
}

/// The status of a task's attempt, as a worker's heartbeat lists it.
pub(super) fn task_status(
    task: &str,
    attempt: u64,
    state: TaskState,
    outcome: Option<AttemptOutcome>,
) -> TaskStatus {
    TaskStatus {
        task: TaskId::parse(task).expect("task id"),
        attempt,
        state,
        outcome,
    }
}

pub(super) fn running_task(task: &str, attempt: u64) -> TaskStatus {
    task_status(task, attempt, TaskState::Running, None)
}

pub(super) fn ended_task(task: &str, attempt: u64, outcome: AttemptOutcome) -> TaskStatus {
    task_status(task, attempt, TaskState::Ended, Some(outcome))
}
