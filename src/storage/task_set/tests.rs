use super::*;

#[test]
fn ranges_survive_a_round_trip() {
    let mut set = TaskSet::default();
    for n in [0, 1, 2, 63, 64, 65, 700, 99_999] {
        assert!(set.insert(n));
    }
    assert!(!set.insert(64));
    let text: Vec<_> = set.ranges().iter().map(format_range).collect();
    let text = text.join(",");
    assert_eq!(text, "0-2,63-65,700,99999");
    let mut read = TaskSet::default();
    assert_eq!(read.insert_ranges(&text, 100_000), Ok(()));
    assert_eq!(read, set);
    assert!(read.iter().eq([0, 1, 2, 63, 64, 65, 700, 99_999]));
    assert_eq!(
        read.insert_ranges("5-x", 100_000),
        Err(RangeError::Malformed {
            range: "5-x".into()
        })
    );
    assert_eq!(
        read.insert_ranges("100000", 100_000),
        Err(RangeError::TooLarge {
            range: "100000".into(),
            max: 99_999
        })
    );
}
