//! Heartbeats that are late, duplicated or overtaken by other messages, and machines that send
//! heartbeats but receive neither answers nor commands.

use std::time::Duration;

use super::fixtures::{running_task, spec};
use super::scripted_shard::{CommandBatch, ScriptedShard, TOKEN, launched_attempt};
use crate::coordination::shard::{CommandOutcome, HeartbeatOutcome};
use crate::protocol::MachineId;

/// A heartbeat that a worker sent before it executed a launch arrives after the answer to that
/// launch. The heartbeat does not list the task, but the task is not lost.
#[test]
fn a_heartbeat_with_an_older_sequence_changes_nothing() {
    let mut script = ScriptedShard::empty();
    let late = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", spec("blue", 1.0, 1));
    let batch = script.take_launches().remove(0);
    let status = running_task("run-1/0", launched_attempt(&batch.commands));
    script.execute(&batch, vec![status]);
    // The sequence number of the late heartbeat is older than that of the answer.
    script.receive(&late);
    assert!(script.take_launches().is_empty());
    assert_eq!(
        script.shard.task_counts("run-1").map(|v| v.running),
        Some(1)
    );
}

/// A machine's heartbeats arrive, but neither answers nor commands reach it, so that its agent
/// epochs end one after the other. Its tasks move to other machines, and it gets no tasks until it
/// answers a probe.
#[test]
fn an_inbound_unreachable_machine_gets_no_work_until_it_answers() {
    let mut script = ScriptedShard::empty();
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", spec("blue", 1.0, 1));
    let batch = script.take_launches().remove(0);
    script.answer(&batch, CommandOutcome::NoAnswer);
    script.heartbeat("vm-2", Vec::new());
    assert!(
        script.take_launches().is_empty(),
        "the launch may still reach vm-1"
    );
    let mut heartbeat = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    heartbeat.agent_epoch = 2;
    script.receive(&heartbeat);
    let moved = script.take_launches();
    assert_eq!(moved.len(), 1);
    assert_eq!(
        &*moved[0].machine, "vm-2",
        "vm-1 has sent a heartbeat, but answered nothing"
    );
    script.submit("run-2", spec("blue", 8.0, 1));
    script.advance(Duration::from_secs(2));
    let batches = script.take_batches();
    let is_empty = |batch: &CommandBatch| batch.commands.is_empty();
    assert!(batches.iter().all(is_empty), "only vm-1 has the capacity");
    let probe = batches
        .into_iter()
        .find(|batch| &*batch.machine == "vm-1")
        .expect("vm-1 is probed");
    let mut answer = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    answer.agent_epoch = 2;
    script.answer(&probe, CommandOutcome::Executed(answer));
    assert_eq!(script.take_launches().len(), 1);
}

/// No worker receives the answer to a duplicated heartbeat. If a duplicate moved the lease expiry
/// that the shard expects, lost tasks would wait for as long as duplicates arrive.
#[test]
fn a_duplicated_heartbeat_renews_no_lease() {
    let mut script = ScriptedShard::empty();
    let first = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    script.shard.heartbeat(&first, script.now);
    script.heartbeat("vm-1", Vec::new());
    let lease_expires_at = script.machine("vm-1").lease.expires_at();
    for _ in 0..40 {
        script.now += Duration::from_secs(1);
        script.receive(&first);
    }
    assert_eq!(script.machine("vm-1").lease.expires_at(), lease_expires_at);
    let since_last_contact = script.machine("vm-1").since_last_contact(script.now);
    assert!(
        since_last_contact >= Duration::from_secs(40),
        "a duplicate does not count as contact"
    );
}

/// The answer to a command may overtake a heartbeat that was sent before it. That heartbeat is not
/// a duplicate: its worker receives the answer to it and renews its lease.
#[test]
fn a_heartbeat_overtaken_by_a_command_answer_renews_the_lease() {
    let mut script = ScriptedShard::empty();
    script.heartbeat("vm-1", Vec::new());
    let heartbeat = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    script.submit("run-1", spec("blue", 1.0, 1));
    let batch = script.take_launches().remove(0);
    script.execute(&batch, Vec::new());
    script.now += Duration::from_secs(10);
    script.shard.heartbeat(&heartbeat, script.now);
    assert!(script.machine("vm-1").lease.expires_at() > script.now + Duration::from_secs(26));
}

/// Neither a duplicated heartbeat nor a stale machine list may add a deleted machine again: a
/// duplicate is refused once its machine is deleted.
#[test]
fn a_duplicated_heartbeat_does_not_revive_a_deleted_machine() {
    let mut script = ScriptedShard::empty();
    let duplicate = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    script.receive(&duplicate);
    let deleted: MachineId = "vm-1".into();
    script
        .shard
        .deletion_answered(std::slice::from_ref(&deleted), true, script.now);
    script.submit("run-1", spec("blue", 1.0, 1));
    for _ in 0..60 {
        script.advance(Duration::from_secs(1));
        let outcome = script.shard.heartbeat(&duplicate, script.now);
        assert_eq!(outcome, HeartbeatOutcome::Refuse);
        script.reconcile();
    }
    assert!(script.shard.machines().get("vm-1").is_none());
    assert!(script.take_launches().is_empty());
}
