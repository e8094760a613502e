//! Gangs that a new leader recovers.

use std::time::Duration;

use super::super::fixtures::{ended_task, record, roster_machine, running_task, task_status};
use super::super::scripted_shard::ScriptedShard;
use super::{gang, second};
use crate::coordination::shard::{CommandOutcome, Phase, RecoveredState, UnfinishedJob};
use crate::protocol::workers::{AttemptOutcome, Command, TaskState};

/// A new leader finds half of a gang. The other half may run on an unreconciled machine: it is
/// neither replaced, nor is a second attempt started beside the first.
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
        script.advance(second(1));
        assert!(script.launches().is_empty(), "run-1/1 may be on vm-2");
        assert_eq!(stop_of_first(&script, "vm-1"), None);
        // It is not on vm-2 either.
        script.heartbeat("vm-2", Vec::new());
        script.batches();
        script.advance(second(1));
        let stop = stop_of_first(&script, "vm-1");
        let again = script.shard.jobs()["run-1"].live().len();
        if started {
            assert_eq!(
                (stop, again),
                (Some(Duration::ZERO), 1),
                "the whole attempt ends"
            );
        } else {
            assert_eq!((stop, again), (None, 2), "the missing task is started");
            let replacement = |id: &str| {
                let first = script.machine(id).attempts.first_key_value();
                first.map(|(id, attempt)| (id.number, attempt.phase))
            };
            assert_eq!(
                replacement("vm-2").or(replacement("vm-3")),
                Some((7, Phase::Launching)),
                "under the same attempt number"
            );
        }
    }
}

/// Tasks of an earlier attempt count for the zone and the quota limit, and hold the next attempt
/// back, also on a machine that is unreachable.
#[test]
fn an_attempt_starts_only_when_no_task_of_an_earlier_one_can_run() {
    let mut script = ScriptedShard::new(RecoveredState {
        jobs: vec![UnfinishedJob::new("run-1", 5, record(gang(2, 8.0)))],
        roster: vec![roster_machine("vm-1")],
        ..RecoveredState::default()
    });
    script.add_machines(&["vm-2", "vm-3"]);
    let lease_expires_at = script.machine("vm-1").lease.expires_at();
    while script.now < lease_expires_at {
        for batch in script.batches() {
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
        script.advance(second(1));
    }
    script.advance(second(1));
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 2);
}

/// After a failover one task of a gang is listed, and listed as ended; the other may run on a
/// machine that has sent no heartbeat yet.
#[test]
fn a_gang_with_a_task_on_an_unreconciled_machine_is_not_restarted() {
    let mut script = ScriptedShard::new(recovered_gang_of_two());
    script.add_machines(&["vm-3", "vm-4"]);
    let line = |state, outcome| vec![task_status("run-1/0", 7, state, outcome)];
    script.heartbeat("vm-1", line(TaskState::Waiting, None));
    let ended = Some(AttemptOutcome::Error);
    script.heartbeat("vm-1", line(TaskState::Ended, ended));
    for _ in 0..3 {
        script.advance(second(1));
        assert!(script.launches().is_empty(), "run-1/1 may be on vm-2");
        assert!(script.shard.jobs()["run-1"].live().is_empty());
    }
    script.heartbeat("vm-2", Vec::new());
    script.advance(second(1));
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 2);
}

/// A stop reaches one of two machines before the leader crashes. The new leader finds that that
/// task has saved and ended, while the other machine is unreachable: nothing is started until the
/// other's lease expires, and if it sends a heartbeat its task is stopped.
#[test]
fn a_stop_that_reached_half_of_a_gang_is_completed_by_the_next_leader() {
    for reached in [false, true] {
        let mut script = ScriptedShard::new(recovered_gang_of_two());
        script.add_machines(&["vm-3", "vm-4"]);
        let saved = ended_task("run-1/0", 7, AttemptOutcome::Stopped);
        script.heartbeat("vm-1", vec![saved]);
        for _ in 0..3 {
            script.advance(second(1));
            assert!(script.launches().is_empty(), "run-1/1 may run on vm-2");
        }
        if reached {
            stop_the_other_task(&mut script);
        } else {
            expire_the_other_lease(&mut script);
        }
        script.advance(second(1));
        let started = script.shard.jobs()["run-1"].live().len();
        assert_eq!(started, 2, "reached: {reached}");
    }
}

/// The other task is listed as running, is stopped, and ends.
fn stop_the_other_task(script: &mut ScriptedShard) {
    let running = || vec![running_task("run-1/1", 7)];
    script.heartbeat("vm-2", running());
    let answer = script.heartbeat("vm-2", running());
    let stops = |command: &Command| matches!(command, Command::Stop { .. });
    assert!(answer.iter().any(stops), "it can't run alone");
    assert!(script.launches().is_empty());
    let ended = ended_task("run-1/1", 7, AttemptOutcome::GangPeerLost);
    script.heartbeat("vm-2", vec![ended]);
}

/// The machine of the other task sends nothing until its lease expires.
fn expire_the_other_lease(script: &mut ScriptedShard) {
    let expiry = script.machine("vm-2").lease.expires_at();
    while script.now <= expiry {
        for id in ["vm-1", "vm-3", "vm-4"] {
            script.heartbeat(id, Vec::new());
        }
        assert!(script.shard.jobs()["run-1"].live().is_empty());
        script.advance(second(1));
    }
}

/// A gang of an earlier leader, and two machines of the roster.
fn recovered_gang_of_two() -> RecoveredState {
    RecoveredState {
        jobs: vec![UnfinishedJob::new("run-1", 5, record(gang(2, 8.0)))],
        roster: vec![roster_machine("vm-1"), roster_machine("vm-2")],
        ..RecoveredState::default()
    }
}

/// The time to save with which the first attempt on a machine is stopped, if it is.
fn stop_of_first(script: &ScriptedShard, id: &str) -> Option<Duration> {
    let first = script.machine(id).attempts.values().next();
    first.and_then(|attempt| attempt.stop_grace())
}
