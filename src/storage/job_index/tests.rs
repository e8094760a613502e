use serde_json::json;

use super::*;

fn put(key: &str, value: serde_json::Value) -> WatchEvent {
    WatchEvent::Put {
        key: key.to_owned(),
        value,
        mod_revision: 1,
    }
}

#[test]
fn a_job_goes_from_open_to_over_and_old_final_states_are_forgotten() {
    let job_index = JobIndex::new(Duration::ZERO);
    assert_eq!(job_index.find("run-1"), JobStatus::Unknown);
    let open = keys::job("run-1");
    job_index.index().take(vec![put(&open, json!({}))], 5);
    assert_eq!(job_index.find("run-1"), JobStatus::Open);
    assert_eq!(job_index.final_state("run-1"), None);
    job_index.index().take(
        vec![WatchEvent::Delete {
            key: open,
            mod_revision: 6,
        }],
        6,
    );
    assert_eq!(
        job_index.find("run-1"),
        JobStatus::Unknown,
        "its record tells"
    );
    job_index.index().remember("run-1", Stage::Done, 3, 6);
    assert_eq!(job_index.find("run-1"), JobStatus::Finished(Stage::Done, 3));
    for n in 0..MOST_FINAL {
        job_index
            .index()
            .remember(&format!("run-9{n}"), Stage::Done, 1, 7);
    }
    assert_eq!(job_index.find("run-1"), JobStatus::Unknown);
    assert_eq!(job_index.index().finished.len(), MOST_FINAL);
}

#[test]
fn a_reload_drops_what_is_not_open_any_more() {
    let job_index = JobIndex::new(Duration::ZERO);
    job_index
        .index()
        .take(vec![put(&keys::job("run-1"), json!({}))], 5);
    job_index.index().load(&[], 9);
    assert_eq!(job_index.find("run-1"), JobStatus::Unknown);
    assert_eq!(job_index.index().revision, Some(9));
}
