//! Tasks of cancelled jobs: every answer that renews a worker's lease stops those that the worker
//! lists, whichever leader gives it.

use std::time::Duration;

use super::fixtures::{CANCELLATION_BOUND, policy, recovered_job, roster_machine, running_task};
use super::scripted_shard::{ScriptedShard, TOKEN, count_stops};
use crate::coordination::shard::{HeartbeatOutcome, RecoveredState};
use crate::protocol::workers::WorkerHeartbeat;

/// The attempt number of a launch by an earlier leader.
const EARLIER_ATTEMPT: u64 = 9;

/// Delivers a heartbeat whose answer renews the lease; returns the number of stops in it.
fn stops_in_answer(script: &mut ScriptedShard, heartbeat: &WorkerHeartbeat) -> usize {
    match script.shard.heartbeat(heartbeat, script.now) {
        HeartbeatOutcome::Renew(renewal) => count_stops(renewal.commands()),
        outcome => panic!("the lease is not renewed: {outcome:?}"),
    }
}

/// Guards against `ran_cancelled`: each leader of a series renewed the lease of a worker that had
/// not seen its fencing token, and stopped nothing.
#[test]
fn leaders_in_series_do_not_keep_a_cancelled_task_running() {
    let time_between_leaders = Duration::from_secs(10);
    let mut elapsed = Duration::ZERO;
    let mut token_seen = TOKEN - 1;
    let mut is_stopped = false;
    while elapsed < CANCELLATION_BOUND && !is_stopped {
        // The job is not among the unfinished ones: its cancellation was confirmed before.
        let recovered = RecoveredState {
            roster: vec![roster_machine("vm-1")],
            ..RecoveredState::default()
        };
        let mut script = ScriptedShard::recover(policy(), token_seen + 1, recovered);
        let tasks = vec![running_task("run-1/0", EARLIER_ATTEMPT)];
        let heartbeat = script.heartbeat_of("vm-1", token_seen, tasks);
        is_stopped = stops_in_answer(&mut script, &heartbeat) > 0;
        token_seen += 1;
        elapsed += time_between_leaders;
    }
    assert!(is_stopped, "its lease was renewed for {elapsed:?}");
}

/// Guards against `ran_cancelled`: the answer to a heartbeat that a command's answer had overtaken
/// renewed the lease and held no commands.
#[test]
fn an_overtaken_heartbeat_is_answered_with_the_stops_of_cancelled_jobs() {
    let mut script = ScriptedShard::new(recovered_job(1, &["vm-1"]));
    let probe = script.take_batches().remove(0);
    let task = running_task("run-1/0", EARLIER_ATTEMPT);
    let overtaken = script.heartbeat_of("vm-1", TOKEN, vec![task.clone()]);
    script.execute(&probe, vec![task]);
    script.shard.job_finished("run-1", None);
    assert_eq!(stops_in_answer(&mut script, &overtaken), 1);
}

/// An older token or an overtaken heartbeat is no reason to stop a task whose job is open.
#[test]
fn tasks_of_open_jobs_are_not_stopped_by_a_new_leaders_first_answer() {
    let mut script = ScriptedShard::new(recovered_job(1, &["vm-1"]));
    let tasks = vec![running_task("run-1/0", EARLIER_ATTEMPT)];
    let heartbeat = script.heartbeat_of("vm-1", TOKEN - 1, tasks.clone());
    assert_eq!(stops_in_answer(&mut script, &heartbeat), 0);
    let heartbeat = script.heartbeat_of("vm-1", TOKEN, tasks);
    assert_eq!(stops_in_answer(&mut script, &heartbeat), 0);
}
