//! Jobs submitted with a mistake fail on every machine; faulty machines fail sound jobs.

use std::time::Duration;

use super::fixtures::{self, policy, record};
use super::script::{Script, TOKEN, listed, stops};
use crate::coordination::shard::{CommandOutcome, Policy, RecoveredState};
use crate::protocol::AttemptId;
use crate::protocol::users::{JobKind, JobSpec, Stage};
use crate::protocol::workers::{AttemptOutcome, Command, TaskState, TaskStatus, WorkerHeartbeat};

const MACHINES: [&str; 6] = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"];

/// A job that needn't wait for spot machines.
fn spec(team: &str, cores: f64, tasks: u32) -> JobSpec {
    JobSpec {
        spot: false,
        ..fixtures::spec(team, cores, tasks)
    }
}

/// Machines that are up, and nothing else.
fn cluster(machines: &[&str]) -> Script {
    let mut script = Script::without_guarantees();
    script.shard.policy.idle = Duration::from_secs(86_400);
    // One heartbeat admits a machine, the next finds it open.
    for id in machines.iter().chain(machines) {
        script.heartbeat(id, Vec::new());
    }
    script
}

/// How the tasks of a job go.
type Outcome = dyn Fn(&str, &str) -> TaskState;

/// A heartbeat in which each attempt on the machine has come to what a rule says.
fn heartbeat_by(script: &mut Script, id: &str, rule: &Outcome) -> WorkerHeartbeat {
    // What has ended and may be cleared is cleared before the next heartbeat.
    let listed_still = script
        .machine(id)
        .attempts
        .iter()
        .filter(|(_, a)| !a.ended());
    let keys: Vec<_> = listed_still.map(|(key, _)| key.clone()).collect();
    let tasks: Vec<TaskStatus> = keys
        .into_iter()
        .map(|AttemptId { task, number }| {
            let state = rule(&task.job, id);
            let outcome = (state == TaskState::Ended).then_some(AttemptOutcome::Error);
            listed(&task.to_string(), number, state, outcome)
        })
        .collect();
    script.heartbeat_of(id, TOKEN, tasks)
}

/// Lets a second pass in which all commands are executed, and every machine heartbeats;
/// returns the launches.
fn second(script: &mut Script, machines: &[&str], rule: &Outcome) -> usize {
    let mut launched = 0;
    for batch in script.batches() {
        let launch = |command: &&Command| matches!(command, Command::Launch { .. });
        launched += batch.2.iter().filter(launch).count();
        let heartbeat = heartbeat_by(script, &batch.0, rule);
        script.answered(&batch, CommandOutcome::Executed(heartbeat));
    }
    for id in machines {
        if script.shard.machines().contains(id) && !script.machine(id).deleting {
            let heartbeat = heartbeat_by(script, id, rule);
            script.shard.heartbeat(&heartbeat, script.now);
        }
    }
    script.pass(Duration::from_secs(1));
    launched
}

fn fails_everywhere(job: &str, _: &str) -> TaskState {
    if job.starts_with("run-9") {
        TaskState::Ended
    } else {
        TaskState::Running
    }
}

fn complete(script: &mut Script, id: &str) {
    let keys: Vec<_> = script.machine(id).attempts.keys().cloned().collect();
    let tasks = keys
        .into_iter()
        .map(|AttemptId { task, number }| {
            let done = Some(AttemptOutcome::Done);
            listed(&task.to_string(), number, TaskState::Ended, done)
        })
        .collect();
    let heartbeat = script.heartbeat_of(id, TOKEN, tasks);
    script.shard.heartbeat(&heartbeat, script.now);
    script.reconcile();
}

/// Found by reading: a machine was given up once any two jobs had failed on it, and a
/// job counted until it had failed on three machines.
#[test]
fn jobs_that_fail_everywhere_cost_no_machine() {
    let mut script = cluster(&MACHINES);
    script.submit("run-1", spec("blue", 1.0, 6));
    script.submit("run-91", spec("blue", 1.0, 12));
    script.submit("run-92", spec("blue", 1.0, 12));
    for _ in 0..300 {
        second(&mut script, &MACHINES, &fails_everywhere);
    }
    let cordoned = |id: &&&str| script.machine(id).cordoned;
    assert_eq!(MACHINES.iter().filter(cordoned).count(), 0);
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 6);
    script.submit("run-2", spec("blue", 1.0, 20));
    second(&mut script, &MACHINES, &fails_everywhere);
    assert_eq!(script.shard.jobs()["run-2"].live().len(), 20);
}

#[test]
fn a_job_that_fails_everywhere_is_tried_ever_more_rarely_and_never_given_up() {
    let mut script = cluster(&MACHINES);
    script.submit("run-9", spec("blue", 1.0, 24));
    let mut tries = Vec::new();
    for _ in 0..4 {
        let minute = (0..90).map(|_| second(&mut script, &MACHINES, &fails_everywhere));
        tries.push(minute.sum::<usize>());
    }
    // All of its tasks at first, and once more elsewhere; then two at a time, at pauses
    // that double up to 75 s: seven of them fit the first spell at the most.
    assert!((24..=62).contains(&tries[0]), "{tries:?}");
    assert!((2..=6).contains(&tries[2]), "{tries:?}");
    assert!((2..=6).contains(&tries[3]), "{tries:?}");
}

#[test]
fn a_job_that_failed_everywhere_completes_once_it_is_mended() {
    let mut script = cluster(&MACHINES);
    script.submit("run-9", spec("blue", 1.0, 24));
    for _ in 0..100 {
        second(&mut script, &MACHINES, &fails_everywhere);
    }
    assert!(script.shard.jobs()["run-9"].is_suspect());
    let works = |_: &str, _: &str| TaskState::Running;
    let tried = (0..80).any(|_| second(&mut script, &MACHINES, &works) > 0);
    assert!(tried);
    second(&mut script, &MACHINES, &works);
    for id in MACHINES {
        complete(&mut script, id);
    }
    second(&mut script, &MACHINES, &works);
    let job = &script.shard.jobs()["run-9"];
    assert_eq!(job.live().len() + job.done().len() as usize, 24);
}

#[test]
fn a_machine_that_fails_sound_jobs_gets_no_more_work_and_goes_back() {
    let mut script = cluster(&MACHINES);
    let faulty = |_: &str, machine: &str| match machine {
        "vm-1" => TaskState::Ended,
        _ => TaskState::Running,
    };
    for n in 0..12 {
        script.submit(&format!("run-{n}"), spec("blue", 4.0, 1));
    }
    for _ in 0..3 {
        second(&mut script, &MACHINES, &faulty);
    }
    let machine = script.machine("vm-1");
    assert!(!machine.cordoned, "the jobs may be at fault");
    assert!(!machine.open(script.now, &script.shard.policy));
    for id in &MACHINES[1..] {
        complete(&mut script, id);
    }
    for _ in 0..3 {
        second(&mut script, &MACHINES, &faulty);
    }
    for id in &MACHINES[1..] {
        complete(&mut script, id);
    }
    second(&mut script, &MACHINES, &faulty);
    assert!(script.machine("vm-1").deleting, "sound jobs failed there");
}

/// One machine of many is at fault: the tasks that it failed run elsewhere at once.
#[test]
fn tasks_that_fail_together_on_one_machine_are_tried_elsewhere_at_once() {
    let mut script = cluster(&MACHINES);
    script.submit("run-1", spec("blue", 1.0, 24));
    let faulty = |_: &str, machine: &str| match machine {
        "vm-1" => TaskState::Ended,
        _ => TaskState::Running,
    };
    for _ in 0..4 {
        second(&mut script, &MACHINES, &faulty);
    }
    assert_eq!(script.shard.jobs()["run-1"].live().len(), 24);
}

/// A service never completes: a replica that has run for longer than any that failed
/// shows that the others failed for their machines' sake.
#[test]
fn a_service_with_a_running_replica_does_not_fail_everywhere() {
    let mut script = cluster(&MACHINES);
    let service = JobSpec {
        kind: JobKind::Service,
        ..spec("blue", 4.0, 8)
    };
    script.submit("run-1", service);
    let faulty = |_: &str, machine: &str| match machine {
        "vm-1" | "vm-2" | "vm-3" => TaskState::Ended,
        _ => TaskState::Running,
    };
    for _ in 0..20 {
        second(&mut script, &MACHINES, &faulty);
    }
    let job = &script.shard.jobs()["run-1"];
    assert!(!job.is_suspect());
    assert_eq!(job.live().len(), 6, "all the room on sound machines");
}

#[test]
fn a_job_that_fails_everywhere_holds_no_room_for_a_guarantee_and_rents_nothing() {
    let policy = Policy {
        advance_delegation: Duration::ZERO,
        ..policy()
    };
    let mut script = Script::under(policy, RecoveredState::default());
    for id in MACHINES.iter().chain(&MACHINES) {
        script.heartbeat(id, Vec::new());
    }
    // Its team is guaranteed eight cores; what waits would attempt_number all machines and more.
    script.submit("run-9", spec("red", 4.0, 40));
    for _ in 0..60 {
        second(&mut script, &MACHINES, &fails_everywhere);
    }
    script.rentals();
    for _ in 0..120 {
        second(&mut script, &MACHINES, &fails_everywhere);
    }
    assert_eq!(script.rentals(), []);
    let kept = MACHINES
        .iter()
        .filter(|id| script.shard.machines().contains(id));
    let kept = kept.filter(|id| !script.machine(id).deleting).count();
    assert!(kept <= 1, "{kept} machines are kept for tries");
}

#[test]
fn a_cancelled_job_that_failed_everywhere_is_stopped_also_amid_a_try() {
    let mut script = cluster(&MACHINES);
    script.submit("run-9", spec("blue", 1.0, 24));
    for _ in 0..60 {
        second(&mut script, &MACHINES, &fails_everywhere);
    }
    let fetches = |_: &str, _: &str| TaskState::Fetching;
    let tried = (0..80).any(|_| second(&mut script, &MACHINES, &fetches) > 0);
    assert!(tried);
    assert!(!script.shard.jobs()["run-9"].live().is_empty());
    script.shard.job_finished("run-9", Some(Stage::Cancelled));
    script.reconcile();
    let told: Vec<Command> = script
        .batches()
        .into_iter()
        .flat_map(|batch| batch.2)
        .collect();
    assert!(stops(&told) > 0);
    for id in MACHINES {
        script.heartbeat(id, Vec::new());
    }
    assert!(!script.shard.jobs().contains_key("run-9"));
}

/// What an earlier leader knew of failures is lost with it: the next one finds out anew,
/// and the job is still there.
#[test]
fn a_job_that_fails_everywhere_outlives_a_change_of_leader() {
    let mut script = Script::new(RecoveredState {
        jobs: vec![("run-9".into(), 5, record(spec("blue", 1.0, 24)))],
        ..RecoveredState::default()
    });
    for id in MACHINES.iter().chain(&MACHINES) {
        script.heartbeat(id, Vec::new());
    }
    for _ in 0..60 {
        second(&mut script, &MACHINES, &fails_everywhere);
    }
    let job = &script.shard.jobs()["run-9"];
    assert!(job.is_suspect());
    assert_eq!(job.waiting() + job.live().len() as u32, 24);
}
