//! Machine health: lost machines are deleted, and machines that run tasks far too slowly are
//! cordoned.

use std::time::Duration;

use super::fixtures::{record, roster_machine, running_task, spec, task_status};
use super::scripted_shard::{CommandBatch, ScriptedShard, count_stops, launched_attempt};
use crate::coordination::shard::{Action, CommandOutcome, RecoveredState, UnfinishedJob};
use crate::protocol::MachineId;
use crate::protocol::users::JobKind;
use crate::protocol::workers::{AttemptOutcome, Command, TaskState, TaskStatus};

/// A machine may still run its tasks until the cloud confirms its deletion: only then do they
/// restart on other machines.
#[test]
fn only_a_confirmed_deletion_frees_a_machines_tasks() {
    let mut script = ScriptedShard::empty();
    script.heartbeat("vm-1", Vec::new());
    let mut job = spec("blue", 1.0, 1);
    job.kind = JobKind::Service;
    script.submit("run-1", job);
    let batch = script.take_launches().remove(0);
    let status = running_task("run-1/0", launched_attempt(&batch.commands));
    script.execute(&batch, vec![status]);
    script.heartbeat("vm-2", Vec::new());
    // vm-1 sends no heartbeats and answers no probes.
    for _ in 0..12 {
        script.advance(Duration::from_secs(1));
        for probe in script.take_batches() {
            script.answer(&probe, CommandOutcome::NoAnswer);
        }
        script.heartbeat("vm-2", Vec::new());
    }
    let machine = MachineId::from("vm-1");
    let delete = Action::Delete(vec![machine.clone()]);
    assert!(script.actions.contains(&delete), "{:?}", script.actions);
    script
        .shard
        .deletion_answered(std::slice::from_ref(&machine), false, script.now);
    script.reconcile();
    assert!(
        script.take_launches().is_empty(),
        "an unanswered deletion proves nothing"
    );
    script.shard.deletion_answered(&[machine], true, script.now);
    script.reconcile();
    assert_eq!(script.take_launches()[0].machine, "vm-2".into());
}

/// A cordoned machine gets no tasks, and the tasks that it runs are stopped and move to other
/// machines.
#[test]
fn a_machine_far_slower_than_others_is_cordoned() {
    let mut script = ScriptedShard::empty();
    script.heartbeat("vm-1", Vec::new());
    script.heartbeat("vm-2", Vec::new());
    // Eight tasks fill vm-1, two go to vm-2.
    script.submit("run-1", spec("blue", 1.0, 10));
    let batches = script.take_launches();
    for batch in &batches {
        let running = launched_tasks(batch, TaskState::Running, None);
        script.execute(batch, running);
    }
    let (fast, slow) = (&batches[0], &batches[1]);
    script.now += Duration::from_secs(10);
    let done = launched_tasks(fast, TaskState::Ended, Some(AttemptOutcome::Done));
    assert!(
        done.len() >= 3,
        "enough completed tasks to compare run times with"
    );
    script.heartbeat(&fast.machine, done);
    for _ in 0..21 {
        script.now += Duration::from_secs(1);
        script.heartbeat(
            &slow.machine,
            launched_tasks(slow, TaskState::Running, None),
        );
        script.advance(Duration::ZERO);
    }
    let is_stopped = script
        .take_batches()
        .iter()
        .any(|batch| batch.machine == slow.machine && count_stops(&batch.commands) > 0);
    assert!(is_stopped, "the tasks of the slow machine move");
    assert!(script.machine(&slow.machine).health.is_cordoned());
    assert!(!script.machine(&fast.machine).health.is_cordoned());
}

/// Found by fault injection: tasks that an earlier leader had started, and that ended right after
/// the failover, appeared to have had very short run times. Compared with them, healthy machines
/// appeared slow.
#[test]
fn tasks_of_an_earlier_leader_do_not_count_as_run_time_samples() {
    let mut script = ScriptedShard::new(RecoveredState {
        jobs: vec![UnfinishedJob::new(
            "run-1",
            50,
            record(spec("blue", 1.0, 8)),
        )],
        roster: vec![roster_machine("vm-1")],
        ..RecoveredState::default()
    });
    let status = |n: u64, state, outcome| task_status(&format!("run-1/{n}"), 7 + n, state, outcome);
    let running: Vec<_> = (0..8)
        .map(|n| status(n, TaskState::Running, None))
        .collect();
    script.heartbeat("vm-1", running);
    // Five tasks end right after the failover, and the others keep running.
    let with_ended = |ended: u64| {
        (0..8)
            .map(|n| match n < ended {
                true => status(n, TaskState::Ended, Some(AttemptOutcome::Done)),
                false => status(n, TaskState::Running, None),
            })
            .collect::<Vec<_>>()
    };
    for _ in 0..20 {
        script.now += Duration::from_secs(1);
        script.heartbeat("vm-1", with_ended(5));
        script.advance(Duration::ZERO);
    }
    assert!(!script.machine("vm-1").health.is_cordoned());
}

/// The statuses of the tasks that a batch launches, all in the same state.
fn launched_tasks(
    batch: &CommandBatch,
    state: TaskState,
    outcome: Option<AttemptOutcome>,
) -> Vec<TaskStatus> {
    let status = |command: &Command| match command {
        Command::Launch { task, attempt } => {
            Some(task_status(&task.to_string(), *attempt, state, outcome))
        }
        _ => None,
    };
    batch.commands.iter().filter_map(status).collect()
}
