//! Attempts of a gang: replacements, stops and completion.

use std::time::Duration;

use super::super::fixtures::GANG_WAIT;
use super::super::scripted_shard::{ScriptedShard, TOKEN};
use super::super::scripted_workers::{Launched, Stopped};
use super::{gang, second};
use crate::coordination::shard::Action;
use crate::protocol::workers::{AttemptOutcome, TaskState};

/// Stopping one task of a running gang, for whatever reason, stops all of them at once, with the
/// same time to save a checkpoint.
#[test]
fn a_preemption_notice_for_one_machine_stops_the_whole_gang_in_time_to_save() {
    for (left, grace) in [(12.0, 12.0), (3.0, 0.0)] {
        let mut script = ScriptedShard::empty();
        script.add_machines(&["vm-1", "vm-2"]);
        script.submit("run-1", gang(2, 8.0));
        assert_eq!(script.execute_launches().len(), 2);
        for id in ["vm-1", "vm-2"] {
            script.all_in_state(id, TaskState::Running);
        }
        assert_eq!(script.execute_stops(), []);
        let mut preemption_notice = script.heartbeat_with_all("vm-1", TaskState::Running, None);
        preemption_notice.preemption_notice_s = Some(left);
        script.receive(&preemption_notice);
        let both = [Stopped::new("vm-1", grace), Stopped::new("vm-2", grace)];
        assert_eq!(script.execute_stops(), both);
        // While they save, the time left grows shorter: they are not stopped again.
        let mut later = script.heartbeat_with_all("vm-1", TaskState::Saving, None);
        later.preemption_notice_s = Some(1.0);
        script.receive(&later);
        assert_eq!(script.execute_stops(), []);
    }
}

/// The other tasks keep waiting for the replacement.
#[test]
fn a_task_lost_before_the_start_is_replaced_under_the_same_attempt_number() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1", "vm-2", "vm-3"]);
    script.submit("run-1", gang(2, 8.0));
    let launches = script.execute_launches();
    let attempt_number = launches[0].attempt;
    let (stays, lost) = (launches[0].machine.clone(), launches[1].machine.clone());
    script.all_in_state(&stays, TaskState::Waiting);
    script.all_ended(&lost, AttemptOutcome::Error);
    let again = script.execute_launches();
    assert_eq!(again.len(), 1);
    assert_eq!(
        (again[0].task, again[0].attempt),
        (launches[1].task, attempt_number)
    );
    assert!(
        again[0].machine != stays && again[0].machine != lost,
        "neither can start it"
    );
    assert_eq!(script.execute_stops(), []);
    // Lost once more, and too late for another image: the attempt is stopped whole.
    script.all_ended(&again[0].machine, AttemptOutcome::Error);
    script.batches();
    script.now += GANG_WAIT / 2;
    script.all_in_state(&stays, TaskState::Waiting);
    assert_eq!(script.execute_stops(), [Stopped::new(&stays, 0.0)]);
    // The next attempt has another number, and starts when all tasks of this one have ended.
    assert_eq!(script.execute_launches(), []);
    script.all_ended(&stays, AttemptOutcome::Stopped);
    script.add_machines(&["vm-4", "vm-5"]);
    script.advance(second(3));
    let next = script.execute_launches();
    assert_eq!(next.len(), 2);
    assert!(next.iter().all(|launch| launch.attempt != attempt_number));
}

/// The other tasks are stopped, and the next attempt starts only when each of them is known to
/// have ended.
#[test]
fn a_task_lost_from_a_running_gang_ends_the_whole_attempt() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1", "vm-2", "vm-3", "vm-4"]);
    script.submit("run-1", gang(2, 8.0));
    let launches = script.execute_launches();
    let (lost, left) = (launches[0].machine.clone(), launches[1].machine.clone());
    for id in [&lost, &left] {
        script.all_in_state(id, TaskState::Running);
    }
    // Its worker begins a new agent epoch: the task has ended.
    let mut restarted = script.heartbeat_of(&lost, TOKEN, Vec::new());
    restarted.agent_epoch = 2;
    script.receive(&restarted);
    assert_eq!(script.execute_launches(), [], "the other may still run");
    let stop = script.machine(&left).attempts.values().next();
    assert_eq!(stop.and_then(|a| a.stop_grace()), Some(Duration::ZERO));
    script.advance(second(1));
    script.execute_stops();
    script.all_ended(&left, AttemptOutcome::GangPeerLost);
    let next = script.execute_launches();
    assert_eq!(next.len(), 2);
    assert!(
        next.iter()
            .all(|launch| launch.attempt != launches[0].attempt)
    );
}

/// The tasks of a gang complete together, so that one done task shows that all are, also one
/// whose machine was lost at that moment: the gang is neither run again nor left unfinished.
#[test]
fn with_one_done_task_the_whole_gang_is_done() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1", "vm-2"]);
    script.submit("run-1", gang(2, 8.0));
    let launches = script.execute_launches();
    let (done, lost) = (launches[0].machine.clone(), launches[1].machine.clone());
    for id in [&done, &lost] {
        script.all_in_state(id, TaskState::Running);
    }
    script.all_ended(&done, AttemptOutcome::Done);
    assert!(script.shard.jobs()["run-1"].all_done());
    let mut restarted = script.heartbeat_of(&lost, TOKEN, Vec::new());
    restarted.agent_epoch = 2;
    script.shard.heartbeat(&restarted, script.now);
    script.advance(second(1));
    assert_eq!(script.execute_launches(), []);
    let finish = |action: &Action| matches!(action, Action::Finish { .. });
    assert_eq!(script.actions.iter().filter(|a| finish(a)).count(), 1);
}

/// A gang that was never complete is not started the same way again at once.
#[test]
fn an_incomplete_gang_backs_off_before_its_next_attempt() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1", "vm-2"]);
    script.submit("run-1", gang(2, 8.0));
    let launches = script.execute_launches();
    for Launched { machine: id, .. } in &launches {
        script.all_ended(id, AttemptOutcome::GangIncomplete);
    }
    assert_eq!(script.execute_launches(), []);
    for id in ["vm-1", "vm-2"] {
        script.heartbeat(id, Vec::new());
    }
    script.advance(second(4));
    assert_eq!(script.execute_launches().len(), 2);
}

/// A worker that refused a task knows its attempt and does not start it any more, so that the
/// replacement under the same number goes elsewhere, however well it would fit there.
#[test]
fn a_refused_task_is_replaced_on_a_machine_that_does_not_know_its_attempt() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1", "vm-2"]);
    script.submit("run-1", gang(2, 8.0));
    let launches = script.execute_launches();
    let (stays, refused) = (launches[0].machine.clone(), launches[1].machine.clone());
    script.all_in_state(&stays, TaskState::Waiting);
    script.all_ended(&refused, AttemptOutcome::NoRoom);
    // Long enough for a retry, and the machine has free capacity again.
    script.advance(second(1));
    assert_eq!(
        script.execute_launches(),
        [],
        "the launch would have no effect there"
    );
    script.add_machines(&["vm-3"]);
    let again = script.execute_launches();
    let replacement = Launched {
        machine: "vm-3".to_owned(),
        ..launches[1].clone()
    };
    assert_eq!(again, [replacement]);
}
