//! The leader stands still while its clocks run on, and keeps its lease: the key-value store
//! was out, and all others left the shard alone.

use crate::protocol::AttemptId;
use std::time::Duration;

use super::fixtures::spec;
use super::script::{Script, listed};
use crate::coordination::shard::{Action, CommandOutcome, RecoveredState};
use crate::protocol::workers::{Command, TaskState};

const MACHINES: [&str; 6] = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"];

/// Machines each of which runs a task that fills it.
fn busy() -> Script {
    let mut script = Script::new(RecoveredState::default());
    for id in MACHINES.iter().chain(&MACHINES) {
        script.heartbeat(id, Vec::new());
    }
    script.submit("run-1", spec("blue", 8.0, MACHINES.len() as u32));
    execute(&mut script);
    script
}

/// All commands are executed and answered; returns how many were launches.
fn execute(script: &mut Script) -> usize {
    let mut launches = 0;
    for batch in script.batches() {
        let launch = |command: &&Command| matches!(command, Command::Launch { .. });
        launches += batch.2.iter().filter(launch).count();
        let heartbeat = script.running(&batch.0);
        script.answered(&batch, CommandOutcome::Executed(heartbeat));
    }
    launches
}

fn deletions(script: &Script) -> usize {
    let deletion = |action: &&Action| matches!(action, Action::Delete(_));
    script.actions.iter().filter(deletion).count()
}

/// It was the controller that slept, not the machines: none is given back for its silence,
/// and none of their tasks starts anew.
#[test]
fn a_leader_that_stood_still_takes_no_machine_for_silent() {
    for seconds in [3, 14, 20] {
        let mut script = busy();
        script.pass(Duration::from_secs(seconds));
        // Late timers all fire together.
        for _ in 0..5 {
            script.pass(Duration::from_millis(200));
        }
        assert_eq!(deletions(&script), 0, "after {seconds} s");
        // Probes are answered, and heartbeats come again one by one.
        let mut launches = execute(&mut script);
        for id in MACHINES {
            script.pass(Duration::from_millis(800));
            let heartbeat = script.running(id);
            script.shard.heartbeat(&heartbeat, script.now);
            launches += execute(&mut script);
        }
        assert_eq!(deletions(&script), 0, "after {seconds} s");
        assert_eq!(launches, 0);
        assert_eq!(script.shard.jobs()["run-1"].live().len(), MACHINES.len());
    }
}

/// After longer than the workers' lease, tasks may start elsewhere: what a machine still
/// lists from before is stopped there or counted, and never runs a second time.
#[test]
fn after_longer_than_the_leases_what_still_runs_is_counted_once() {
    let mut script = busy();
    let lines: Vec<_> = MACHINES
        .iter()
        .map(|id| {
            let attempts = &script.machine(id).attempts;
            let (
                AttemptId {
                    task,
                    number: attempt_number,
                },
                _,
            ) = attempts.first_key_value().expect("a task");
            listed(&task.to_string(), *attempt_number, TaskState::Running, None)
        })
        .collect();
    script.pass(Duration::from_secs(40));
    script.batches();
    // Their workers began anew, all but one that another controller had answered: its
    // agent epoch is taken for over, and gets no more work.
    for id in &MACHINES[1..] {
        let mut heartbeat = script.heartbeat_of(id, super::script::TOKEN, Vec::new());
        heartbeat.agent_epoch = 2;
        script.shard.heartbeat(&heartbeat, script.now);
    }
    let late = script.heartbeat_of(MACHINES[0], super::script::TOKEN, vec![lines[0].clone()]);
    script.shard.heartbeat(&late, script.now);
    script.reconcile();
    let launched = script.launches();
    assert!(
        launched
            .iter()
            .all(|(machine, ..)| **machine != *MACHINES[0])
    );
}
