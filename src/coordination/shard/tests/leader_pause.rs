//! Pauses of the leader's process, during which its clocks advance. The leader keeps its lease
//! after the pause, because the key-value store was unavailable and no other controller could
//! campaign.

use std::time::Duration;

use super::fixtures::{running_task, spec};
use super::scripted_shard::{CommandBatch, ScriptedShard, TOKEN};
use super::scripted_workers::execute_batches;

const MACHINES: [&str; 6] = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"];

/// A shard whose machines are each filled by one task.
fn shard_with_full_machines() -> ScriptedShard {
    let mut script = ScriptedShard::empty();
    for id in MACHINES.iter().chain(&MACHINES) {
        script.heartbeat(id, Vec::new());
    }
    script.submit("run-1", spec("blue", 8.0, MACHINES.len() as u32));
    execute(&mut script);
    script
}

/// Executes all commands; returns the number of launches.
fn execute(script: &mut ScriptedShard) -> usize {
    let batches = execute_batches(script);
    batches.iter().map(CommandBatch::launch_count).sum()
}

/// After a pause the leader has missed heartbeats of all machines because of its own pause: it
/// deletes no machine for that, and restarts no task.
#[test]
fn a_paused_leader_counts_no_machine_as_unreachable() {
    for seconds in [3, 14, 20] {
        let mut script = shard_with_full_machines();
        script.advance(Duration::from_secs(seconds));
        // Timers that are overdue after the pause fire together.
        for _ in 0..5 {
            script.advance(Duration::from_millis(200));
        }
        assert_eq!(script.take_deletions(), 0, "after {seconds} s");
        // Probes are answered, and heartbeats arrive again one by one.
        let mut launches = execute(&mut script);
        for id in MACHINES {
            script.advance(Duration::from_millis(800));
            let heartbeat = script.running_heartbeat(id);
            script.shard.heartbeat(&heartbeat, script.now);
            launches += execute(&mut script);
        }
        assert_eq!(script.take_deletions(), 0, "after {seconds} s");
        assert_eq!(launches, 0);
        assert_eq!(script.shard.jobs()["run-1"].live().len(), MACHINES.len());
    }
}

/// After a pause longer than the leases, tasks may have been restarted on other machines. A task
/// that a machine still lists from before the pause is stopped or counted, and never runs twice.
#[test]
fn after_a_pause_longer_than_the_leases_an_ended_agent_epoch_gets_no_tasks() {
    let mut script = shard_with_full_machines();
    let statuses: Vec<_> = MACHINES
        .iter()
        .map(|id| {
            let attempts = &script.machine(id).attempts;
            let (attempt, _) = attempts.first_key_value().expect("a task");
            let task = attempt.task.to_string();
            running_task(&task, attempt.number)
        })
        .collect();
    script.advance(Duration::from_secs(40));
    script.take_batches();
    // All workers but one begin new agent epochs. A delegate has answered that one, which goes on
    // in its old agent epoch; the leader counts that epoch as ended and gives it no more tasks.
    for id in &MACHINES[1..] {
        let mut heartbeat = script.heartbeat_of(id, TOKEN, Vec::new());
        heartbeat.agent_epoch = 2;
        script.shard.heartbeat(&heartbeat, script.now);
    }
    let late = script.heartbeat_of(MACHINES[0], TOKEN, vec![statuses[0].clone()]);
    script.receive(&late);
    let launches = script.take_launches();
    assert!(launches.iter().all(|batch| *batch.machine != *MACHINES[0]));
}
