//! Scale-in of idle machines, also those held for a quota.

use std::time::Duration;

use super::fixtures::{policy, spec};
use super::scripted_shard::ScriptedShard;
use super::scripted_workers::run_commands;
use crate::coordination::shard::{Action, Policy, RecoveredState};
use crate::protocol::users::{JobSpec, JobStage};

/// Lets time pass, in which the machine sends heartbeats without tasks.
fn idle_for(script: &mut ScriptedShard, seconds: u64) {
    for _ in 0..seconds {
        script.advance(Duration::from_secs(1));
        if !script.machine("vm-1").is_deleting() {
            script.heartbeat("vm-1", Vec::new());
        }
    }
}

/// A team with a quota of 8 cores, and a machine that has run a job of it.
fn after_job(job: JobSpec) -> ScriptedShard {
    let policy = Policy {
        advance_delegation: Duration::ZERO,
        ..policy()
    };
    let mut script = ScriptedShard::with_policy(policy, RecoveredState::default());
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", job);
    run_commands(&mut script, "vm-1");
    for _ in 0..60 {
        script.advance(Duration::from_secs(1));
        let heartbeat = script.running_heartbeat("vm-1");
        script.shard.heartbeat(&heartbeat, script.now);
    }
    assert_eq!(script.deletions(), 0, "it has tasks");
    script
        .shard
        .job_finished("run-1", Some(JobStage::Cancelled));
    script.heartbeat("vm-1", Vec::new());
    script
}

/// Found by users: machines held for an unused quota stayed rented for ever.
#[test]
fn quota_capacity_is_scaled_in_some_time_after_the_last_job() {
    let mut script = after_job(spec("red", 1.0, 1));
    idle_for(&mut script, 25);
    assert_eq!(script.deletions(), 0, "it had tasks lately");
    idle_for(&mut script, 10);
    assert_eq!(script.deletions(), 1);
}

/// With the first job, capacity for the whole quota is rented again.
#[test]
fn quota_capacity_is_scaled_out_again_with_work() {
    let mut script = after_job(spec("red", 1.0, 1));
    idle_for(&mut script, 40);
    assert_eq!(script.deletions(), 1);
    script.actions.clear();
    script.submit("run-2", spec("red", 1.0, 1));
    script.advance(Duration::from_secs(1));
    // One for the job, which may use a spot machine, and one for the quota.
    let ordinary = |action: &&Action| matches!(action, Action::Rent(rental) if !rental.spot);
    assert_eq!(script.actions.iter().filter(ordinary).count(), 1);
}

/// Capacity for expected jobs of a class is held only while some come.
#[test]
fn capacity_for_a_job_class_is_scaled_in_when_no_job_of_it_comes() {
    let mut script = ScriptedShard::without_quotas();
    let class = spec("red", 1.0, 1).class;
    script.shard.policy.start_objectives = [(class, Duration::from_secs(1))].into();
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", spec("red", 1.0, 1));
    run_commands(&mut script, "vm-1");
    script
        .shard
        .job_finished("run-1", Some(JobStage::Cancelled));
    idle_for(&mut script, 100);
    assert_eq!(script.deletions(), 0, "one came less than two minutes ago");
    idle_for(&mut script, 40);
    assert_eq!(script.deletions(), 1);
}
