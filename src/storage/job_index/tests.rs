use serde_json::json;

use super::state::MAX_FINAL_STATES;
use super::*;

fn put(key: &str, value: serde_json::Value) -> WatchEvent {
    WatchEvent::Put {
        key: key.to_owned(),
        value,
        mod_revision: 1,
    }
}

fn done(tasks: u32) -> FinalState {
    FinalState {
        stage: JobStage::Done,
        tasks,
    }
}

#[test]
fn a_job_changes_from_open_to_finished_and_old_final_states_are_dropped() {
    let job_index = JobIndex::new(Duration::ZERO);
    assert_eq!(job_index.status("run-1"), JobStatus::Unknown);
    let key = keys::job("run-1");
    job_index.apply(vec![put(&key, json!({}))], 5);
    assert_eq!(job_index.status("run-1"), JobStatus::Open);
    assert_eq!(job_index.final_state("run-1"), None);
    job_index.apply(
        vec![WatchEvent::Delete {
            key,
            mod_revision: 6,
        }],
        6,
    );
    assert_eq!(
        job_index.status("run-1"),
        JobStatus::Unknown,
        "only its final record tells how it ended"
    );
    job_index.state().record_final("run-1", done(3), 6);
    assert_eq!(job_index.status("run-1"), JobStatus::Finished(done(3)));
    for n in 0..MAX_FINAL_STATES {
        job_index
            .state()
            .record_final(&format!("run-9{n}"), done(1), 7);
    }
    assert_eq!(job_index.status("run-1"), JobStatus::Unknown);
    assert_eq!(job_index.state().finished_len(), MAX_FINAL_STATES);
}

#[test]
fn a_reload_drops_jobs_that_are_not_open_any_more() {
    let job_index = JobIndex::new(Duration::ZERO);
    job_index.apply(vec![put(&keys::job("run-1"), json!({}))], 5);
    job_index.state().load(&[], 9);
    assert_eq!(job_index.status("run-1"), JobStatus::Unknown);
    assert_eq!(job_index.revision(), Some(9));
}

#[test]
fn cancellations_are_listed_by_revision_until_the_oldest_are_dropped() {
    let job_index = JobIndex::new(Duration::ZERO);
    let cancelled = |number: u64| CancelledJob {
        job: format!("run-{number}"),
        revision: number,
    };
    job_index.record_cancelled(vec![cancelled(8), cancelled(5)]);
    assert_eq!(
        job_index.cancelled_after(4),
        Some(vec![cancelled(5), cancelled(8)])
    );
    assert_eq!(job_index.cancelled_after(5), Some(vec![cancelled(8)]));
    job_index.record_cancelled((100..2_099).map(cancelled).collect());
    assert_eq!(job_index.cancelled_after(4), None, "5 was dropped");
    assert_eq!(
        job_index.cancelled_after(5).map(|jobs| jobs.len()),
        Some(2_000)
    );
}

/// Guards against `ran_cancelled`: a controller that had cancelled a job renewed the leases of its
/// tasks, since a catch-up read sent before was applied afterwards.
#[test]
fn a_cancelled_job_does_not_open_again_by_a_read_sent_before() {
    let job_index = JobIndex::new(Duration::ZERO);
    job_index.state().record_cancelled("run-1", 6);
    job_index.apply(vec![put(&keys::job("run-1"), json!({}))], 5);
    assert!(!job_index.is_open("run-1"));
}

/// A controller's own cancellations stay listed for the others although the store no longer has the
/// changes and the open jobs are listed anew.
#[test]
fn cancellations_stay_listed_after_a_reload() {
    let job_index = JobIndex::new(Duration::ZERO);
    job_index.apply(vec![put(&keys::job("run-1"), json!({}))], 5);
    job_index.state().record_cancelled("run-1", 6);
    job_index.state().load(&[], 9);
    let listed = job_index.cancelled_after(5).expect("a complete list");
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0].revision, 6);
}
