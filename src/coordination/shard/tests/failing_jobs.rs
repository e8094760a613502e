//! Failures of tasks: the shard distinguishes faulty jobs, which fail on every machine, from faulty
//! machines, on which sound jobs fail.

use std::time::Duration;

use super::fixtures::{self, policy, record, task_status};
use super::scripted_shard::{ScriptedShard, TOKEN, count_stops};
use crate::coordination::shard::{CommandOutcome, Policy, RecoveredState, UnfinishedJob};
use crate::protocol::users::{JobKind, JobSpec, JobStage};
use crate::protocol::workers::{AttemptOutcome, Command, TaskState, TaskStatus, WorkerHeartbeat};

const MACHINES: [&str; 6] = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"];

/// A batch job that may not run on spot machines.
fn spec(team: &str, cores: f64, tasks: u32) -> JobSpec {
    JobSpec {
        spot: false,
        ..fixtures::spec(team, cores, tasks)
    }
}

/// A shard of schedulable machines, without jobs and quotas.
fn shard_with_machines(machines: &[&str]) -> ScriptedShard {
    let mut script = ScriptedShard::without_quotas();
    script.shard.policy.idle_timeout = Duration::from_secs(86_400);
    // The first heartbeat admits a machine; after the second it is schedulable.
    for id in machines.iter().chain(machines) {
        script.heartbeat(id, Vec::new());
    }
    script
}

/// Returns the state of a task from the ids of its job and its machine.
type TaskBehavior = dyn Fn(&str, &str) -> TaskState;

/// A heartbeat that lists each unended attempt on the machine in the state that `behavior` returns.
fn heartbeat_with(
    script: &mut ScriptedShard,
    id: &str,
    behavior: &TaskBehavior,
) -> WorkerHeartbeat {
    // Ended attempts are left out, as if the worker had already cleared them.
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

/// Executes all commands, sends a heartbeat of every machine and advances the clock by a second;
/// returns the number of launches.
fn run_one_second(script: &mut ScriptedShard, machines: &[&str], behavior: &TaskBehavior) -> usize {
    let mut launched = 0;
    for batch in script.take_batches() {
        launched += batch.launch_count();
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

/// Jobs whose ids begin with `run-9` fail on every machine; all other jobs run.
fn fails_everywhere(job: &str, _: &str) -> TaskState {
    if job.starts_with("run-9") {
        TaskState::Ended
    } else {
        TaskState::Running
    }
}

/// Found in review: a machine was cordoned as soon as any two jobs had failed on it, and a job's
/// failures counted against machines until the job had failed on three of them.
#[test]
fn jobs_that_fail_everywhere_cordon_no_machine() {
    let mut script = shard_with_machines(&MACHINES);
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
fn a_job_that_fails_everywhere_is_retried_with_backoff_indefinitely() {
    let mut script = shard_with_machines(&MACHINES);
    script.submit("run-9", spec("blue", 1.0, 24));
    let mut launches = Vec::new();
    for _ in 0..4 {
        let launched = (0..90).map(|_| run_one_second(&mut script, &MACHINES, &fails_everywhere));
        launches.push(launched.sum::<usize>());
    }
    // Each of the 24 tasks starts, and starts once more on another machine. After that, two tasks
    // start per retry, after a backoff that doubles up to 75 s: at most seven retries fit into the
    // first 90 s.
    assert!((24..=62).contains(&launches[0]), "{launches:?}");
    assert!((2..=6).contains(&launches[2]), "{launches:?}");
    assert!((2..=6).contains(&launches[3]), "{launches:?}");
}

#[test]
fn a_job_that_failed_everywhere_completes_once_it_is_fixed() {
    let mut script = shard_with_machines(&MACHINES);
    script.submit("run-9", spec("blue", 1.0, 24));
    for _ in 0..100 {
        run_one_second(&mut script, &MACHINES, &fails_everywhere);
    }
    assert!(script.shard.jobs()["run-9"].is_crash_looping());
    let runs_everywhere = |_: &str, _: &str| TaskState::Running;
    let was_retried = (0..80).any(|_| run_one_second(&mut script, &MACHINES, &runs_everywhere) > 0);
    assert!(was_retried);
    run_one_second(&mut script, &MACHINES, &runs_everywhere);
    for id in MACHINES {
        script.report_all_ended(id, AttemptOutcome::Done);
    }
    run_one_second(&mut script, &MACHINES, &runs_everywhere);
    let job = &script.shard.jobs()["run-9"];
    assert_eq!(job.live().len() + job.done().len() as usize, 24);
}

#[test]
fn a_machine_that_fails_sound_jobs_is_quarantined_and_deleted() {
    let mut script = shard_with_machines(&MACHINES);
    let fails_on_vm_1 = |_: &str, machine: &str| match machine {
        "vm-1" => TaskState::Ended,
        _ => TaskState::Running,
    };
    for n in 0..12 {
        script.submit(&format!("run-{n}"), spec("blue", 4.0, 1));
    }
    for _ in 0..3 {
        run_one_second(&mut script, &MACHINES, &fails_on_vm_1);
    }
    let machine = script.machine("vm-1");
    assert!(!machine.health.is_cordoned(), "the jobs may be faulty");
    assert!(!machine.is_schedulable(script.now, &script.shard.policy));
    for id in &MACHINES[1..] {
        script.report_all_ended(id, AttemptOutcome::Done);
    }
    for _ in 0..3 {
        run_one_second(&mut script, &MACHINES, &fails_on_vm_1);
    }
    for id in &MACHINES[1..] {
        script.report_all_ended(id, AttemptOutcome::Done);
    }
    run_one_second(&mut script, &MACHINES, &fails_on_vm_1);
    assert!(
        script.machine("vm-1").is_deleting(),
        "sound jobs failed on vm-1"
    );
}

/// One of several machines is faulty: tasks that failed on it restart on other machines without a
/// backoff.
#[test]
fn tasks_that_fail_together_on_one_machine_are_retried_elsewhere_at_once() {
    let mut script = shard_with_machines(&MACHINES);
    script.submit("run-1", spec("blue", 1.0, 24));
    let fails_on_vm_1 = |_: &str, machine: &str| match machine {
        "vm-1" => TaskState::Ended,
        _ => TaskState::Running,
    };
    for _ in 0..4 {
        run_one_second(&mut script, &MACHINES, &fails_on_vm_1);
    }
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 24);
}

/// The replicas of a service never complete. A replica that has run longer than each failed one
/// shows that the service works and that the machines of the failed replicas are faulty.
#[test]
fn a_service_with_a_running_replica_does_not_fail_everywhere() {
    let mut script = shard_with_machines(&MACHINES);
    let service = JobSpec {
        kind: JobKind::Service,
        ..spec("blue", 4.0, 8)
    };
    script.submit("run-1", service);
    let fails_on_three_machines = |_: &str, machine: &str| match machine {
        "vm-1" | "vm-2" | "vm-3" => TaskState::Ended,
        _ => TaskState::Running,
    };
    for _ in 0..20 {
        run_one_second(&mut script, &MACHINES, &fails_on_three_machines);
    }
    let job = &script.shard.jobs()["run-1"];
    assert!(!job.is_crash_looping());
    assert_eq!(job.live().len(), 6, "all the capacity of healthy machines");
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
    // The team's quota is eight cores; the waiting tasks need more cores than all machines have.
    script.submit("run-9", spec("red", 4.0, 40));
    for _ in 0..60 {
        run_one_second(&mut script, &MACHINES, &fails_everywhere);
    }
    script.take_rentals();
    for _ in 0..120 {
        run_one_second(&mut script, &MACHINES, &fails_everywhere);
    }
    assert_eq!(script.take_rentals(), []);
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
    let mut script = shard_with_machines(&MACHINES);
    script.submit("run-9", spec("blue", 1.0, 24));
    for _ in 0..60 {
        run_one_second(&mut script, &MACHINES, &fails_everywhere);
    }
    let fetches_everywhere = |_: &str, _: &str| TaskState::Fetching;
    let was_retried =
        (0..80).any(|_| run_one_second(&mut script, &MACHINES, &fetches_everywhere) > 0);
    assert!(was_retried);
    assert!(!script.shard.jobs()["run-9"].live().is_empty());
    script
        .shard
        .job_finished("run-9", Some(JobStage::Cancelled));
    script.reconcile();
    let commands: Vec<Command> = script
        .take_batches()
        .into_iter()
        .flat_map(|batch| batch.commands)
        .collect();
    assert!(count_stops(&commands) > 0);
    for id in MACHINES {
        script.heartbeat(id, Vec::new());
    }
    assert!(!script.shard.jobs().contains_key("run-9"));
}

/// Failure counts are not stored: after a failover the new leader counts from zero, and no task is
/// lost.
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
