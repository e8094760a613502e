use super::*;

#[test]
fn ranges_survive_a_round_trip() {
    let mut set = TaskSet::default();
    for n in [0, 1, 2, 63, 64, 65, 700, 99_999] {
        assert!(set.insert(n));
    }
    assert!(!set.insert(64));
    let text: Vec<_> = set.ranges().into_iter().map(write_range).collect();
    let text = text.join(",");
    assert_eq!(text, "0-2,63-65,700,99999");
    let mut read = TaskSet::default();
    assert!(read.read_ranges(&text, 100_000));
    assert_eq!(read, set);
    assert!(!read.read_ranges("5-x", 100_000));
    assert!(!read.read_ranges("100000", 100_000));
}
