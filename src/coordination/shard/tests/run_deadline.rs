//! A leader past its run deadline, since its knowledge of cancellations is too old: it starts no
//! tasks, renews no worker's lease, and stops nothing that it could not start again.

use std::time::Duration;

use super::fixtures::{distant_run_deadline, running_task, spec};
use super::scripted_shard::{ScriptedShard, TOKEN, count_stops, launched_attempt};
use super::scripted_workers::execute_commands;
use crate::coordination::shard::{CommandOutcome, HeartbeatOutcome};
use crate::coordination::worker_leases::run_permit::RunDeadline;
use crate::protocol::users::{JobSpec, Priority};
use crate::protocol::workers::{AttemptOutcome, Command, TaskState};

/// The run deadline passes.
fn suspend(script: &mut ScriptedShard) {
    script.shard.set_run_deadline(RunDeadline::default());
}

fn resume(script: &mut ScriptedShard) {
    let run_deadline = distant_run_deadline(script.now);
    script.shard.set_run_deadline(run_deadline);
}

fn tick(script: &mut ScriptedShard) {
    script.advance(Duration::from_millis(300));
}

/// Guards against `ran_cancelled`: the leader launched a task of a cancelled job anew after it had
/// let the worker's lease end.
#[test]
fn a_lost_task_is_not_started_again_past_the_run_deadline() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1"]);
    script.submit("run-1", spec("blue", 1.0, 1));
    execute_commands(&mut script, "vm-1");
    suspend(&mut script);
    let heartbeat = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    script.receive(&heartbeat);
    for _ in 0..5 {
        tick(&mut script);
        assert!(script.take_launches().is_empty());
    }
    resume(&mut script);
    tick(&mut script);
    assert_eq!(script.take_launches().len(), 1);
}

/// A launch that was decided before the run deadline and could not be sent yet is not sent after
/// it, and a stop of another attempt on the same machine is.
#[test]
fn a_launch_that_was_not_sent_in_time_waits_while_stops_are_sent() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1"]);
    script.submit("run-1", spec("blue", 1.0, 1));
    let launch_of_first = script.take_launches().remove(0);
    // The machine gets no other batch until this one is answered.
    script.submit("run-2", spec("blue", 1.0, 1));
    suspend(&mut script);
    script.shard.job_finished("run-1", None);
    let attempt_number = launched_attempt(&launch_of_first.commands);
    script.execute(
        &launch_of_first,
        vec![running_task("run-1/0", attempt_number)],
    );
    let batches = script.take_batches();
    let sent: Vec<&Command> = batches.iter().flat_map(|batch| &batch.commands).collect();
    assert!(
        matches!(sent[..], [Command::Stop { task, .. }] if &*task.job == "run-1"),
        "{sent:?}"
    );
    script.execute(&batches[0], Vec::new());
    tick(&mut script);
    assert!(script.take_batches().is_empty());
    resume(&mut script);
    tick(&mut script);
    assert_eq!(script.take_launches().len(), 1);
}

/// An answer to a heartbeat would repeat a launch that got no answer.
#[test]
fn a_heartbeat_past_the_run_deadline_renews_no_lease_and_repeats_no_launch() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1"]);
    script.submit("run-1", spec("blue", 1.0, 1));
    let batch = script.take_launches().remove(0);
    script.answer(&batch, CommandOutcome::NoAnswer);
    let lease_expires_at = script.machine("vm-1").lease.expires_at();
    script.now += Duration::from_secs(1);
    suspend(&mut script);
    let heartbeat = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    let outcome = script.shard.heartbeat(&heartbeat, script.now);
    assert_eq!(outcome, HeartbeatOutcome::Withhold);
    assert_eq!(script.machine("vm-1").lease.expires_at(), lease_expires_at);
    resume(&mut script);
    let commands = script.heartbeat("vm-1", Vec::new());
    assert_eq!(
        launched_attempt(&commands),
        launched_attempt(&batch.commands)
    );
}

/// A task that is stopped for another one would leave its machine empty.
#[test]
fn nothing_is_preempted_past_the_run_deadline() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1"]);
    let lower_priority = JobSpec {
        priority: Priority::BestEffort,
        ..spec("blue", 1.0, 8)
    };
    script.submit("run-1", lower_priority);
    execute_commands(&mut script, "vm-1");
    suspend(&mut script);
    script.submit("run-2", spec("blue", 1.0, 5));
    tick(&mut script);
    assert_eq!(count_stops(&execute_commands(&mut script, "vm-1")), 0);
    resume(&mut script);
    tick(&mut script);
    assert_eq!(count_stops(&execute_commands(&mut script, "vm-1")), 5);
}

/// The tasks of a slow machine are stopped so that they start on other machines.
#[test]
fn a_slow_machine_is_emptied_only_before_the_run_deadline() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1", "vm-2"]);
    // Five tasks go to each machine; those of vm-1 end soon.
    script.submit("run-1", spec("blue", 1.0, 10));
    assert_eq!(script.execute_launches().len(), 10);
    for id in ["vm-1", "vm-2"] {
        script.report_all_in_state(id, TaskState::Running);
    }
    script.now += Duration::from_secs(5);
    script.report_all_ended("vm-1", AttemptOutcome::Done);
    suspend(&mut script);
    let count_stops_on_slow_machine = |script: &mut ScriptedShard| {
        for _ in 0..20 {
            script.now += Duration::from_secs(1);
            script.report_all_ended("vm-1", AttemptOutcome::Done);
            script.report_all_in_state("vm-2", TaskState::Running);
            script.advance(Duration::ZERO);
        }
        let batches = script.take_batches();
        let to_slow = batches.iter().filter(|batch| &*batch.machine == "vm-2");
        to_slow
            .map(|batch| count_stops(&batch.commands))
            .sum::<usize>()
    };
    assert_eq!(count_stops_on_slow_machine(&mut script), 0);
    resume(&mut script);
    assert_eq!(count_stops_on_slow_machine(&mut script), 5);
}

/// The leader withholds the answers itself, so it must not take the machine for one that it can't
/// hear, and delete it.
#[test]
fn machines_whose_renewals_are_withheld_are_not_declared_dead() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1", "vm-2", "vm-3"]);
    script.submit("run-1", spec("blue", 8.0, 3));
    for id in ["vm-1", "vm-2", "vm-3"] {
        execute_commands(&mut script, id);
    }
    suspend(&mut script);
    for _ in 0..90 {
        script.advance(Duration::from_secs(1));
        for id in ["vm-1", "vm-2", "vm-3"] {
            let heartbeat = script.running_heartbeat(id);
            script.receive(&heartbeat);
        }
        assert_eq!(script.take_deletions(), 0);
    }
}
