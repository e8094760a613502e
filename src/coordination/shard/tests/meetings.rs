//! Two troubles at once, in the order in which they hurt.

use std::time::Duration;

use super::fixtures::{record, spec};
use super::script::{Script, TOKEN, listed, obey, one_old_job, roster, stops};
use crate::coordination::shard::{CommandOutcome, HeartbeatOutcome, RecoveredState};
use crate::protocol::cloud::{Listed, ListedState};
use crate::protocol::users::{JobSpec, Stage};
use crate::protocol::workers::{AttemptOutcome, Command, TaskState};

fn second(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// A team is at its limit, the leader changes, a machine can't be asked, and the
/// job on it is cancelled: what may run there counts until it is proven gone, and
/// not a moment longer, or the team would wait for ever.
#[test]
fn a_cancelled_job_on_a_machine_that_can_not_be_asked_counts_until_it_is_gone() {
    // The team's limit is 16 cores; its job may hold eight of them on vm-1.
    let mut script = Script::new(RecoveredState {
        jobs: vec![("run-1".into(), 5, record(spec("red", 8.0, 1)))],
        roster: vec![roster("vm-1")],
        ..RecoveredState::default()
    });
    for id in ["vm-2", "vm-3"] {
        script.heartbeat(id, Vec::new());
    }
    script.shard.job_finished("run-1", Some(Stage::Cancelled));
    script.submit("run-2", spec("red", 8.0, 2));
    let launched = script.launches().len();
    assert_eq!(launched, 1, "the other half may be in use on vm-1");
    let lease = script.shard.policy.worker_lease_bound();
    let lease_expires_at = script.machine("vm-1").lease_expires_at;
    let end = script.now + lease + second(3);
    let mut second_start = None;
    while script.now < end && second_start.is_none() {
        for batch in script.batches() {
            let outcome = match &*batch.0 {
                "vm-1" => CommandOutcome::NoAnswer,
                id => CommandOutcome::Executed(script.running(id)),
            };
            script.answered(&batch, outcome);
        }
        for id in ["vm-2", "vm-3"] {
            let tasks = script.running(id).tasks;
            script.heartbeat(id, tasks);
        }
        script.pass(second(1));
        if script.shard.jobs()["run-2"].live().len() == 2 {
            second_start = Some(script.now);
        }
    }
    let at = second_start.expect("the team gets its limit back");
    assert!(at > lease_expires_at, "its worker's lease was not over");
}

/// Workers that can't open connections to any controller, while commands reach
/// them: what they answer is news, but renews no lease. Found by reading: such a
/// machine went on getting work, which it lost again and again.
#[test]
fn a_machine_whose_heartbeats_do_not_come_gets_no_work_and_goes_back() {
    let mut script = Script::new(RecoveredState::default());
    for id in ["vm-1", "vm-2", "vm-3", "vm-4"] {
        script.heartbeat(id, Vec::new());
    }
    let since_last_contact = script.shard.policy.heartbeat_overdue();
    let lease = script.shard.policy.worker_lease_bound();
    let answers = |script: &mut Script| {
        for id in ["vm-2", "vm-3", "vm-4"] {
            script.heartbeat(id, Vec::new());
        }
        for batch in script.probes() {
            let heartbeat = script.heartbeat_of(&batch.0, TOKEN, Vec::new());
            script.answered(&batch, CommandOutcome::Executed(heartbeat));
        }
        script.pass(second(1));
    };
    let start = script.now;
    while script.now - start <= since_last_contact {
        answers(&mut script);
    }
    let policy = script.shard.policy.clone();
    assert!(!script.machine("vm-1").open(script.now, &policy));
    assert!(!script.machine("vm-1").deleting, "it may be heard again");
    assert!(script.machine("vm-2").open(script.now, &policy));
    // A heartbeat of its own, and it is as good as before.
    script.heartbeat("vm-1", Vec::new());
    assert!(script.machine("vm-1").open(script.now, &policy));
    let start = script.now;
    while script.now - start <= lease + second(1) {
        answers(&mut script);
    }
    assert!(
        script.machine("vm-1").deleting,
        "its tasks die again and again"
    );
    assert!(!script.machine("vm-2").deleting);
}

/// After a attempt_number-over a machine that answers gets work at once: its worker takes a while
/// to find the new leader, however long ago the cloud says that it was rented.
#[test]
fn a_new_leader_does_not_wait_for_the_heartbeats_of_machines_that_answer() {
    let mut script = Script::new(one_old_job(1, &["vm-1"]));
    let listed = Listed {
        id: "vm-1".into(),
        addr: "10.0.0.1:9000".into(),
        machine_type: "m8".into(),
        zone: "north".into(),
        spot: false,
        state: ListedState::Running,
        age_s: 300.0,
    };
    script.shard.listed(&[listed], script.now);
    for batch in script.batches() {
        let heartbeat = script.heartbeat_of(&batch.0, TOKEN, Vec::new());
        script.answered(&batch, CommandOutcome::Executed(heartbeat));
    }
    assert_eq!(script.launches().len(), 1);
}

/// The same with a task on it: it counts until the worker's lease is over, counted
/// from the last heartbeat that was answered, whatever direct answers show since.
#[test]
fn an_answer_to_a_command_renews_no_lease() {
    let mut script = Script::new(RecoveredState::default());
    script.heartbeat("vm-1", Vec::new());
    let lease_expires_at = script.machine("vm-1").lease_expires_at;
    for _ in 0..10 {
        script.pass(second(2));
        for batch in script.probes() {
            let heartbeat = script.heartbeat_of(&batch.0, TOKEN, Vec::new());
            script.answered(&batch, CommandOutcome::Executed(heartbeat));
        }
    }
    assert_eq!(script.machine("vm-1").lease_expires_at, lease_expires_at);
    assert!(
        script
            .machine("vm-1")
            .last_contact
            .is_some_and(|at| script.now - at < second(8))
    );
}

/// A command is held up for seconds and the machine goes on: a stop that may never
/// arrive is repeated with each answer, since that answer renews the lease.
#[test]
fn a_stop_that_is_under_way_is_repeated_with_the_answer() {
    let mut script = Script::new(RecoveredState::default());
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", spec("blue", 1.0, 1));
    obey(&mut script, "vm-1");
    script.shard.job_finished("run-1", Some(Stage::Cancelled));
    script.reconcile();
    let held_up = script.batches();
    assert_eq!(held_up.len(), 1);
    assert_eq!(stops(&held_up[0].2), 1);
    let attempt_number = script
        .machine("vm-1")
        .attempts
        .keys()
        .next()
        .map(|id| id.number);
    let line = listed(
        "run-1/0",
        attempt_number.expect("it runs"),
        TaskState::Running,
        None,
    );
    let commands = script.heartbeat("vm-1", vec![line]);
    assert_eq!(stops(&commands), 1);
}

/// A heartbeat is held back until a new leader has acted, and arrives there: it shows
/// what was, even under the new fencing token, and neither frees nor brings back a task.
#[test]
fn a_heartbeat_held_back_until_a_new_leader_has_acted_changes_nothing() {
    let mut script = Script::new(one_old_job(1, &["vm-1"]));
    let runs = |attempt_number| vec![listed("run-1/0", attempt_number, TaskState::Running, None)];
    let before = script.heartbeat_of("vm-1", TOKEN - 1, Vec::new());
    let mut agent_epoch = script.heartbeat_of("vm-1", TOKEN - 1, runs(3));
    agent_epoch.agent_epoch = 0;
    let under_ours = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    script.heartbeat("vm-1", runs(7));
    for held_back in [before, agent_epoch, under_ours] {
        script.shard.heartbeat(&held_back, script.now);
        script.reconcile();
        assert!(script.launches().is_empty(), "run-1/0 runs on vm-1");
        assert_eq!(script.shard.view("run-1").map(|view| view.running), Some(1));
    }
}

/// The tasks of a job end far apart, with a change of leader between: what the
/// earlier one was told and recorded isn't run again, what it was told and didn't
/// record is listed still.
#[test]
fn tasks_that_end_far_apart_are_each_counted_once_across_a_take_over() {
    let mut script = Script::new(RecoveredState::default());
    script.heartbeat("vm-1", Vec::new());
    script.submit("run-1", spec("blue", 1.0, 3));
    obey(&mut script, "vm-1");
    let takes: Vec<u64> = script
        .machine("vm-1")
        .attempts
        .keys()
        .map(|id| id.number)
        .collect();
    let line = |n: usize, outcome: Option<AttemptOutcome>| {
        let state = outcome.map_or(TaskState::Running, |_| TaskState::Ended);
        listed(&format!("run-1/{n}"), takes[n], state, outcome)
    };
    let done = Some(AttemptOutcome::Done);
    script.heartbeat("vm-1", vec![line(0, done), line(1, None), line(2, None)]);
    // The snapshot holds the first; the second ends after it.
    script.pass(second(4));
    let chunks = script.written.clone();
    assert!(!chunks.is_empty(), "a snapshot was written");
    let commands = script.heartbeat("vm-1", vec![line(0, done), line(1, done), line(2, None)]);
    let clears = |commands: &[Command], n: u32| {
        let clear = |c: &Command| matches!(c, Command::Clear { task, .. } if task.index == n);
        commands.iter().any(clear)
    };
    assert!(clears(&commands, 0) && !clears(&commands, 1));
    let mut next = Script::new(RecoveredState {
        jobs: vec![("run-1".into(), TOKEN + 2, record(spec("blue", 1.0, 3)))],
        roster: vec![roster("vm-1")],
        chunks,
        ..RecoveredState::default()
    });
    next.sequence = script.sequence;
    next.heartbeat("vm-1", vec![line(1, done), line(2, None)]);
    assert!(next.launches().is_empty());
    assert_eq!(next.shard.jobs()["run-1"].done().len(), 2);
    next.heartbeat("vm-1", vec![line(1, done), line(2, done)]);
    assert!(next.shard.jobs()["run-1"].all_done());
}

/// A job bound to one zone loses the machine that its zone was chosen for, while
/// others of its tasks run: what is lost comes back in that zone and no other.
#[test]
fn what_a_one_zone_job_loses_starts_again_in_its_zone_alone() {
    let mut script = Script::new(RecoveredState::default());
    let bound = JobSpec {
        one_zone: true,
        ..spec("blue", 4.0, 3)
    };
    script.heartbeat("vm-1", Vec::new());
    script.heartbeat("vm-2", Vec::new());
    script.submit("run-1", bound);
    obey(&mut script, "vm-1");
    let on = |script: &Script, id: &str| script.machine(id).attempts.len();
    let first = if on(&script, "vm-1") == 1 {
        "vm-1"
    } else {
        "vm-2"
    };
    let other = if first == "vm-1" { "vm-2" } else { "vm-1" };
    assert_eq!((on(&script, first), on(&script, other)), (1, 2));
    // The machine with one task begins a new agent epoch; the south has room.
    let south = |script: &mut Script, heartbeat: &crate::protocol::workers::WorkerHeartbeat| {
        let mut heartbeat = heartbeat.clone();
        script.sequence += 1;
        heartbeat.sequence = script.sequence;
        let outcome = script.shard.heartbeat(&heartbeat, script.now);
        assert!(matches!(outcome, HeartbeatOutcome::Answer(_)));
        script.reconcile();
    };
    let heartbeat = {
        let mut heartbeat = script.heartbeat_of("vm-9", TOKEN, Vec::new());
        heartbeat.zone = "south".into();
        heartbeat
    };
    south(&mut script, &heartbeat);
    let runs = script.running(other).tasks;
    script.heartbeat(other, runs);
    let mut anew = script.heartbeat_of(first, TOKEN, Vec::new());
    anew.agent_epoch = 2;
    script.shard.heartbeat(&anew, script.now);
    script.reconcile();
    let launches = script.launches();
    assert!(
        launches.iter().all(|(id, ..)| &**id != "vm-9"),
        "two of its tasks run in the north"
    );
    for batch in &launches {
        let heartbeat = script.heartbeat_of(&batch.0, TOKEN, Vec::new());
        script.answered(batch, CommandOutcome::Refused(heartbeat));
    }
    script.pass(second(1));
    south(&mut script, &heartbeat);
    assert_eq!(on(&script, "vm-9"), 0);
}

/// A leader ends while a machine with a long task can't be reached, and then hears
/// the new one only by its heartbeats: the task isn't started twice, and once the
/// machine is known to be gone it isn't left waiting.
#[test]
fn a_long_task_behind_a_cut_is_neither_doubled_nor_forgotten() {
    let mut script = Script::new(one_old_job(1, &["vm-1"]));
    script.heartbeat("vm-2", Vec::new());
    let lease = script.shard.policy.worker_lease_bound();
    // Its heartbeats come, under the earlier leader's fencing token; our answers don't arrive.
    let begun = script.now;
    let mut sequence = script.sequence;
    while script.now - begun < lease / 2 {
        for batch in script.batches() {
            script.answered(&batch, CommandOutcome::NoAnswer);
        }
        let runs = vec![listed("run-1/0", 7, TaskState::Running, None)];
        let heartbeat = script.heartbeat_of("vm-1", TOKEN - 1, runs);
        script.shard.heartbeat(&heartbeat, script.now);
        script.heartbeat("vm-2", Vec::new());
        script.pass(second(2));
        assert!(script.launches().is_empty(), "it runs on vm-1");
        sequence = script.sequence;
    }
    // Its agent epoch ends, as its worker tells us under our fencing token at last.
    let mut anew = script.heartbeat_of("vm-1", TOKEN, Vec::new());
    assert!(anew.sequence > sequence);
    anew.agent_epoch = 2;
    script.shard.heartbeat(&anew, script.now);
    script.pass(second(1));
    assert_eq!(script.launches().len(), 1, "it is nowhere now");
}
