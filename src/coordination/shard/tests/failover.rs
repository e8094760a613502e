//! Failovers: which tasks a new leader starts, and which machines it deletes, before and after all
//! machines of the recovered roster are reconciled.

use std::time::Duration;

use super::fixtures::{ended_task, record, recovered_job, roster_machine, running_task, spec};
use super::scripted_shard::{ScriptedShard, TOKEN, launched_attempt};
use crate::coordination::shard::{CommandOutcome, Phase, RecoveredState, UnfinishedJob};
use crate::protocol::workers::{AttemptOutcome, Command};

/// A job that an earlier leader knew may have tasks on any unreconciled machine of the roster, so
/// the new leader starts none of them before all machines are reconciled.
#[test]
fn old_jobs_wait_until_every_machine_is_reconciled() {
    let mut script = ScriptedShard::new(RecoveredState {
        jobs: vec![UnfinishedJob::new(
            "run-1",
            50,
            record(spec("blue", 1.0, 1)),
        )],
        roster: vec![roster_machine("vm-1"), roster_machine("vm-2")],
        ..RecoveredState::default()
    });
    let probes = script.take_batches();
    script.execute(&probes[0], Vec::new());
    assert!(script.take_launches().is_empty(), "vm-2 may run the task");
    // No earlier leader can have known run-2, which starts at once.
    script.submit("run-2", spec("blue", 1.0, 1));
    assert_eq!(script.take_launches().len(), 1);
    let status = running_task("run-1/0", 9);
    script.heartbeat("vm-2", vec![status]);
    assert!(script.take_launches().is_empty(), "the task runs on vm-2");
    assert_eq!(
        script.shard.task_counts("run-1").map(|v| v.running),
        Some(1)
    );
}

/// A worker that has not acknowledged the new fencing token still executes commands of the earlier
/// leader, so its heartbeats do not prove which tasks it runs.
#[test]
fn a_heartbeat_under_an_older_fencing_token_reconciles_nothing() {
    let mut script = ScriptedShard::new(RecoveredState {
        jobs: vec![UnfinishedJob::new(
            "run-1",
            50,
            record(spec("blue", 1.0, 1)),
        )],
        roster: vec![roster_machine("vm-1")],
        ..RecoveredState::default()
    });
    let probes = script.take_batches();
    assert_eq!(
        probes.len(),
        1,
        "every machine is sent the new fencing token at once"
    );
    let heartbeat = script.heartbeat_of("vm-1", TOKEN - 1, Vec::new());
    script.receive(&heartbeat);
    assert!(
        script.take_launches().is_empty(),
        "a launch of the earlier leader may still arrive"
    );
    assert!(
        script.shard.jobs()["run-1"].live().is_empty(),
        "the task is not placed either"
    );
    script.execute(&probes[0], Vec::new());
    assert_eq!(script.take_launches().len(), 1);
}

/// Found in a full-size run: one machine, rented just before the leader crashed, delayed all tasks
/// of old jobs for nine seconds because it stayed unreconciled.
#[test]
fn the_last_unreconciled_machine_is_deleted_soon() {
    let ids: Vec<String> = (0..30).map(|n| format!("vm-{n:02}")).collect();
    let mut script = ScriptedShard::new(RecoveredState {
        roster: ids.iter().map(|id| roster_machine(id)).collect(),
        ..RecoveredState::default()
    });
    for step in 0..4 {
        for probe in script.take_probes() {
            let answers = &*probe.machine != "vm-00" && (step > 0 || &*probe.machine < "vm-15");
            let heartbeat = script.heartbeat_of(&probe.machine, TOKEN, Vec::new());
            let outcome = if answers {
                CommandOutcome::Executed(heartbeat)
            } else {
                CommandOutcome::NoAnswer
            };
            script.answer(&probe, outcome);
        }
        let is_deleting = script.machine("vm-00").is_deleting();
        assert!(
            step > 0 || !is_deleting,
            "half of the machines are unreconciled"
        );
        script.advance(Duration::from_millis(1100));
    }
    assert!(script.machine("vm-00").is_deleting());
    assert!(!script.machine("vm-20").is_deleting());
}

/// Found in a full-size run: after a failover during a network partition, hundreds of
/// machines were deleted as idle before their tasks were reconciled.
#[test]
fn no_idle_machine_is_deleted_while_machines_are_unreconciled() {
    let mut script = ScriptedShard::new(RecoveredState {
        jobs: vec![UnfinishedJob::new(
            "run-1",
            TOKEN - 1,
            record(spec("red", 8.0, 2)),
        )],
        roster: ["vm-0", "vm-1", "vm-2", "vm-3"].map(roster_machine).into(),
        ..RecoveredState::default()
    });
    // A delegate renews the leases of vm-0 and vm-3, but has not written an inventory.
    script.shard.grant_delegation("beta", script.now);
    for _ in 0..80 {
        script.heartbeat("vm-1", Vec::new());
        script.heartbeat("vm-2", Vec::new());
        script.advance(Duration::from_secs(1));
    }
    assert!(
        script.shard.wants_inventories(),
        "vm-0 and vm-3 are unreconciled"
    );
    let are_deleting = ["vm-1", "vm-2"].map(|id| script.machine(id).is_deleting());
    assert_eq!(are_deleting, [false, false], "run-1 may need both machines");
}

/// While some machines are unreconciled, a task that a reconciled machine listed earlier and no
/// longer lists restarts at once; a task that no machine has listed waits.
#[test]
fn a_listed_task_that_is_lost_restarts_before_all_machines_are_reconciled() {
    let mut script = ScriptedShard::new(recovered_job(2, &["vm-1", "vm-2"]));
    let running = running_task("run-1/0", 7);
    let probe = script.take_probes().remove(0);
    script.execute(&probe, vec![running]);
    script.advance(Duration::from_millis(300));
    assert!(
        script.take_launches().is_empty(),
        "the other task may be on vm-2"
    );
    script.heartbeat("vm-1", Vec::new());
    script.advance(Duration::from_millis(300));
    let launches = script.take_launches();
    assert_eq!(launches.len(), 1);
    assert!(matches!(&launches[0].commands[..], [Command::Launch { task, .. }] if task.index == 0));
    assert!(!script.machine("vm-2").token_acknowledged);
}

/// A scattered job may have at most half of its tasks in one zone. Tasks that no machine has listed
/// count in every zone that has an unreconciled machine.
#[test]
fn unlisted_tasks_count_in_every_zone_where_they_may_run() {
    let mut recovered = recovered_job(4, &["vm-1", "vm-2"]);
    recovered.jobs[0].record.spec.scatter = true;
    let mut script = ScriptedShard::new(recovered);
    let running = |n| running_task(&format!("run-1/{n}"), 7);
    let probe = script.take_probes().remove(0);
    script.execute(&probe, vec![running(0), running(1)]);
    script.heartbeat("vm-1", vec![running(0)]);
    script.advance(Duration::from_millis(300));
    // The two other tasks may run on vm-2, in the same zone.
    assert!(script.take_launches().is_empty());
}

/// Guards against `ran_twice`: a new leader read a heartbeat that lists a running attempt of a task
/// and then an ended one, which is never cleared if its launch got no answer. The ended attempt
/// released the task, which started on a second machine.
#[test]
fn an_ended_attempt_does_not_release_a_task_that_runs_beside_it() {
    let ended = ended_task("run-1/0", 5, AttemptOutcome::Stopped);
    let running = running_task("run-1/0", 7);
    for tasks in [
        vec![running.clone(), ended.clone()],
        vec![ended.clone(), running],
    ] {
        let mut script = ScriptedShard::new(recovered_job(1, &["vm-1", "vm-2"]));
        for probe in script.take_probes() {
            let listed = match &*probe.machine {
                "vm-1" => tasks.clone(),
                _ => Vec::new(),
            };
            script.execute(&probe, listed);
        }
        script.advance(Duration::from_millis(300));
        assert!(script.take_launches().is_empty(), "{tasks:?}");
        script.heartbeat("vm-1", vec![ended.clone()]);
        script.advance(Duration::from_millis(300));
        assert_eq!(script.take_launches().len(), 1, "the task was lost");
    }
}

/// A worker refuses a launch because it still runs an attempt of the task that this leader did not
/// know of. The refused attempt, listed last, has ended; the other one has not.
#[test]
fn a_refused_launch_does_not_release_a_task_that_runs_on_the_machine() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1"]);
    script.submit("run-1", spec("blue", 8.0, 1));
    let batch = script.take_launches().remove(0);
    script.add_machines(&["vm-2"]);
    let refused = ended_task(
        "run-1/0",
        launched_attempt(&batch.commands),
        AttemptOutcome::Busy,
    );
    let running = running_task("run-1/0", 7);
    script.execute(&batch, vec![running.clone(), refused.clone()]);
    for _ in 0..5 {
        script.heartbeat("vm-1", vec![running.clone(), refused.clone()]);
        script.heartbeat("vm-2", Vec::new());
        script.advance(Duration::from_secs(1));
        assert_eq!(count_launching(&script), 0);
    }
    script.heartbeat("vm-1", vec![refused]);
    script.advance(Duration::from_millis(300));
    assert_eq!(count_launching(&script), 1);
}

/// The number of attempts whose launch was decided and that no heartbeat has listed.
fn count_launching(script: &ScriptedShard) -> usize {
    let machines = script.shard.machines().values();
    let attempts = machines.flat_map(|machine| machine.attempts.values());
    attempts
        .filter(|attempt| attempt.phase == Phase::Launching)
        .count()
}
