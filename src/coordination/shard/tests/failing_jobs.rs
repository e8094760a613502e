//! Faulty jobs fail on every machine, and faulty machines fail sound jobs: the shard has to
//! tell one from the other.

use std::time::Duration;

use super::fixtures::{self, policy, record, task_status};
use super::scripted_shard::{ScriptedShard, TOKEN, stops};
use crate::coordination::shard::{CommandOutcome, Policy, RecoveredState, UnfinishedJob};
use crate::protocol::users::{JobKind, JobSpec, JobStage};
use crate::protocol::workers::{AttemptOutcome, Command, TaskState, TaskStatus, WorkerHeartbeat};

const MACHINES: [&str; 6] = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"];

/// A job that does not need spot machines.
fn spec(team: &str, cores: f64, tasks: u32) -> JobSpec {
    JobSpec {
        spot: false,
        ..fixtures::spec(team, cores, tasks)
    }
}

/// Open machines, without jobs and quotas.
fn cluster(machines: &[&str]) -> ScriptedShard {
    let mut script = ScriptedShard::without_quotas();
    script.shard.policy.idle_timeout = Duration::from_secs(86_400);
    // One heartbeat admits a machine, the next finds it open.
    for id in machines.iter().chain(machines) {
        script.heartbeat(id, Vec::new());
    }
    script
}

/// The state of a task, by its job and machine.
type TaskBehavior = dyn Fn(&str, &str) -> TaskState;

/// A heartbeat in which each attempt on the machine is in the state that its behavior gives.
fn heartbeat_with(
    script: &mut ScriptedShard,
    id: &str,
    behavior: &TaskBehavior,
) -> WorkerHeartbeat {
    // What has ended and may be cleared is cleared before the next heartbeat.
    let attempts = script.machine(id).attempts.iter();
    let listed = attempts.filter(|(_, attempt)| !attempt.ended());
    let tasks: Vec<TaskStatus> = listed
        .map(|(attempt, _)| {
            let state = behavior(&attempt.task.job, id);
            let outcome = (state == TaskState::Ended).then_some(AttemptOutcome::Error);
            task_status(&attempt.task.to_string(), attempt.number, state, outcome)
        })
        .collect();
    script.heartbeat_of(id, TOKEN, tasks)
}

/// Lets a second pass in which all commands are executed and every machine sends a heartbeat;
/// returns the number of launches.
fn run_one_second(script: &mut ScriptedShard, machines: &[&str], behavior: &TaskBehavior) -> usize {
    let mut launched = 0;
    for batch in script.batches() {
        launched += batch.launches();
        let heartbeat = heartbeat_with(script, &batch.machine, behavior);
        script.answer(&batch, CommandOutcome::Executed(heartbeat));
    }
    for id in machines {
        if script.shard.machines().contains(id) && !script.machine(id).is_deleting() {
            let heartbeat = heartbeat_with(script, id, behavior);
            script.shard.heartbeat(&heartbeat, script.now);
        }
    }
    script.advance(Duration::from_secs(1));
    launched
}

fn fails_everywhere(job: &str, _: &str) -> TaskState {
    if job.starts_with("run-9") {
        TaskState::Ended
    } else {
        TaskState::Running
    }
}

/// Found in review: a machine was cordoned once any two jobs had failed on it, and failures of a
/// job counted until it had failed on three machines.
#[test]
fn jobs_that_fail_everywhere_cordon_no_machine() {
    let mut script = cluster(&MACHINES);
    script.submit("run-1", spec("blue", 1.0, 6));
    script.submit("run-91", spec("blue", 1.0, 12));
    script.submit("run-92", spec("blue", 1.0, 12));
    for _ in 0..300 {
        run_one_second(&mut script, &MACHINES, &fails_everywhere);
    }
    let cordoned = |id: &&&str| script.machine(id).health.is_cordoned();
    assert_eq!(MACHINES.iter().filter(cordoned).count(), 0);
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 6);
    script.submit("run-2", spec("blue", 1.0, 20));
    run_one_second(&mut script, &MACHINES, &fails_everywhere);
    assert_eq!(script.shard.jobs()["run-2"].live().len(), 20);
}

#[test]
fn a_job_that_fails_everywhere_is_retried_with_backoff_for_ever() {
    let mut script = cluster(&MACHINES);
    script.submit("run-9", spec("blue", 1.0, 24));
    let mut launches = Vec::new();
    for _ in 0..4 {
        let launched = (0..90).map(|_| run_one_second(&mut script, &MACHINES, &fails_everywhere));
        launches.push(launched.sum::<usize>());
    }
    // All of its tasks at first, and once more elsewhere; then two at a time, after a backoff that
    // doubles up to 75 s: seven of them fit into the first minutes at the most.
    assert!((24..=62).contains(&launches[0]), "{launches:?}");
    assert!((2..=6).contains(&launches[2]), "{launches:?}");
    assert!((2..=6).contains(&launches[3]), "{launches:?}");
}

#[test]
fn a_job_that_failed_everywhere_completes_once_it_is_fixed() {
    let mut script = cluster(&MACHINES);
    script.submit("run-9", spec("blue", 1.0, 24));
    for _ in 0..100 {
        run_one_second(&mut script, &MACHINES, &fails_everywhere);
    }
    assert!(script.shard.jobs()["run-9"].is_crash_looping());
    let fixed = |_: &str, _: &str| TaskState::Running;
    let tried = (0..80).any(|_| run_one_second(&mut script, &MACHINES, &fixed) > 0);
    assert!(tried);
    run_one_second(&mut script, &MACHINES, &fixed);
    for id in MACHINES {
        script.report_all_ended(id, AttemptOutcome::Done);
    }
    run_one_second(&mut script, &MACHINES, &fixed);
    let job = &script.shard.jobs()["run-9"];
    assert_eq!(job.live().len() + job.done().len() as usize, 24);
}

#[test]
fn a_machine_that_fails_sound_jobs_is_quarantined_and_deleted() {
    let mut script = cluster(&MACHINES);
    let faulty = |_: &str, machine: &str| match machine {
        "vm-1" => TaskState::Ended,
        _ => TaskState::Running,
    };
    for n in 0..12 {
        script.submit(&format!("run-{n}"), spec("blue", 4.0, 1));
    }
    for _ in 0..3 {
        run_one_second(&mut script, &MACHINES, &faulty);
    }
    let machine = script.machine("vm-1");
    assert!(!machine.health.is_cordoned(), "the jobs may be faulty");
    assert!(!machine.is_schedulable(script.now, &script.shard.policy));
    for id in &MACHINES[1..] {
        script.report_all_ended(id, AttemptOutcome::Done);
    }
    for _ in 0..3 {
        run_one_second(&mut script, &MACHINES, &faulty);
    }
    for id in &MACHINES[1..] {
        script.report_all_ended(id, AttemptOutcome::Done);
    }
    run_one_second(&mut script, &MACHINES, &faulty);
    assert!(
        script.machine("vm-1").is_deleting(),
        "sound jobs failed there"
    );
}

/// One machine of many is faulty: the tasks that failed on it are not held back by a backoff.
#[test]
fn tasks_that_fail_together_on_one_machine_are_retried_elsewhere_at_once() {
    let mut script = cluster(&MACHINES);
    script.submit("run-1", spec("blue", 1.0, 24));
    let faulty = |_: &str, machine: &str| match machine {
        "vm-1" => TaskState::Ended,
        _ => TaskState::Running,
    };
    for _ in 0..4 {
        run_one_second(&mut script, &MACHINES, &faulty);
    }
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 24);
}

/// A service never completes: a replica that has run for longer than any that failed shows that the
/// machines of the others are faulty.
#[test]
fn a_service_with_a_running_replica_does_not_fail_everywhere() {
    let mut script = cluster(&MACHINES);
    let service = JobSpec {
        kind: JobKind::Service,
        ..spec("blue", 4.0, 8)
    };
    script.submit("run-1", service);
    let faulty = |_: &str, machine: &str| match machine {
        "vm-1" | "vm-2" | "vm-3" => TaskState::Ended,
        _ => TaskState::Running,
    };
    for _ in 0..20 {
        run_one_second(&mut script, &MACHINES, &faulty);
    }
    let job = &script.shard.jobs()["run-1"];
    assert!(!job.is_crash_looping());
    assert_eq!(job.live().len(), 6, "all the capacity of sound machines");
}

#[test]
fn a_job_that_fails_everywhere_holds_no_quota_capacity_and_rents_nothing() {
    let policy = Policy {
        advance_delegation: Duration::ZERO,
        ..policy()
    };
    let mut script = ScriptedShard::with_policy(policy, RecoveredState::default());
    for id in MACHINES.iter().chain(&MACHINES) {
        script.heartbeat(id, Vec::new());
    }
    // Its team's quota is eight cores; the waiting tasks would use all machines and more.
    script.submit("run-9", spec("red", 4.0, 40));
    for _ in 0..60 {
        run_one_second(&mut script, &MACHINES, &fails_everywhere);
    }
    script.rentals();
    for _ in 0..120 {
        run_one_second(&mut script, &MACHINES, &fails_everywhere);
    }
    assert_eq!(script.rentals(), []);
    let remaining = MACHINES
        .iter()
        .filter(|id| script.shard.machines().contains(id));
    let remaining = remaining
        .filter(|id| !script.machine(id).is_deleting())
        .count();
    assert!(remaining <= 1, "{remaining} machines are held for retries");
}

#[test]
fn a_cancelled_job_that_failed_everywhere_is_stopped_also_during_a_retry() {
    let mut script = cluster(&MACHINES);
    script.submit("run-9", spec("blue", 1.0, 24));
    for _ in 0..60 {
        run_one_second(&mut script, &MACHINES, &fails_everywhere);
    }
    let fetches = |_: &str, _: &str| TaskState::Fetching;
    let tried = (0..80).any(|_| run_one_second(&mut script, &MACHINES, &fetches) > 0);
    assert!(tried);
    assert!(!script.shard.jobs()["run-9"].live().is_empty());
    script
        .shard
        .job_finished("run-9", Some(JobStage::Cancelled));
    script.reconcile();
    let commands: Vec<Command> = script
        .batches()
        .into_iter()
        .flat_map(|batch| batch.commands)
        .collect();
    assert!(stops(&commands) > 0);
    for id in MACHINES {
        script.heartbeat(id, Vec::new());
    }
    assert!(!script.shard.jobs().contains_key("run-9"));
}

/// The failure counts of an earlier leader are lost with it: the next one counts anew, and no
/// task is lost.
#[test]
fn a_job_that_fails_everywhere_survives_a_failover() {
    let mut script = ScriptedShard::new(RecoveredState {
        jobs: vec![UnfinishedJob::new(
            "run-9",
            5,
            record(spec("blue", 1.0, 24)),
        )],
        ..RecoveredState::default()
    });
    for id in MACHINES.iter().chain(&MACHINES) {
        script.heartbeat(id, Vec::new());
    }
    for _ in 0..60 {
        run_one_second(&mut script, &MACHINES, &fails_everywhere);
    }
    let job = &script.shard.jobs()["run-9"];
    assert!(job.is_crash_looping());
    assert_eq!(job.waiting() + job.live().len() as u32, 24);
}
