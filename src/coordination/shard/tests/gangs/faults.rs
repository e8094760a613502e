//! Tests of gangs under network partitions, hanging machines and late messages.

use std::time::Duration;

use super::super::scripted_shard::ScriptedShard;
use super::{gang, run_gang_of_two, seconds};
use crate::coordination::shard::{Action, CommandOutcome};
use crate::protocol::users::{JobSpec, JobStage};
use crate::protocol::workers::{AttemptOutcome, TaskState};

/// A gang uses its team's whole quota limit. Its next attempt starts only when no task of the last
/// attempt can still run, not even on an unreachable machine.
#[test]
fn a_gang_as_large_as_its_quota_limit_restarts_only_when_all_its_tasks_have_ended() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1", "vm-2", "vm-3", "vm-4"]);
    let quota_sized = JobSpec {
        team: "red".into(),
        ..gang(2, 8.0)
    };
    script.submit("run-1", quota_sized);
    let first = script.execute_launches();
    assert_eq!(first.len(), 2, "16 of 16 cores");
    let hosts: Vec<String> = first.iter().map(|launch| launch.machine.clone()).collect();
    for id in &hosts {
        script.report_all_in_state(id, TaskState::Running);
    }
    script.report_all_ended(&hosts[0], AttemptOutcome::Error);
    for _ in 0..3 {
        script.advance(seconds(1));
        assert_eq!(script.execute_launches(), [], "one task may still run");
    }
    script.report_all_ended(&hosts[1], AttemptOutcome::GangPeerLost);
    script.advance(seconds(1));
    let next = script.execute_launches();
    assert_eq!(next.len(), 2);
    assert!(next.iter().all(|launch| launch.attempt != first[0].attempt));
}

/// While a zone is partitioned, a scattered gang is not concentrated in the other zone, and a gang
/// that is bound to the partitioned zone is not started elsewhere.
#[test]
fn a_partitioned_zone_neither_concentrates_a_scattered_gang_nor_moves_a_bound_one() {
    let mut script = ScriptedShard::empty();
    script.add_machines(&["vm-1", "vm-2"]);
    script.add_machine("vm-3", "south");
    let bound = JobSpec {
        one_zone: true,
        zone: Some("south".into()),
        ..gang(1, 8.0)
    };
    script.submit("run-1", bound);
    assert_eq!(script.execute_launches().len(), 1);
    script.report_all_in_state("vm-3", TaskState::Running);
    script
        .shard
        .set_partitioned_zones(["south".to_owned()].into());
    let scattered = JobSpec {
        scatter: true,
        ..gang(4, 4.0)
    };
    script.submit("run-2", scattered);
    for _ in 0..10 {
        script.advance(seconds(1));
        for id in ["vm-1", "vm-2"] {
            let heartbeat = script.recorded_heartbeat(id);
            script.shard.heartbeat(&heartbeat, script.now);
        }
        let started = script.execute_launches();
        assert_eq!(started, [], "half of the gang must run in the south");
    }
    let live = script.shard.jobs()["run-1"].live().len();
    assert_eq!(live, 1, "the task may still run in the partitioned zone");
    // The partition ends, and each zone has capacity for half of the scattered gang.
    script.shard.set_partitioned_zones([].into());
    script
        .shard
        .job_finished("run-1", Some(JobStage::Cancelled));
    script.report_all_ended("vm-3", AttemptOutcome::Stopped);
    script.advance(seconds(1));
    let mut started: Vec<String> = script
        .execute_launches()
        .into_iter()
        .map(|launch| launch.machine)
        .collect();
    started.sort();
    assert_eq!(started.len(), 4);
    assert_eq!(started[2..], ["vm-3", "vm-3"]);
}

/// A late duplicate of a heartbeat lists the tasks of an earlier attempt. It neither revives that
/// attempt nor stops the current one.
#[test]
fn a_late_heartbeat_of_an_earlier_attempt_changes_nothing() {
    for (state, outcome) in [
        (TaskState::Waiting, None),
        (TaskState::Ended, Some(AttemptOutcome::GangPeerLost)),
        (TaskState::Ended, Some(AttemptOutcome::GangIncomplete)),
    ] {
        let mut script = ScriptedShard::empty();
        let (host, other) = run_gang_of_two(&mut script);
        let late_heartbeat = script.heartbeat_with_all(&host, state, outcome);
        // The first attempt ends, and the second one runs.
        for id in [&host, &other] {
            script.report_all_ended(id, AttemptOutcome::GangPeerLost);
        }
        script.advance(seconds(4));
        let attempt_number = script.execute_launches()[0].attempt;
        for id in ["vm-1", "vm-2"] {
            script.report_all_in_state(id, TaskState::Running);
        }
        script.execute_launches();
        script.shard.heartbeat(&late_heartbeat, script.now);
        script.advance(seconds(1));
        assert_eq!(script.execute_launches(), []);
        assert_eq!(script.execute_stops(), []);
        let job = &script.shard.jobs()["run-1"];
        assert_eq!(
            (job.gang.attempt_number, job.live().len()),
            (attempt_number, 2)
        );
    }
}

/// A gang completes while its user cancels it. The outcome that is written first holds, and no task
/// of the gang is started again.
#[test]
fn a_gang_cancelled_as_it_completes_is_not_started_again() {
    let mut script = ScriptedShard::empty();
    let (done, other) = run_gang_of_two(&mut script);
    script.report_all_ended(&done, AttemptOutcome::Done);
    let is_finish = |action: &Action| matches!(action, Action::Finish { .. });
    assert!(script.actions.iter().any(is_finish));
    script
        .shard
        .job_finished("run-1", Some(JobStage::Cancelled));
    script.advance(seconds(1));
    assert_eq!(script.execute_launches(), []);
    script.report_all_ended(&other, AttemptOutcome::Done);
    script.advance(seconds(1));
    assert_eq!(script.execute_launches(), []);
    assert!(
        !script.shard.jobs().contains_key("run-1"),
        "the shard has forgotten the job"
    );
}

/// A machine that runs one task of a gang hangs, and the other task notices and exits. The task on
/// the hanging machine may continue at any time, so no other attempt starts; when the task
/// continues, it is stopped.
#[test]
fn a_gang_with_a_task_on_a_hanging_machine_is_not_restarted() {
    let mut script = ScriptedShard::empty();
    let (hanging, other) = run_gang_of_two(&mut script);
    script.add_machines(&["vm-3", "vm-4"]);
    script.report_all_ended(&other, AttemptOutcome::GangPeerLost);
    for _ in 0..5 {
        script.advance(seconds(1));
        for batch in script.take_batches() {
            let outcome = if *batch.machine == *hanging {
                CommandOutcome::NoAnswer
            } else {
                CommandOutcome::Executed(script.recorded_heartbeat(&batch.machine))
            };
            script.answer(&batch, outcome);
        }
        assert_eq!(script.shard.jobs()["run-1"].live().len(), 1);
    }
    // The machine continues, and lists its task as running.
    let heartbeat = script.heartbeat_with_all(&hanging, TaskState::Running, None);
    script.receive(&heartbeat);
    let attempt = script.machine(&hanging).attempts.values().next();
    assert_eq!(
        attempt.and_then(|attempt| attempt.stop_grace()),
        Some(Duration::ZERO)
    );
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 1);
    script.report_all_ended(&hanging, AttemptOutcome::GangPeerLost);
    script.advance(seconds(2));
    assert_eq!(
        script.shard.jobs()["run-1"].live().len(),
        2,
        "the next attempt"
    );
}
