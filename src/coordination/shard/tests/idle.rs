//! Machines with nothing to do go back, whatever is guaranteed.

use std::time::Duration;

use super::fixtures::{policy, spec};
use super::script::{Script, obey};
use crate::coordination::shard::{Action, Policy, RecoveredState};
use crate::protocol::users::{JobSpec, Stage};

fn deletions(script: &mut Script) -> usize {
    let all = script.actions.len();
    script.actions.retain(|a| !matches!(a, Action::Delete(_)));
    all - script.actions.len()
}

/// Time passes, in which the machine heartbeats that nothing is on it.
fn idle_for(script: &mut Script, seconds: u64) {
    for _ in 0..seconds {
        script.pass(Duration::from_secs(1));
        if !script.machine("vm-1").deleting {
            script.heartbeat("vm-1", Vec::new());
        }
    }
}

/// A team that is guaranteed 8 cores, and a machine that ran a job of it.
fn after_a_job(job: JobSpec) -> Script {
    let policy = Policy {
        advance_delegation: Duration::ZERO,
        ..policy()
    };
    let mut script = Script::under(policy, RecoveredState::default());
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", job);
    obey(&mut script, "vm-1");
    for _ in 0..60 {
        script.pass(Duration::from_secs(1));
        let heartbeat = script.running("vm-1");
        script.shard.heartbeat(&heartbeat, script.now);
    }
    assert_eq!(deletions(&mut script), 0, "it has work");
    script.shard.job_finished("run-1", Some(Stage::Cancelled));
    script.heartbeat("vm-1", Vec::new());
    script
}

/// Found by the users: machines held for an unused guarantee stayed rented for ever.
#[test]
fn room_for_a_guarantee_goes_back_some_time_after_the_last_job() {
    let mut script = after_a_job(spec("red", 1.0, 1));
    idle_for(&mut script, 25);
    assert_eq!(deletions(&mut script), 0, "it had work lately");
    idle_for(&mut script, 10);
    assert_eq!(deletions(&mut script), 1);
}

/// With work comes its room, all of it.
#[test]
fn room_for_a_guarantee_comes_back_with_work() {
    let mut script = after_a_job(spec("red", 1.0, 1));
    idle_for(&mut script, 40);
    assert_eq!(deletions(&mut script), 1);
    script.actions.clear();
    script.submit("run-2", spec("red", 1.0, 1));
    script.pass(Duration::from_secs(1));
    // One for the job, which may use a spot machine, and one for the guarantee.
    let ordinary = |action: &&Action| matches!(action, Action::Rent(rental) if !rental.spot);
    assert_eq!(script.actions.iter().filter(ordinary).count(), 1);
}

/// Room for jobs that are likely to come is held only while some come.
#[test]
fn room_for_a_class_goes_back_when_none_of_it_comes_any_more() {
    let mut script = Script::without_guarantees();
    let class = spec("red", 1.0, 1).class;
    script.shard.policy.wait_within = [(class, Duration::from_secs(1))].into();
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", spec("red", 1.0, 1));
    obey(&mut script, "vm-1");
    script.shard.job_finished("run-1", Some(Stage::Cancelled));
    idle_for(&mut script, 100);
    assert_eq!(
        deletions(&mut script),
        0,
        "one came less than two minutes ago"
    );
    idle_for(&mut script, 40);
    assert_eq!(deletions(&mut script), 1);
}
