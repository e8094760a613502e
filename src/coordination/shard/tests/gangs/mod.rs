//! Tests of gang scheduling: either all tasks of a gang run at the same time, or none runs.

mod attempts;
mod failover;
mod faults;
mod placement;

use std::time::Duration;

use super::fixtures::spec;
use super::scripted_shard::ScriptedShard;
use crate::protocol::users::{JobKind, JobSpec};
use crate::protocol::workers::TaskState;

fn seconds(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// The spec of a gang that saves a checkpoint every 20 s, each of which takes 4 s to save.
fn gang(tasks: u32, cores: f64) -> JobSpec {
    JobSpec {
        kind: JobKind::Gang,
        checkpoint_s: 20.0,
        save_s: 4.0,
        ..spec("blue", cores, tasks)
    }
}

/// Runs a gang of two tasks, each on its own machine; returns the machines of tasks 0 and 1.
fn run_gang_of_two(script: &mut ScriptedShard) -> (String, String) {
    script.add_machines(&["vm-1", "vm-2"]);
    script.submit("run-1", gang(2, 8.0));
    let mut launches = script.execute_launches();
    launches.sort_by_key(|launch| launch.task);
    let hosts = (launches[0].machine.clone(), launches[1].machine.clone());
    for id in ["vm-1", "vm-2"] {
        script.report_all_in_state(id, TaskState::Running);
    }
    hosts
}
