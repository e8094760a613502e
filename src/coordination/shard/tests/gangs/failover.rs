//! Tests of gangs that a new leader recovers.

use std::time::Duration;

use super::super::fixtures::{ended_task, record, roster_machine, running_task, task_status};
use super::super::scripted_shard::ScriptedShard;
use super::{gang, seconds};
use crate::coordination::shard::{CommandOutcome, Phase, RecoveredState, UnfinishedJob};
use crate::protocol::workers::{AttemptOutcome, Command, TaskState};

/// A new leader finds one of a gang's two tasks. While the other task may run on an unreconciled
/// machine, it is not replaced, and no second attempt starts beside the first.
#[test]
fn a_new_leader_recovers_a_gang_and_starts_no_second_attempt() {
    for started in [false, true] {
        let mut script = ScriptedShard::new(recovered_gang_of_two());
        script.add_machines(&["vm-3"]);
        let state = match started {
            true => TaskState::Running,
            false => TaskState::Waiting,
        };
        script.heartbeat("vm-1", vec![task_status("run-1/0", 7, state, None)]);
        script.advance(seconds(1));
        assert!(script.take_launches().is_empty(), "run-1/1 may be on vm-2");
        assert_eq!(first_grace_period(&script, "vm-1"), None);
        // The heartbeat of vm-2 shows that run-1/1 does not run there.
        script.heartbeat("vm-2", Vec::new());
        script.take_batches();
        script.advance(seconds(1));
        let grace_period = first_grace_period(&script, "vm-1");
        let live_tasks = script.shard.jobs()["run-1"].live().len();
        if started {
            assert_eq!(
                (grace_period, live_tasks),
                (Some(Duration::ZERO), 1),
                "the whole attempt ends"
            );
        } else {
            assert_eq!(
                (grace_period, live_tasks),
                (None, 2),
                "the missing task is started"
            );
            let first_attempt = |id: &str| {
                let first = script.machine(id).attempts.first_key_value();
                first.map(|(id, attempt)| (id.number, attempt.phase))
            };
            assert_eq!(
                first_attempt("vm-2").or(first_attempt("vm-3")),
                Some((7, Phase::Launching)),
                "the replacement has the same attempt number"
            );
        }
    }
}

/// Tasks of an earlier attempt count towards the zone rules and the quota limit, and delay the next
/// attempt, even if their machine is unreachable.
#[test]
fn an_attempt_starts_only_when_no_task_of_an_earlier_attempt_can_run() {
    let mut script = ScriptedShard::new(RecoveredState {
        jobs: vec![UnfinishedJob::new("run-1", 5, record(gang(2, 8.0)))],
        roster: vec![roster_machine("vm-1")],
        ..RecoveredState::default()
    });
    script.add_machines(&["vm-2", "vm-3"]);
    let lease_expires_at = script.machine("vm-1").lease.expires_at();
    while script.now < lease_expires_at {
        for batch in script.take_batches() {
            let outcome = match &*batch.machine {
                "vm-1" => CommandOutcome::NoAnswer,
                id => CommandOutcome::Executed(script.running_heartbeat(id)),
            };
            script.answer(&batch, outcome);
        }
        assert!(script.shard.jobs()["run-1"].live().is_empty());
        for id in ["vm-2", "vm-3"] {
            script.heartbeat(id, Vec::new());
        }
        script.advance(seconds(1));
    }
    script.advance(seconds(1));
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 2);
}

/// After a failover one task of a gang is listed as ended, and the other task may run on a machine
/// that has sent no heartbeat yet.
#[test]
fn a_gang_with_a_task_on_an_unreconciled_machine_is_not_restarted() {
    let mut script = ScriptedShard::new(recovered_gang_of_two());
    script.add_machines(&["vm-3", "vm-4"]);
    let statuses = |state, outcome| vec![task_status("run-1/0", 7, state, outcome)];
    script.heartbeat("vm-1", statuses(TaskState::Waiting, None));
    let ended = Some(AttemptOutcome::Error);
    script.heartbeat("vm-1", statuses(TaskState::Ended, ended));
    for _ in 0..3 {
        script.advance(seconds(1));
        assert!(script.take_launches().is_empty(), "run-1/1 may be on vm-2");
        assert!(script.shard.jobs()["run-1"].live().is_empty());
    }
    script.heartbeat("vm-2", Vec::new());
    script.advance(seconds(1));
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 2);
}

/// A stop reaches one of two machines before the leader crashes. The new leader finds that the task
/// on that machine has saved and ended, while the other machine is unreachable. Nothing is started
/// until the other machine's lease expires; if it sends a heartbeat before, its task is stopped.
#[test]
fn a_stop_that_reached_half_of_a_gang_is_completed_by_the_next_leader() {
    for sends_heartbeat in [false, true] {
        let mut script = ScriptedShard::new(recovered_gang_of_two());
        script.add_machines(&["vm-3", "vm-4"]);
        let saved = ended_task("run-1/0", 7, AttemptOutcome::Stopped);
        script.heartbeat("vm-1", vec![saved]);
        for _ in 0..3 {
            script.advance(seconds(1));
            assert!(script.take_launches().is_empty(), "run-1/1 may run on vm-2");
        }
        if sends_heartbeat {
            stop_the_other_task(&mut script);
        } else {
            expire_the_other_lease(&mut script);
        }
        script.advance(seconds(1));
        let started = script.shard.jobs()["run-1"].live().len();
        assert_eq!(started, 2, "sends heartbeat: {sends_heartbeat}");
    }
}

/// The machine of the other task lists it as running. The task is stopped, and ends.
fn stop_the_other_task(script: &mut ScriptedShard) {
    let running = || vec![running_task("run-1/1", 7)];
    script.heartbeat("vm-2", running());
    let answer = script.heartbeat("vm-2", running());
    let is_stop = |command: &Command| matches!(command, Command::Stop { .. });
    assert!(
        answer.iter().any(is_stop),
        "the task can't run without the rest of its gang"
    );
    assert!(script.take_launches().is_empty());
    let ended = ended_task("run-1/1", 7, AttemptOutcome::GangPeerLost);
    script.heartbeat("vm-2", vec![ended]);
}

/// Lets time pass until the lease of the other task's machine expires; that machine sends no
/// heartbeat.
fn expire_the_other_lease(script: &mut ScriptedShard) {
    let expiry = script.machine("vm-2").lease.expires_at();
    while script.now <= expiry {
        for id in ["vm-1", "vm-3", "vm-4"] {
            script.heartbeat(id, Vec::new());
        }
        assert!(script.shard.jobs()["run-1"].live().is_empty());
        script.advance(seconds(1));
    }
}

/// The stored state of an earlier leader: a gang of two tasks, and two machines on the roster.
fn recovered_gang_of_two() -> RecoveredState {
    RecoveredState {
        jobs: vec![UnfinishedJob::new("run-1", 5, record(gang(2, 8.0)))],
        roster: vec![roster_machine("vm-1"), roster_machine("vm-2")],
        ..RecoveredState::default()
    }
}

/// The grace period with which the first attempt on a machine is stopped; None if it is not.
fn first_grace_period(script: &ScriptedShard, id: &str) -> Option<Duration> {
    let first = script.machine(id).attempts.values().next();
    first.and_then(|attempt| attempt.stop_grace())
}

/// Guards against a gang that is stopped because a new leader took it for incomplete: a heartbeat
/// lists an ended attempt of a task after the running one.
#[test]
fn an_ended_attempt_does_not_stop_a_gang_that_runs_beside_it() {
    let mut script = ScriptedShard::new(recovered_gang_of_two());
    let ended = ended_task("run-1/0", 5, AttemptOutcome::Stopped);
    script.heartbeat("vm-1", vec![running_task("run-1/0", 7), ended]);
    script.heartbeat("vm-2", vec![running_task("run-1/1", 7)]);
    for _ in 0..5 {
        script.advance(seconds(1));
        assert_eq!(first_grace_period(&script, "vm-2"), None);
        assert!(script.take_launches().is_empty());
    }
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 2);
}
