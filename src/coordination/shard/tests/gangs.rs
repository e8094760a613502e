//! Gangs: all tasks run at the same time or none does.

use crate::protocol::AttemptId;
use std::collections::BTreeSet;
use std::time::Duration;

use super::fixtures::{GANG_WAIT, record, spec};
use super::script::{Script, TOKEN, listed, obey, roster};
use crate::coordination::shard::{Action, Attempt, CommandOutcome, Phase, RecoveredState};

use crate::protocol::users::{JobKind, JobSpec, Priority, Stage};
use crate::protocol::workers::{AttemptOutcome, Command, TaskState, TaskStatus, WorkerHeartbeat};

fn second(n: u64) -> Duration {
    Duration::from_secs(n)
}

pub(super) fn gang(tasks: u32, cores: f64) -> JobSpec {
    JobSpec {
        kind: JobKind::Gang,
        checkpoint_s: 20.0,
        save_s: 4.0,
        ..spec("blue", cores, tasks)
    }
}

/// Machines of eight cores that have reported, in this order, north unless said.
pub(super) fn machines(script: &mut Script, ids: &[(&str, &str)]) {
    for (id, zone) in ids {
        let mut heartbeat = script.heartbeat_of(id, TOKEN, Vec::new());
        heartbeat.zone = (*zone).into();
        script.shard.heartbeat(&heartbeat, script.now);
        // Once for its admission, and once for what that allows.
        script.reconcile();
        script.reconcile();
    }
}

pub(super) fn north(script: &mut Script, ids: &[&str]) {
    let ids: Vec<_> = ids.iter().map(|id| (*id, "north")).collect();
    machines(script, &ids);
}

/// The launches decided since the last call, all carried out: machine, task, attempt.
pub(super) fn launched(script: &mut Script) -> Vec<(String, u32, u64)> {
    let mut launches = Vec::new();
    // What waits for the answer to another batch comes in the next round.
    for _ in 0..3 {
        for batch in script.batches() {
            let mut heartbeat = as_it_is(script, &batch.0);
            for command in &batch.2 {
                match command {
                    Command::Launch { task, attempt } => {
                        launches.push((batch.0.to_string(), task.index, *attempt));
                    }
                    Command::Clear { task, attempt } => {
                        heartbeat
                            .tasks
                            .retain(|line| (&line.task, line.attempt) != (task, *attempt));
                    }
                    Command::Stop { .. } => {}
                }
            }
            script.answered(&batch, CommandOutcome::Executed(heartbeat));
        }
    }
    launches
}

/// A heartbeat of a machine on which all attempts on its books are in one state.
pub(super) fn lines(
    script: &mut Script,
    id: &str,
    state: TaskState,
    outcome: Option<AttemptOutcome>,
) -> WorkerHeartbeat {
    let keys: Vec<AttemptId> = script.machine(id).attempts.keys().cloned().collect();
    let line = |AttemptId { task, number }: &AttemptId| TaskStatus {
        task: task.clone(),
        attempt: *number,
        state,
        outcome,
    };
    let zone = script.machine(id).zone.to_string();
    let mut heartbeat = script.heartbeat_of(id, TOKEN, keys.iter().map(line).collect());
    heartbeat.zone = zone;
    heartbeat
}

/// All that is on a machine's books is reported in one state.
pub(super) fn all_are(
    script: &mut Script,
    id: &str,
    state: TaskState,
    outcome: Option<AttemptOutcome>,
) {
    let heartbeat = lines(script, id, state, outcome);
    script.shard.heartbeat(&heartbeat, script.now);
    script.reconcile();
}

/// A heartbeat of a machine that shows what its books say.
pub(super) fn as_it_is(script: &mut Script, id: &str) -> WorkerHeartbeat {
    let line = |(
        AttemptId {
            task,
            number: attempt_number,
        },
        attempt,
    ): (&AttemptId, &Attempt)| {
        let (state, outcome) = match attempt.phase {
            Phase::Launching | Phase::Fetching => (TaskState::Fetching, None),
            Phase::Waiting => (TaskState::Waiting, None),
            Phase::Running => (TaskState::Running, None),
            Phase::Saving => (TaskState::Saving, None),
            Phase::Ended(outcome) => (TaskState::Ended, Some(outcome)),
        };
        listed(&task.to_string(), *attempt_number, state, outcome)
    };
    let machine = script.machine(id);
    let tasks = machine.attempts.iter().map(line).collect();
    let (zone, agent_epoch) = (machine.zone.to_string(), machine.agent_epoch);
    let mut heartbeat = script.heartbeat_of(id, TOKEN, tasks);
    heartbeat.zone = zone;
    heartbeat.agent_epoch = agent_epoch.unwrap_or(1);
    heartbeat
}

/// The stops decided since the last call, by machine, with their graces.
pub(super) fn stopped(script: &mut Script) -> Vec<(String, f64)> {
    let mut stops = Vec::new();
    for batch in script.batches() {
        for command in &batch.2 {
            if let Command::Stop { grace_s, .. } = command {
                stops.push((batch.0.to_string(), *grace_s));
            }
        }
        let heartbeat = as_it_is(script, &batch.0);
        script.answered(&batch, CommandOutcome::Executed(heartbeat));
    }
    stops.sort_by(|a, b| a.0.cmp(&b.0));
    stops
}

#[test]
fn a_gang_is_launched_whole_under_one_number_or_not_at_all() {
    let mut script = Script::new(RecoveredState::default());
    north(&mut script, &["vm-1"]);
    script.submit("run-1", gang(4, 3.0));
    assert_eq!(launched(&mut script), [], "two of four have room");
    north(&mut script, &["vm-2"]);
    let launches = launched(&mut script);
    let tasks: BTreeSet<u32> = launches.iter().map(|(_, task, _)| *task).collect();
    let takes: BTreeSet<u64> = launches
        .iter()
        .map(|(.., attempt_number)| *attempt_number)
        .collect();
    assert_eq!((tasks.len(), takes.len()), (4, 1));
}

#[test]
fn a_gang_counts_whole_for_its_teams_limit() {
    let mut script = Script::new(RecoveredState::default());
    north(&mut script, &["vm-1", "vm-2", "vm-3"]);
    let limited = |tasks| JobSpec {
        team: "red".into(),
        ..gang(tasks, 4.0)
    };
    // The team's limit is 16 cores: one gang of twelve leaves no room for eight.
    script.submit("run-1", limited(3));
    assert_eq!(launched(&mut script).len(), 3);
    script.submit("run-2", limited(2));
    assert_eq!(launched(&mut script), []);
    script.shard.job_finished("run-1", Some(Stage::Cancelled));
    script.reconcile();
    assert_eq!(stopped(&mut script).len(), 3);
    for id in ["vm-1", "vm-2", "vm-3"] {
        if !script.machine(id).attempts.is_empty() {
            all_are(
                &mut script,
                id,
                TaskState::Ended,
                Some(AttemptOutcome::Stopped),
            );
        }
    }
    assert_eq!(launched(&mut script).len(), 2);
}

#[test]
fn a_gang_bound_to_one_zone_is_placed_where_all_of_it_fits() {
    let mut script = Script::new(RecoveredState::default());
    machines(
        &mut script,
        &[("vm-1", "north"), ("vm-2", "south"), ("vm-3", "south")],
    );
    let bound = JobSpec {
        one_zone: true,
        ..gang(3, 5.0)
    };
    script.submit("run-1", bound.clone());
    assert_eq!(launched(&mut script), [], "there is room for three in all");
    script.submit("run-2", JobSpec { tasks: 2, ..bound });
    let on: Vec<String> = launched(&mut script).into_iter().map(|l| l.0).collect();
    assert_eq!(on, ["vm-2", "vm-3"]);
}

/// Two gangs that each fit once: the one that comes first gathers room, and the
/// small work behind it doesn't attempt_number each place as it falls free.
#[test]
fn room_is_gathered_for_a_gang_and_small_work_does_not_starve_it() {
    let mut script = Script::new(RecoveredState::default());
    north(&mut script, &["vm-1", "vm-2"]);
    script.submit("run-1", spec("blue", 4.0, 4));
    obey(&mut script, "vm-1");
    script.submit("run-2", gang(2, 8.0));
    script.submit("run-3", gang(2, 8.0));
    script.submit("run-4", spec("blue", 4.0, 8));
    assert_eq!(launched(&mut script), []);
    script.pass(second(4));
    // One machine falls free, and then the other.
    for (id, expected) in [("vm-1", 0), ("vm-2", 2)] {
        all_are(
            &mut script,
            id,
            TaskState::Ended,
            Some(AttemptOutcome::Done),
        );
        let launches = launched(&mut script);
        assert_eq!(launches.len(), expected, "{id}: {launches:?}");
    }
    let held: Vec<_> = script.shard.jobs()["run-2"].live().values().collect();
    assert_eq!(held.len(), 2);
    assert!(script.shard.jobs()["run-3"].live().is_empty());
}

/// Room is made for all of a gang or nothing is stopped.
#[test]
fn room_for_a_gang_is_made_whole_or_not_at_all() {
    for (machines, made) in [(1, 0), (2, 2)] {
        let mut script = Script::new(RecoveredState::default());
        north(&mut script, &["vm-1", "vm-2"][..machines]);
        let lesser = JobSpec {
            priority: Priority::BestEffort,
            ..spec("blue", 8.0, machines as u32)
        };
        script.submit("run-1", lesser);
        obey(&mut script, "vm-1");
        script.submit("run-2", gang(2, 8.0));
        assert_eq!(stopped(&mut script).len(), made);
    }
}

/// Whoever stops one task of a running gang, for whatever reason, stops all of them
/// at once, with the time to save that one has.
#[test]
fn a_notice_for_one_machine_stops_the_whole_gang_in_time_to_save() {
    for (left, grace) in [(12.0, 12.0), (3.0, 0.0)] {
        let mut script = Script::new(RecoveredState::default());
        north(&mut script, &["vm-1", "vm-2"]);
        script.submit("run-1", gang(2, 8.0));
        assert_eq!(launched(&mut script).len(), 2);
        for id in ["vm-1", "vm-2"] {
            all_are(&mut script, id, TaskState::Running, None);
        }
        assert_eq!(stopped(&mut script), []);
        let mut preemption_notice = lines(&mut script, "vm-1", TaskState::Running, None);
        preemption_notice.preemption_notice_s = Some(left);
        script.shard.heartbeat(&preemption_notice, script.now);
        script.reconcile();
        let both = [("vm-1".to_owned(), grace), ("vm-2".to_owned(), grace)];
        assert_eq!(stopped(&mut script), both);
        // While they save, the notice grows shorter: nothing cuts them off.
        let mut later = lines(&mut script, "vm-1", TaskState::Saving, None);
        later.preemption_notice_s = Some(1.0);
        script.shard.heartbeat(&later, script.now);
        script.reconcile();
        assert_eq!(stopped(&mut script), []);
    }
}

/// A task lost before the gang has started is replaced under the same number; the
/// others keep waiting.
#[test]
fn a_task_lost_before_the_start_is_replaced_under_the_same_number() {
    let mut script = Script::new(RecoveredState::default());
    north(&mut script, &["vm-1", "vm-2", "vm-3"]);
    script.submit("run-1", gang(2, 8.0));
    let launches = launched(&mut script);
    let attempt_number = launches[0].2;
    let (stays, lost) = (launches[0].0.clone(), launches[1].0.clone());
    all_are(&mut script, &stays, TaskState::Waiting, None);
    all_are(
        &mut script,
        &lost,
        TaskState::Ended,
        Some(AttemptOutcome::Error),
    );
    let again = launched(&mut script);
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].1, again[0].2), (launches[1].1, attempt_number));
    assert!(
        again[0].0 != stays && again[0].0 != lost,
        "it would not start there"
    );
    assert_eq!(stopped(&mut script), []);
    // Lost once more, and too late for another image: the attempt is stopped whole.
    all_are(
        &mut script,
        &again[0].0,
        TaskState::Ended,
        Some(AttemptOutcome::Error),
    );
    script.batches();
    script.now += GANG_WAIT / 2;
    all_are(&mut script, &stays, TaskState::Waiting, None);
    assert_eq!(stopped(&mut script), [(stays.clone(), 0.0)]);
    // The next one has another number, and begins when nothing of this one is left.
    assert_eq!(launched(&mut script), []);
    all_are(
        &mut script,
        &stays,
        TaskState::Ended,
        Some(AttemptOutcome::Stopped),
    );
    north(&mut script, &["vm-4", "vm-5"]);
    script.pass(second(3));
    let next = launched(&mut script);
    assert_eq!(next.len(), 2);
    assert!(next.iter().all(|(.., new)| *new != attempt_number));
}

/// A task lost from a running gang ends the attempt: the others are stopped, and the
/// next attempt begins only when each of them is proven gone.
#[test]
fn a_task_lost_from_a_running_gang_ends_the_attempt_whole() {
    let mut script = Script::new(RecoveredState::default());
    north(&mut script, &["vm-1", "vm-2", "vm-3", "vm-4"]);
    script.submit("run-1", gang(2, 8.0));
    let launches = launched(&mut script);
    let (lost, left) = (launches[0].0.clone(), launches[1].0.clone());
    for id in [&lost, &left] {
        all_are(&mut script, id, TaskState::Running, None);
    }
    // Its worker began anew: the task is gone.
    let mut anew = script.heartbeat_of(&lost, TOKEN, Vec::new());
    anew.agent_epoch = 2;
    script.shard.heartbeat(&anew, script.now);
    script.reconcile();
    assert_eq!(launched(&mut script), [], "the other may be running yet");
    let stop = script.machine(&left).attempts.values().next();
    assert_eq!(stop.and_then(|a| a.stop), Some(Duration::ZERO));
    script.pass(second(1));
    stopped(&mut script);
    all_are(
        &mut script,
        &left,
        TaskState::Ended,
        Some(AttemptOutcome::GangPeerLost),
    );
    let next = launched(&mut script);
    assert_eq!(next.len(), 2);
    assert!(
        next.iter()
            .all(|(.., attempt_number)| *attempt_number != launches[0].2)
    );
}

/// One done task means that all are, also one whose machine was lost at that moment:
/// the gang is neither run again nor left unfinished.
#[test]
fn with_one_done_task_the_whole_gang_is_done() {
    let mut script = Script::new(RecoveredState::default());
    north(&mut script, &["vm-1", "vm-2"]);
    script.submit("run-1", gang(2, 8.0));
    let launches = launched(&mut script);
    let (told, lost) = (launches[0].0.clone(), launches[1].0.clone());
    for id in [&told, &lost] {
        all_are(&mut script, id, TaskState::Running, None);
    }
    all_are(
        &mut script,
        &told,
        TaskState::Ended,
        Some(AttemptOutcome::Done),
    );
    assert!(script.shard.jobs()["run-1"].all_done());
    let mut anew = script.heartbeat_of(&lost, TOKEN, Vec::new());
    anew.agent_epoch = 2;
    script.shard.heartbeat(&anew, script.now);
    script.pass(second(1));
    assert_eq!(launched(&mut script), []);
    let finish = |action: &Action| matches!(action, Action::Finish { .. });
    assert_eq!(script.actions.iter().filter(|a| finish(a)).count(), 1);
}

/// A gang that never came together isn't tried the same way at once.
#[test]
fn a_gang_that_waited_in_vain_pauses_before_it_is_tried_again() {
    let mut script = Script::new(RecoveredState::default());
    north(&mut script, &["vm-1", "vm-2"]);
    script.submit("run-1", gang(2, 8.0));
    let launches = launched(&mut script);
    for (id, ..) in &launches {
        all_are(
            &mut script,
            id,
            TaskState::Ended,
            Some(AttemptOutcome::GangIncomplete),
        );
    }
    assert_eq!(launched(&mut script), []);
    for id in ["vm-1", "vm-2"] {
        script.heartbeat(id, Vec::new());
    }
    script.pass(second(4));
    assert_eq!(launched(&mut script).len(), 2);
}

/// A new leader finds half of a gang. While a machine is unaccounted for, the rest may
/// be there: neither is anybody replaced nor a second attempt begun beside the first.
#[test]
fn a_new_leader_rebuilds_a_gang_and_starts_nothing_beside_it() {
    let old = |state| vec![listed("run-1/0", 7, state, None)];
    for started in [false, true] {
        let mut script = Script::new(RecoveredState {
            jobs: vec![("run-1".into(), 5, record(gang(2, 8.0)))],
            roster: vec![roster("vm-1"), roster("vm-2")],
            ..RecoveredState::default()
        });
        north(&mut script, &["vm-3"]);
        let state = if started {
            TaskState::Running
        } else {
            TaskState::Waiting
        };
        script.heartbeat("vm-1", old(state));
        script.pass(second(1));
        assert!(script.launches().is_empty(), "run-1/1 may be on vm-2");
        let attempt = script.machine("vm-1").attempts.values().next();
        assert_eq!(attempt.and_then(|a| a.stop), None);
        // It isn't there.
        script.heartbeat("vm-2", Vec::new());
        script.batches();
        script.pass(second(1));
        let attempt = script.machine("vm-1").attempts.values().next();
        let stop = attempt.and_then(|a| a.stop);
        let again = script.shard.jobs()["run-1"].live().len();
        if started {
            assert_eq!((stop, again), (Some(Duration::ZERO), 1), "it ends whole");
        } else {
            assert_eq!((stop, again), (None, 2), "the missing task is started");
            let attempt_number = |id: &str| {
                let attempts = &script.machine(id).attempts;
                attempts
                    .iter()
                    .map(
                        |(
                            AttemptId {
                                number: attempt_number,
                                ..
                            },
                            a,
                        )| (*attempt_number, a.phase),
                    )
                    .next()
            };
            let other = if attempt_number("vm-2").is_some() {
                "vm-2"
            } else {
                "vm-3"
            };
            assert_eq!(
                attempt_number(other),
                Some((7, Phase::Launching)),
                "by its number"
            );
        }
    }
}

/// What may be left of an earlier attempt counts for the zone and the limit, and holds
/// the next attempt back, also on a machine that nobody can ask.
#[test]
fn an_attempt_begins_only_when_nothing_of_an_earlier_one_can_exist() {
    let mut script = Script::new(RecoveredState {
        jobs: vec![("run-1".into(), 5, record(gang(2, 8.0)))],
        roster: vec![roster("vm-1")],
        ..RecoveredState::default()
    });
    north(&mut script, &["vm-2", "vm-3"]);
    let lease_expires_at = script.machine("vm-1").lease_expires_at;
    while script.now < lease_expires_at {
        for batch in script.batches() {
            let outcome = match &*batch.0 {
                "vm-1" => CommandOutcome::NoAnswer,
                id => CommandOutcome::Executed(script.running(id)),
            };
            script.answered(&batch, outcome);
        }
        assert!(script.shard.jobs()["run-1"].live().is_empty());
        for id in ["vm-2", "vm-3"] {
            script.heartbeat(id, Vec::new());
        }
        script.pass(second(1));
    }
    script.pass(second(1));
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 2);
}

/// A worker that refused a task knows its attempt and starts it no more, so that the
/// replacement under the same number goes elsewhere, however well it would fit there.
#[test]
fn a_refused_task_is_replaced_on_a_machine_that_does_not_know_its_attempt() {
    let mut script = Script::new(RecoveredState::default());
    north(&mut script, &["vm-1", "vm-2"]);
    script.submit("run-1", gang(2, 8.0));
    let launches = launched(&mut script);
    let (stays, refused) = (launches[0].0.clone(), launches[1].0.clone());
    all_are(&mut script, &stays, TaskState::Waiting, None);
    all_are(
        &mut script,
        &refused,
        TaskState::Ended,
        Some(AttemptOutcome::NoRoom),
    );
    // Long enough for another try, and the machine has room again.
    script.pass(second(1));
    assert_eq!(launched(&mut script), [], "it would have no effect there");
    north(&mut script, &["vm-3"]);
    let again = launched(&mut script);
    assert_eq!(again, [("vm-3".to_owned(), launches[1].1, launches[1].2)]);
}

/// After a attempt_number-over one task of a gang is seen, and seen to end; the other may be on a
/// machine that nobody has heard from. No attempt begins beside it.
#[test]
fn a_gang_of_which_one_task_may_exist_somewhere_is_not_begun_again() {
    let mut script = Script::new(RecoveredState {
        jobs: vec![("run-1".into(), 5, record(gang(2, 8.0)))],
        roster: vec![roster("vm-1"), roster("vm-2")],
        ..RecoveredState::default()
    });
    north(&mut script, &["vm-3", "vm-4"]);
    let line = |state, outcome| vec![listed("run-1/0", 7, state, outcome)];
    script.heartbeat("vm-1", line(TaskState::Waiting, None));
    let ended = Some(AttemptOutcome::Error);
    script.heartbeat("vm-1", line(TaskState::Ended, ended));
    for _ in 0..3 {
        script.pass(second(1));
        assert!(script.launches().is_empty(), "run-1/1 may be on vm-2");
        assert!(script.shard.jobs()["run-1"].live().is_empty());
    }
    script.heartbeat("vm-2", Vec::new());
    script.pass(second(1));
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 2);
}
