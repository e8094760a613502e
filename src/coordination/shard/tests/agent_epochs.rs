//! Agent epochs: a worker's epoch rises each time its lease expires. Each epoch has a lease of its
//! own, and a machine gets no tasks in an epoch that has ended.

use std::time::Duration;

use super::fixtures::{record, recovered_job, roster_machine, running_task, spec};
use super::scripted_shard::{ScriptedShard, TOKEN};
use crate::coordination::shard::{CommandOutcome, RecoveredState, UnfinishedJob};

/// Found by the simulation: a machine that was unreachable during a failover came back in a new
/// agent epoch and answered only a probe. When the lease of its former agent epoch expired, the
/// shard counted the machine's running tasks as lost.
#[test]
fn a_new_agent_epoch_has_its_own_lease() {
    // Two machines are unreachable, too many for the shard to delete them as lost.
    let mut script = ScriptedShard::new(recovered_job(1, &["vm-1", "vm-2"]));
    for probe in script.take_batches() {
        script.answer(&probe, CommandOutcome::NoAnswer);
    }
    script.advance(Duration::from_secs(26));
    let probe = script.take_batches().remove(0);
    script.now += Duration::from_millis(1900);
    script.shard.tick(script.now);
    script.reconcile();
    let status = running_task("run-1/0", 7);
    let mut heartbeat = script.heartbeat_of("vm-1", TOKEN, vec![status]);
    heartbeat.agent_epoch = 2;
    script.answer(&probe, CommandOutcome::Executed(heartbeat));
    script.heartbeat("vm-3", Vec::new());
    let lease_expires_at = script.machine("vm-2").lease.expires_at();
    script.advance(Duration::from_secs(3));
    assert!(
        script.now > lease_expires_at,
        "the lease of the former agent epoch has expired"
    );
    assert!(
        script.take_launches().is_empty(),
        "vm-1 still runs the task"
    );
    assert_eq!(
        script.shard.task_counts("run-1").map(|v| v.running),
        Some(1)
    );
}

/// After its lease has expired, a machine gets tasks only in a later agent epoch.
#[test]
fn an_ended_agent_epoch_gets_no_tasks() {
    let mut script = ScriptedShard::empty();
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", spec("blue", 1.0, 1));
    assert_eq!(script.take_launches().len(), 1);
    // vm-1 sends no heartbeat until its lease expires. A late heartbeat of the same agent epoch
    // changes nothing.
    script.advance(Duration::from_secs(28));
    script.take_batches();
    let late = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    script.receive(&late);
    assert!(script.take_launches().is_empty());
}

/// A worker may restart within a fraction of a second, and its sequence numbers then start over.
/// A heartbeat with an old sequence number may also be a duplicate. Only the machine's answer to a
/// probe proves that the worker has restarted, and only the deletion of the machine proves that no
/// earlier command can still reach it.
#[test]
fn a_worker_whose_sequence_restarts_is_probed_and_its_machine_deleted() {
    let mut script = ScriptedShard::empty();
    for _ in 0..5 {
        script.heartbeat("vm-1", Vec::new());
    }
    let mut old = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    old.sequence = 1;
    script.receive(&old);
    let probe = script.take_probes().remove(0);
    assert!(
        !script.machine("vm-1").is_deleting(),
        "the heartbeat may be a duplicate"
    );
    // A worker that has not restarted answers with a newer sequence number.
    script.execute(&probe, Vec::new());
    assert!(!script.machine("vm-1").is_deleting());
    script.now += Duration::from_secs(3);
    script.receive(&old);
    let probe = script.take_probes().remove(0);
    script.answer(&probe, CommandOutcome::Refused(old));
    assert!(script.machine("vm-1").is_deleting());
}

/// Found by the simulation with duplicated heartbeats: the first heartbeat that a new leader
/// received from a machine was a duplicate from an earlier agent epoch. When the current agent
/// epoch appeared, the leader took it as proof that nothing runs on the machine, although the
/// previous leader had started tasks in that epoch.
#[test]
fn a_new_agent_epoch_does_not_reconcile_tasks_that_an_earlier_leader_started_in_it() {
    let mut script = ScriptedShard::new(RecoveredState {
        jobs: vec![UnfinishedJob::new(
            "run-1",
            TOKEN - 1,
            record(spec("blue", 1.0, 1)),
        )],
        roster: vec![roster_machine("vm-1")],
        ..RecoveredState::default()
    });
    script.heartbeat("vm-2", Vec::new());
    let duplicate = script.heartbeat_of("vm-1", TOKEN - 1, Vec::new());
    script.shard.heartbeat(&duplicate, script.now);
    let mut current = script.heartbeat_of("vm-1", TOKEN - 1, Vec::new());
    current.agent_epoch = 2;
    script.receive(&current);
    assert!(
        script.take_launches().is_empty(),
        "run-1 may run in agent epoch 2"
    );
    let tasks = vec![running_task("run-1/0", 7)];
    let mut token_acknowledged = script.heartbeat_of("vm-1", TOKEN, tasks);
    token_acknowledged.agent_epoch = 2;
    script.shard.heartbeat(&token_acknowledged, script.now);
    script.advance(Duration::from_secs(1));
    assert!(
        script.take_launches().is_empty(),
        "run-1 runs in agent epoch 2"
    );
}
