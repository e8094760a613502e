//! Lease renewals by other controllers, on behalf of the leader or in advance.

use std::time::Duration;

use super::fixtures::{
    ADVANCE_DELEGATION, ended_task, record, recovered_job, roster_machine, running_task, spec,
};
use super::scripted_shard::{ScriptedShard, TOKEN};
use crate::coordination::shard::{RecoveredState, UnfinishedJob, delegate_commands};
use crate::protocol::TaskId;
use crate::protocol::workers::{AttemptOutcome, Command};

/// Found in a full-size run: a network partition between zones ended half of all replicas.
#[test]
fn a_lease_does_not_expire_while_a_delegate_may_renew_it() {
    let mut script = ScriptedShard::empty();
    // The other machine is held, for a task that may start again there.
    script.shard.policy.quota_hold = Duration::from_secs(3600);
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", spec("blue", 1.0, 1));
    let batch = script.launches().remove(0);
    let Command::Launch { task, attempt } = batch.commands[0].clone() else {
        panic!("not a launch");
    };
    let runs = vec![running_task(&task.to_string(), attempt)];
    script.execute(&batch, runs.clone());
    script.heartbeat("vm-1", runs);
    script.shard.grant_delegation("beta", script.now);
    script.reconcile();
    advance_with_heartbeats_of(&mut script, "vm-2", 120);
    assert!(script.launches().is_empty(), "it may still run there");
    assert!(!script.machine("vm-1").is_deleting());
    // The revocation is written at once here. The delegate may answer a little longer, and
    // the worker's lease runs from its last answer.
    script.shard.revoke_delegation("beta");
    script.reconcile();
    for _ in 0..26 {
        advance_with_heartbeats_of(&mut script, "vm-2", 1);
        let at_once = script.machine("vm-1").is_deleting();
        assert!(script.launches().is_empty() || at_once);
    }
    assert_eq!(
        script.machine("vm-1").epochs.ended(),
        0,
        "its lease may not have expired"
    );
    advance_with_heartbeats_of(&mut script, "vm-2", 6);
    assert!(script.machine("vm-1").epochs.ended() > 0);
    assert_eq!(script.launches().len(), 1, "it starts again elsewhere");
}

/// A new leader that is partitioned from machines: the inventory that their delegate wrote
/// reconciles them, so that lost work elsewhere starts again while their tasks run on.
#[test]
fn a_delegates_inventory_reconciles_machines_without_opening_them() {
    let mut script = ScriptedShard::new(RecoveredState {
        jobs: vec![UnfinishedJob::new(
            "run-1",
            TOKEN - 1,
            record(spec("blue", 1.0, 2)),
        )],
        roster: vec![roster_machine("vm-1")],
        ..RecoveredState::default()
    });
    script.heartbeat("vm-2", Vec::new());
    script.shard.grant_delegation("beta", script.now);
    script.reconcile();
    assert!(script.shard.wants_inventories());
    assert!(script.launches().is_empty(), "both tasks may run on vm-1");
    let runs = vec![running_task("run-1/0", 7)];
    let older = script.heartbeat_of("vm-1", TOKEN - 1, runs.clone());
    script.shard.apply_relayed_heartbeat(&older, script.now);
    assert!(
        script.shard.wants_inventories(),
        "commands of the earlier leader may still arrive"
    );
    let heartbeat = script.heartbeat_of("vm-1", TOKEN, runs);
    script.shard.apply_relayed_heartbeat(&heartbeat, script.now);
    script.reconcile();
    assert!(!script.shard.wants_inventories());
    let launches = script.launches();
    assert_eq!(launches.len(), 1, "the task that vm-1 doesn't hold");
    assert_eq!(&*launches[0].machine, "vm-2");
    let policy = script.shard.policy.clone();
    assert!(!script.machine("vm-1").is_schedulable(script.now, &policy));
}

/// Found in a replay of `inc-92c0`: a service whose user had cancelled it ran on for as long as
/// a delegate answered its worker during a network partition.
#[test]
fn a_delegate_stops_tasks_of_finished_jobs() {
    let mut script = ScriptedShard::empty();
    let heartbeat = script.heartbeat_of(
        "vm-1",
        TOKEN,
        vec![
            running_task("run-1/0", 1),
            running_task("run-2/0", 2),
            ended_task("run-2/1", 3, AttemptOutcome::Done),
        ],
    );
    let commands = delegate_commands(&heartbeat, |job| job == "run-1");
    let stop = Command::Stop {
        task: TaskId::parse("run-2/0").expect("task id"),
        attempt: 2,
        grace_s: 0.0,
    };
    assert_eq!(commands, vec![stop]);
}

/// A zone was partitioned from everything and the leader crashed: a controller on the same side
/// may answer machines there for longer than their leases.
#[test]
fn an_advance_delegation_outlasts_the_lease_that_it_renews() {
    let mut script =
        ScriptedShard::with_advance_delegation(ADVANCE_DELEGATION, recovered_job(1, &["vm-1"]));
    let lease = script.shard.policy.worker_lease_bound();
    let start = script.now;
    let second = Duration::from_secs(1);
    let unreconciled_tasks =
        |script: &mut ScriptedShard, time: Duration, answered: Option<Duration>| {
            script.now = start + time;
            let answered = answered.map(|time| start + time);
            script.shard.note_advance_renewals(answered, script.now);
            script.advance(Duration::ZERO);
            script.shard.summary().contains("unreconciled 1")
        };
    // Under an earlier fencing token, from just before this one began.
    assert!(unreconciled_tasks(
        &mut script,
        lease + ADVANCE_DELEGATION - second,
        None
    ));
    // Under ours: someone may still be answering, or did until then.
    let later = lease + ADVANCE_DELEGATION + second;
    assert!(unreconciled_tasks(&mut script, later, Some(later)));
    assert!(unreconciled_tasks(
        &mut script,
        later + lease - second,
        Some(later)
    ));
    assert!(!unreconciled_tasks(
        &mut script,
        later + lease + second,
        Some(later)
    ));
}

/// Lets time pass in which only this machine sends heartbeats, without tasks.
fn advance_with_heartbeats_of(script: &mut ScriptedShard, id: &str, seconds: u64) {
    for _ in 0..seconds {
        script.advance(Duration::from_secs(1));
        script.heartbeat(id, Vec::new());
    }
}
