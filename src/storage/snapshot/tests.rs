use super::*;

#[test]
fn a_large_fragmented_job_is_split_within_the_value_limit() {
    let mut done = TaskSet::default();
    for n in (0..100_000).step_by(2) {
        done.insert(n);
    }
    let placed: Vec<(u32, String)> = (0..500).map(|n| (n * 2 + 1, "vm-1".into())).collect();
    for most in [8192, 2048] {
        let chunks = encode([("run-1", &done, placed.clone())].into_iter(), most);
        assert!(chunks.len() > 10);
        for value in chunks.values() {
            assert!(value.to_string().len() <= most);
        }
        let read = decode(chunks.values());
        assert_eq!(read["run-1"].done, done);
        assert_eq!(read["run-1"].placed.len(), 500);
    }
}
