//! Tests of the scale-in of idle machines, including those that are kept for a quota.

use std::time::Duration;

use super::fixtures::{policy, spec};
use super::scripted_shard::ScriptedShard;
use super::scripted_workers::execute_commands;
use crate::coordination::shard::{Action, Policy, RecoveredState};
use crate::protocol::users::{JobSpec, JobStage};

/// Lets time pass. Each second vm-1 sends a heartbeat without tasks, unless it is being deleted.
fn idle_for(script: &mut ScriptedShard, seconds: u64) {
    for _ in 0..seconds {
        script.advance(Duration::from_secs(1));
        if !script.machine("vm-1").is_deleting() {
            script.heartbeat("vm-1", Vec::new());
        }
    }
}

/// A shard in which vm-1 has run a job of a team with a quota of 8 cores, and the job has ended.
fn script_after_job(job: JobSpec) -> ScriptedShard {
    let policy = Policy {
        advance_delegation: Duration::ZERO,
        ..policy()
    };
    let mut script = ScriptedShard::with_policy(policy, RecoveredState::default());
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", job);
    execute_commands(&mut script, "vm-1");
    for _ in 0..60 {
        script.advance(Duration::from_secs(1));
        let heartbeat = script.running_heartbeat("vm-1");
        script.shard.heartbeat(&heartbeat, script.now);
    }
    assert_eq!(script.take_deletions(), 0, "the machine has tasks");
    script
        .shard
        .job_finished("run-1", Some(JobStage::Cancelled));
    script.heartbeat("vm-1", Vec::new());
    script
}

/// Found by users: machines that were kept for an unused quota stayed rented forever.
#[test]
fn quota_capacity_is_scaled_in_some_time_after_the_last_job() {
    let mut script = script_after_job(spec("red", 1.0, 1));
    idle_for(&mut script, 25);
    assert_eq!(script.take_deletions(), 0, "the machine had tasks recently");
    idle_for(&mut script, 10);
    assert_eq!(script.take_deletions(), 1);
}

/// As soon as a team has a job again, capacity for its whole quota is rented again.
#[test]
fn quota_capacity_is_scaled_out_again_with_the_next_job() {
    let mut script = script_after_job(spec("red", 1.0, 1));
    idle_for(&mut script, 40);
    assert_eq!(script.take_deletions(), 1);
    script.actions.clear();
    script.submit("run-2", spec("red", 1.0, 1));
    script.advance(Duration::from_secs(1));
    // One machine is rented for the job, which may use a spot machine, and one for the quota.
    let is_on_demand_rental =
        |action: &&Action| matches!(action, Action::Rent(rental) if !rental.spot);
    assert_eq!(script.actions.iter().filter(is_on_demand_rental).count(), 1);
}

/// Capacity for expected jobs of a class is kept only while jobs of that class arrive.
#[test]
fn capacity_for_a_job_class_is_scaled_in_when_no_job_of_it_arrives() {
    let mut script = ScriptedShard::without_quotas();
    let class = spec("red", 1.0, 1).class;
    script.shard.policy.start_objectives = [(class, Duration::from_secs(1))].into();
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", spec("red", 1.0, 1));
    execute_commands(&mut script, "vm-1");
    script
        .shard
        .job_finished("run-1", Some(JobStage::Cancelled));
    idle_for(&mut script, 100);
    assert_eq!(
        script.take_deletions(),
        0,
        "a job of the class arrived less than two minutes ago"
    );
    idle_for(&mut script, 40);
    assert_eq!(script.take_deletions(), 1);
}
