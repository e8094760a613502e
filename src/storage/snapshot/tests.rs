use super::*;

#[test]
fn a_large_fragmented_job_is_split_within_the_value_limit() {
    let mut done = TaskSet::default();
    for n in (0..100_000).step_by(2) {
        done.insert(n);
    }
    let placements: Vec<TaskPlacement> = (0..500)
        .map(|n| TaskPlacement {
            index: n * 2 + 1,
            machine: "vm-1".into(),
        })
        .collect();
    for value_bytes in [8192, 2048] {
        let row = SnapshotRow {
            job: "run-1",
            done: &done,
            placements: placements.clone(),
        };
        let chunks = encode([row], value_bytes);
        assert!(chunks.len() > 10);
        for value in chunks.values() {
            assert!(value.to_string().len() <= value_bytes);
        }
        let read = decode(chunks.values());
        assert_eq!(read["run-1"].done, done);
        assert_eq!(read["run-1"].placements.len(), 500);
    }
}
