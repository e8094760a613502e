//! Agent epochs and the leases of workers.

use std::time::Duration;

use super::fixtures::{record, recovered_job, roster_machine, running_task, spec};
use super::scripted_shard::{ScriptedShard, TOKEN};
use crate::coordination::shard::{CommandOutcome, RecoveredState, UnfinishedJob};

/// Found by the simulation: a machine that was unreachable at a failover came back in a new
/// agent epoch, answered a probe only, and its tasks counted as lost when the lease of its
/// former agent epoch expired.
#[test]
fn a_new_agent_epoch_has_its_own_lease() {
    // Two unreachable machines: too many to be deleted as lost.
    let mut script = ScriptedShard::new(recovered_job(1, &["vm-1", "vm-2"]));
    for probe in script.batches() {
        script.answer(&probe, CommandOutcome::NoAnswer);
    }
    script.advance(Duration::from_secs(26));
    let probe = script.batches().remove(0);
    script.now += Duration::from_millis(1900);
    script.shard.tick(script.now);
    script.reconcile();
    let line = running_task("run-1/0", 7);
    let mut heartbeat = script.heartbeat_of("vm-1", TOKEN, vec![line]);
    heartbeat.agent_epoch = 2;
    script.answer(&probe, CommandOutcome::Executed(heartbeat));
    script.heartbeat("vm-3", Vec::new());
    let lease_expires_at = script.machine("vm-2").lease.expires_at();
    script.advance(Duration::from_secs(3));
    assert!(
        script.now > lease_expires_at,
        "the lease of its former agent epoch has expired"
    );
    assert!(script.launches().is_empty(), "the task is still there");
    assert_eq!(
        script.shard.task_counts("run-1").map(|v| v.running),
        Some(1)
    );
}

/// After lease expiry only a later agent epoch of the machine may get tasks.
#[test]
fn an_ended_agent_epoch_gets_no_tasks() {
    let mut script = ScriptedShard::empty();
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", spec("blue", 1.0, 1));
    assert_eq!(script.launches().len(), 1);
    // No heartbeat until its lease expires; a late one of that agent epoch changes nothing.
    script.advance(Duration::from_secs(28));
    script.batches();
    let late = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    script.receive(&late);
    assert!(script.launches().is_empty());
}

/// A machine may be back within a fraction of a second, with sequence numbers that begin anew. A
/// heartbeat with old numbers may be a duplicate: only the machine's own answer proves that the
/// worker has restarted, and only its deletion proves that no command lands there any more.
#[test]
fn a_worker_whose_sequence_restarts_is_probed_and_its_machine_deleted() {
    let mut script = ScriptedShard::empty();
    for _ in 0..5 {
        script.heartbeat("vm-1", Vec::new());
    }
    let mut old = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    old.sequence = 1;
    script.receive(&old);
    let probe = script.probes().remove(0);
    assert!(
        !script.machine("vm-1").is_deleting(),
        "it may be a duplicate"
    );
    // The answer of a worker that has not restarted has newer numbers.
    script.execute(&probe, Vec::new());
    assert!(!script.machine("vm-1").is_deleting());
    script.now += Duration::from_secs(3);
    script.receive(&old);
    let probe = script.probes().remove(0);
    script.answer(&probe, CommandOutcome::Refused(old));
    assert!(script.machine("vm-1").is_deleting());
}

/// Found by the simulation with duplicated heartbeats: the first heartbeat from a machine was a
/// duplicate of an earlier agent epoch. The new agent epoch then counted as the end of all that
/// might run there, but an earlier leader had started work in it.
#[test]
fn a_new_agent_epoch_does_not_reconcile_what_an_earlier_leader_started_in_it() {
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
    let mut real = script.heartbeat_of("vm-1", TOKEN - 1, Vec::new());
    real.agent_epoch = 2;
    script.receive(&real);
    assert!(
        script.launches().is_empty(),
        "run-1 may run in agent epoch 2"
    );
    let runs = vec![running_task("run-1/0", 7)];
    let mut token_acknowledged = script.heartbeat_of("vm-1", TOKEN, runs);
    token_acknowledged.agent_epoch = 2;
    script.shard.heartbeat(&token_acknowledged, script.now);
    script.advance(Duration::from_secs(1));
    assert!(script.launches().is_empty(), "it does run there");
}
