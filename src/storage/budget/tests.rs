use super::*;

#[test]
fn a_burst_passes_then_turns_wait_and_too_long_waits_are_refused() {
    let turns = Turns::new(10.0, Duration::from_millis(300));
    let start = Instant::now();
    let mut now = start;
    assert_eq!(turns.take(now), Some(Duration::ZERO));
    now += Duration::from_secs(60);
    for _ in 0..11 {
        assert_eq!(turns.take(now), Some(Duration::ZERO));
    }
    for wait in [100, 200, 300] {
        assert_eq!(turns.take(now), Some(Duration::from_millis(wait)));
    }
    assert_eq!(turns.take(now), None);
    assert_eq!(turns.queue(now), Duration::from_millis(400));
    now += Duration::from_millis(400);
    assert_eq!(turns.take(now), Some(Duration::ZERO));
}
