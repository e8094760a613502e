//! Gangs in trouble: changes of leader, cuts, hangs and late messages.

use std::time::Duration;

use super::fixtures::{machine_types, record};
use super::gangs::{all_are, as_it_is, gang, launched, lines, machines, north, stopped};
use super::script::{Script, listed, roster};
use crate::coordination::shard::{Action, CommandOutcome, RecoveredState, RentalOutcome};
use crate::protocol::cloud::MachineType;
use crate::protocol::users::{JobSpec, Stage};
use crate::protocol::workers::{AttemptOutcome, Command, TaskState};

fn second(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// A gang of two, each task on a machine of its own; the machines of tasks 0 and 1.
fn running_pair(script: &mut Script) -> (String, String) {
    north(script, &["vm-1", "vm-2"]);
    script.submit("run-1", gang(2, 8.0));
    let mut launches = launched(script);
    launches.sort_by_key(|(_, task, _)| *task);
    let hosts = (launches[0].0.clone(), launches[1].0.clone());
    for id in ["vm-1", "vm-2"] {
        all_are(script, id, TaskState::Running, None);
    }
    hosts
}

/// A gang that takes all that its team may use: its next attempt waits until nothing
/// of the last one is left, not even on a machine that can't be asked.
#[test]
fn a_gang_as_large_as_its_teams_limit_begins_again_only_when_all_of_it_is_gone() {
    let mut script = Script::new(RecoveredState::default());
    north(&mut script, &["vm-1", "vm-2", "vm-3", "vm-4"]);
    let whole = JobSpec {
        team: "red".into(),
        ..gang(2, 8.0)
    };
    script.submit("run-1", whole);
    let first = launched(&mut script);
    assert_eq!(first.len(), 2, "16 of 16 cores");
    let hosts: Vec<String> = first.iter().map(|(machine, ..)| machine.clone()).collect();
    for id in &hosts {
        all_are(&mut script, id, TaskState::Running, None);
    }
    all_are(
        &mut script,
        &hosts[0],
        TaskState::Ended,
        Some(AttemptOutcome::Error),
    );
    for _ in 0..3 {
        script.pass(second(1));
        assert_eq!(launched(&mut script), [], "one task may be left");
    }
    all_are(
        &mut script,
        &hosts[1],
        TaskState::Ended,
        Some(AttemptOutcome::GangPeerLost),
    );
    script.pass(second(1));
    let again = launched(&mut script);
    assert_eq!(again.len(), 2);
    assert!(
        again
            .iter()
            .all(|(.., attempt_number)| *attempt_number != first[0].2)
    );
}

/// A gang spread over zones isn't squeezed into one while the other is cut off, and
/// one bound to the cut zone is started nowhere else.
#[test]
fn a_cut_zone_neither_squeezes_a_spread_gang_nor_moves_a_bound_one() {
    let mut script = Script::new(RecoveredState::default());
    let hosts = [("vm-1", "north"), ("vm-2", "north"), ("vm-3", "south")];
    machines(&mut script, &hosts);
    let bound = JobSpec {
        one_zone: true,
        zone: Some("south".into()),
        ..gang(1, 8.0)
    };
    script.submit("run-1", bound);
    assert_eq!(launched(&mut script).len(), 1);
    all_are(&mut script, "vm-3", TaskState::Running, None);
    script.shard.set_cut_off(["south".to_owned()].into());
    let spread = JobSpec {
        scatter: true,
        ..gang(4, 4.0)
    };
    script.submit("run-2", spread);
    for _ in 0..10 {
        script.pass(second(1));
        for id in ["vm-1", "vm-2"] {
            let heartbeat = as_it_is(&mut script, id);
            script.shard.heartbeat(&heartbeat, script.now);
        }
        let started = launched(&mut script);
        assert_eq!(started, [], "half of it has to be in the south");
    }
    let live = script.shard.jobs()["run-1"].live().len();
    assert_eq!(live, 1, "it may run behind the cut");
    // Back again: there is room for half of it in each zone.
    script.shard.set_cut_off([].into());
    script.shard.job_finished("run-1", Some(Stage::Cancelled));
    all_are(
        &mut script,
        "vm-3",
        TaskState::Ended,
        Some(AttemptOutcome::Stopped),
    );
    script.pass(second(1));
    let mut started: Vec<String> = launched(&mut script).into_iter().map(|l| l.0).collect();
    started.sort();
    assert_eq!(started.len(), 4);
    assert_eq!(started[2..], ["vm-3", "vm-3"]);
}

/// A copy of an old heartbeat shows tasks of an earlier attempt as they were: it neither
/// revives that attempt nor stops the present one.
#[test]
fn a_late_heartbeat_of_an_earlier_attempt_changes_nothing() {
    for (state, outcome) in [
        (TaskState::Waiting, None),
        (TaskState::Ended, Some(AttemptOutcome::GangPeerLost)),
        (TaskState::Ended, Some(AttemptOutcome::GangIncomplete)),
    ] {
        let mut script = Script::new(RecoveredState::default());
        let (host, other) = running_pair(&mut script);
        let old = lines(&mut script, &host, state, outcome);
        // The first attempt ends, and the second runs.
        for id in [&host, &other] {
            all_are(
                &mut script,
                id,
                TaskState::Ended,
                Some(AttemptOutcome::GangPeerLost),
            );
        }
        script.pass(second(4));
        let attempt_number = launched(&mut script)[0].2;
        for id in ["vm-1", "vm-2"] {
            all_are(&mut script, id, TaskState::Running, None);
        }
        launched(&mut script);
        script.shard.heartbeat(&old, script.now);
        script.pass(second(1));
        assert_eq!(launched(&mut script), []);
        assert_eq!(stopped(&mut script), []);
        let job = &script.shard.jobs()["run-1"];
        assert_eq!(
            (job.gang.attempt_number, job.live().len()),
            (attempt_number, 2)
        );
    }
}

/// A gang completes in the moment in which its user calls it off: whichever is written
/// first holds, and no task of it is started again.
#[test]
fn a_gang_cancelled_as_it_completes_is_not_started_again() {
    let mut script = Script::new(RecoveredState::default());
    let (told, other) = running_pair(&mut script);
    all_are(
        &mut script,
        &told,
        TaskState::Ended,
        Some(AttemptOutcome::Done),
    );
    let finishes = |action: &Action| matches!(action, Action::Finish { .. });
    assert!(script.actions.iter().any(finishes));
    script.shard.job_finished("run-1", Some(Stage::Cancelled));
    script.pass(second(1));
    assert_eq!(launched(&mut script), []);
    all_are(
        &mut script,
        &other,
        TaskState::Ended,
        Some(AttemptOutcome::Done),
    );
    script.pass(second(1));
    assert_eq!(launched(&mut script), []);
    assert!(
        !script.shard.jobs().contains_key("run-1"),
        "nothing is left"
    );
}

/// A stop reaches one of two machines before the leader ends. The new leader hears that
/// one's task has saved and ended, and can't reach the other: nothing is started until
/// that one is proven gone, and if it is heard it is stopped.
#[test]
fn a_stop_that_reached_half_of_a_gang_is_completed_by_the_next_leader() {
    for reached in [false, true] {
        let mut script = Script::new(RecoveredState {
            jobs: vec![("run-1".into(), 5, record(gang(2, 8.0)))],
            roster: vec![roster("vm-1"), roster("vm-2")],
            ..RecoveredState::default()
        });
        north(&mut script, &["vm-3", "vm-4"]);
        let saved = listed(
            "run-1/0",
            7,
            TaskState::Ended,
            Some(AttemptOutcome::Stopped),
        );
        script.heartbeat("vm-1", vec![saved]);
        for _ in 0..3 {
            script.pass(second(1));
            assert!(script.launches().is_empty(), "run-1/1 may run on vm-2");
        }
        if reached {
            let runs = || vec![listed("run-1/1", 7, TaskState::Running, None)];
            script.heartbeat("vm-2", runs());
            let answer = script.heartbeat("vm-2", runs());
            let stops = |c: &Command| matches!(c, Command::Stop { .. });
            assert!(answer.iter().any(stops), "it can't go on alone");
            assert!(script.launches().is_empty());
            let ended = listed(
                "run-1/1",
                7,
                TaskState::Ended,
                Some(AttemptOutcome::GangPeerLost),
            );
            script.heartbeat("vm-2", vec![ended]);
        } else {
            let over = script.machine("vm-2").lease_expires_at;
            while script.now <= over {
                for id in ["vm-1", "vm-3", "vm-4"] {
                    script.heartbeat(id, Vec::new());
                }
                assert!(script.shard.jobs()["run-1"].live().is_empty());
                script.pass(second(1));
            }
        }
        script.pass(second(1));
        let started = script.shard.jobs()["run-1"].live().len();
        assert_eq!(started, 2, "reached: {reached}");
    }
}

/// A machine hangs with one task of a running gang. The other task notices, and exits;
/// the hanging one may go on at any moment, so that nothing begins beside it. When it
/// does go on, it is stopped.
#[test]
fn a_gang_whose_machine_hangs_and_goes_on_is_not_begun_beside_it() {
    let mut script = Script::new(RecoveredState::default());
    let (hangs, other) = running_pair(&mut script);
    north(&mut script, &["vm-3", "vm-4"]);
    all_are(
        &mut script,
        &other,
        TaskState::Ended,
        Some(AttemptOutcome::GangPeerLost),
    );
    for _ in 0..5 {
        script.pass(second(1));
        for batch in script.batches() {
            let outcome = if *batch.0 == *hangs {
                CommandOutcome::NoAnswer
            } else {
                CommandOutcome::Executed(as_it_is(&mut script, &batch.0))
            };
            script.answered(&batch, outcome);
        }
        assert_eq!(script.shard.jobs()["run-1"].live().len(), 1);
    }
    // It goes on, and says that its task runs.
    let heartbeat = lines(&mut script, &hangs, TaskState::Running, None);
    script.shard.heartbeat(&heartbeat, script.now);
    script.reconcile();
    let stop = script.machine(&hangs).attempts.values().next();
    assert_eq!(stop.and_then(|attempt| attempt.stop), Some(Duration::ZERO));
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 1);
    all_are(
        &mut script,
        &hangs,
        TaskState::Ended,
        Some(AttemptOutcome::GangPeerLost),
    );
    script.pass(second(2));
    assert_eq!(
        script.shard.jobs()["run-1"].live().len(),
        2,
        "the next attempt"
    );
}

/// Two gangs have each lost a task before they started, and there is room for one: it
/// goes to one of them, and the other doesn't hold its places for ever.
#[test]
fn of_two_gangs_that_wait_for_the_same_room_one_starts_and_one_lets_go() {
    let mut script = Script::new(RecoveredState::default());
    north(&mut script, &["vm-1", "vm-2", "vm-3", "vm-4"]);
    script.submit("run-1", gang(2, 8.0));
    script.submit("run-2", gang(2, 8.0));
    let launches = launched(&mut script);
    assert_eq!(launches.len(), 4);
    let hosts: Vec<String> = launches
        .iter()
        .map(|(machine, ..)| machine.clone())
        .collect();
    for id in &hosts {
        all_are(&mut script, id, TaskState::Waiting, None);
    }
    // One machine of each dies; one comes.
    let of = |script: &Script, job: &str| {
        let job = &script.shard.jobs()[job];
        job.live()[&0].clone()
    };
    let dead = [of(&script, "run-1"), of(&script, "run-2")];
    script.shard.deletion_answered(&dead, true, script.now);
    script.pass(second(1));
    north(&mut script, &["vm-5"]);
    assert_eq!(launched(&mut script).len(), 1);
    // Its tasks wait no longer than a replacement could attempt_number.
    let stays: Vec<&String> = hosts
        .iter()
        .filter(|id| !dead.iter().any(|d| **d == ***id))
        .collect();
    for _ in 0..40 {
        script.pass(second(1));
        for id in &stays {
            let heartbeat = as_it_is(&mut script, id);
            script.shard.heartbeat(&heartbeat, script.now);
        }
        let heartbeat = as_it_is(&mut script, "vm-5");
        script.shard.heartbeat(&heartbeat, script.now);
        stopped(&mut script);
    }
    let held = |id: &&&String| {
        let mut attempts = script.machine(id).attempts.values();
        attempts.any(|attempt| attempt.stop.is_none())
    };
    assert_eq!(stays.iter().filter(held).count(), 1, "one gang let go");
}

/// Found on a day with a change of leader: room on machines that were 40 s from being up
/// counted for gangs that had to start in 12 s, so that none was rented that boots in 15.
#[test]
fn a_gang_does_not_wait_for_a_machine_that_comes_too_late() {
    let quick = MachineType {
        startup_s: 10.0,
        price: 4.0,
        name: "quick".into(),
        ..machine_types().remove(0)
    };
    let slow = MachineType {
        startup_s: 60.0,
        ..machine_types().remove(0)
    };
    let mut script = Script::without_guarantees();
    let job = gang(1, 8.0);
    script.shard.policy.wait_within = [(job.class.clone(), second(40))].into();
    script.shard.set_types(std::slice::from_ref(&slow));
    script.submit("run-1", job);
    script.pass(second(1));
    let rented = rentals(&mut script);
    assert_eq!(rented, ["m8"], "there is nothing else");
    script.shard.set_types(&[slow, quick]);
    script.pass(second(1));
    assert_eq!(rentals(&mut script), ["quick"]);
}

/// The types of machines asked for since the last call; all are granted.
fn rentals(script: &mut Script) -> Vec<String> {
    let mut types = Vec::new();
    for rental in script.rentals() {
        let name = format!("vm-{}", rental.request);
        let granted = RentalOutcome::Rented(vec![name]);
        script
            .shard
            .rental_answered(&rental.request, granted, script.now);
        types.push(rental.machine_type);
    }
    types
}
