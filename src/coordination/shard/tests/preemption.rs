//! Preemption of work of lower priority.

use std::time::Duration;

use super::fixtures::{roster_machine, spec};
use super::scripted_shard::{ScriptedShard, TOKEN, stops};
use super::scripted_workers::run_commands;
use crate::coordination::shard::RecoveredState;
use crate::protocol::users::{JobKind, JobSpec, Priority};
use crate::protocol::workers::Command;

/// Found by the simulation: a task that was placed, and preempted before its launch was sent,
/// held its capacity for ever.
#[test]
fn a_preempted_launch_that_was_never_sent_is_withdrawn() {
    let mut script = ScriptedShard::new(RecoveredState {
        roster: vec![roster_machine("vm-1")],
        ..RecoveredState::default()
    });
    // The probe is under way, so that launches wait for its answer.
    let probe = script.batches().remove(0);
    let sync = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    script.receive(&sync);
    script.submit("run-1", spec("blue", 8.0, 1));
    assert!(script.launches().is_empty());
    let mut first = spec("blue", 8.0, 1);
    first.priority = Priority::Prod;
    script.submit("run-2", first);
    script.execute(&probe, Vec::new());
    let batches = script.launches();
    assert_eq!(batches.len(), 1);
    assert!(matches!(
        &batches[0].commands[..],
        [Command::Launch { task, .. }] if &*task.job == "run-2"
    ));
}

/// Found in a burst of jobs: each pass counted the one task being stopped as capacity for all
/// that waited, so that a thousand cores were preempted one by one.
#[test]
fn capacity_is_preempted_for_all_waiting_tasks() {
    let mut script = ScriptedShard::empty();
    script.heartbeat("vm-1", Vec::new());
    let lower_priority = JobSpec {
        priority: Priority::BestEffort,
        ..spec("blue", 1.0, 8)
    };
    script.submit("run-1", lower_priority);
    run_commands(&mut script, "vm-1");
    script.submit("run-2", spec("blue", 1.0, 5));
    assert_eq!(stops(&run_commands(&mut script, "vm-1")), 5);
    script.advance(Duration::from_millis(300));
    assert_eq!(
        stops(&run_commands(&mut script, "vm-1")),
        0,
        "capacity is being freed for all"
    );
}

/// Found in a burst of jobs: machines rented for batch work could not be deleted for minutes,
/// because of one service replica each that was placed there meanwhile.
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
    run_commands(&mut script, "vm-1");
    script.submit("run-2", spec("blue", 1.0, 7));
    run_commands(&mut script, "vm-1");
    assert!(script.machine("vm-1").load.tasks.len() == 2, "full");
    // Another machine has free capacity, but no services.
    script.heartbeat("vm-2", Vec::new());
    script.advance(Duration::from_secs(1));
    script.submit("run-3", service(1));
    assert_eq!(stops(&run_commands(&mut script, "vm-1")), 1);
    assert!(script.machine("vm-2").load.is_idle());
}
