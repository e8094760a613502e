//! The order of jobs by their deadlines and their classes' service-level objectives.

use std::time::Duration;

use super::fixtures::spec;
use super::scripted_shard::ScriptedShard;
use crate::protocol::users::JobSpec;

/// Found in a burst of jobs: jobs that had missed their deadline waited behind all others, and so
/// also missed each later time limit of the service-level objectives.
#[test]
fn a_late_job_is_due_at_the_next_deadline_that_it_can_meet() {
    let mut script = ScriptedShard::empty();
    script.shard.policy.deadline_multiples = [("sums".to_owned(), vec![1.0, 1.5])].into();
    script.shard.policy.finish_objectives = [("sums".to_owned(), Duration::from_secs(250))].into();
    let job = JobSpec {
        deadline_s: Some(60.0),
        ..spec("red", 1.0, 1)
    };
    script.submit("run-1", job);
    let job = &script.shard.jobs()["run-1"];
    let next_due = |now_ms| script.shard.scheduler_view().next_due(job, now_ms);
    assert_eq!(next_due(1_000), Some(60_000));
    assert_eq!(next_due(60_001), Some(90_000));
    assert_eq!(next_due(90_001), Some(250_000));
    assert_eq!(next_due(250_001), None);
}
