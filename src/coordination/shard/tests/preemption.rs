//! Preemption of tasks by tasks of higher priority.

use std::time::Duration;

use super::fixtures::{roster_machine, spec};
use super::scripted_shard::{ScriptedShard, TOKEN, count_stops};
use super::scripted_workers::execute_commands;
use crate::coordination::shard::RecoveredState;
use crate::protocol::users::{JobKind, JobSpec, Priority};
use crate::protocol::workers::Command;

/// Found by the simulation: a task that was placed and then preempted before its launch was sent
/// kept its capacity allocated forever.
#[test]
fn a_preempted_launch_that_was_never_sent_is_withdrawn() {
    let mut script = ScriptedShard::new(RecoveredState {
        roster: vec![roster_machine("vm-1")],
        ..RecoveredState::default()
    });
    // Launches on vm-1 wait until its probe is answered.
    let probe = script.take_batches().remove(0);
    let heartbeat = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    script.receive(&heartbeat);
    script.submit("run-1", spec("blue", 8.0, 1));
    assert!(script.take_launches().is_empty());
    let mut higher_priority = spec("blue", 8.0, 1);
    higher_priority.priority = Priority::Prod;
    script.submit("run-2", higher_priority);
    script.execute(&probe, Vec::new());
    let batches = script.take_launches();
    assert_eq!(batches.len(), 1);
    assert!(matches!(
        &batches[0].commands[..],
        [Command::Launch { task, .. }] if &*task.job == "run-2"
    ));
}

/// Found in a burst of jobs: each scheduling pass counted a single task that was being stopped as
/// capacity for all waiting tasks, so that a thousand cores were preempted one at a time.
#[test]
fn capacity_is_preempted_for_all_waiting_tasks() {
    let mut script = ScriptedShard::empty();
    script.heartbeat("vm-1", Vec::new());
    let lower_priority = JobSpec {
        priority: Priority::BestEffort,
        ..spec("blue", 1.0, 8)
    };
    script.submit("run-1", lower_priority);
    execute_commands(&mut script, "vm-1");
    script.submit("run-2", spec("blue", 1.0, 5));
    assert_eq!(count_stops(&execute_commands(&mut script, "vm-1")), 5);
    script.advance(Duration::from_millis(300));
    assert_eq!(
        count_stops(&execute_commands(&mut script, "vm-1")),
        0,
        "capacity is already being freed for all waiting tasks"
    );
}

/// Found in a burst of jobs: machines that were rented for batch jobs could not be deleted for
/// minutes, because one service replica had been placed on each of them. A service therefore
/// preempts tasks on a machine that already runs services, even if another machine has free
/// capacity.
#[test]
fn services_preempt_lower_priority_work_on_machines_with_services() {
    let mut script = ScriptedShard::without_quotas();
    let service = |tasks| JobSpec {
        kind: JobKind::Service,
        priority: Priority::Prod,
        duration_s: 0.0,
        ..spec("red", 1.0, tasks)
    };
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", service(1));
    execute_commands(&mut script, "vm-1");
    script.submit("run-2", spec("blue", 1.0, 7));
    execute_commands(&mut script, "vm-1");
    assert!(script.machine("vm-1").load.tasks.len() == 2, "vm-1 is full");
    // Another machine has free capacity, but no services.
    script.heartbeat("vm-2", Vec::new());
    script.advance(Duration::from_secs(1));
    script.submit("run-3", service(1));
    assert_eq!(count_stops(&execute_commands(&mut script, "vm-1")), 1);
    assert!(script.machine("vm-2").load.is_idle());
}
