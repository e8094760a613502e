use super::*;

/// Found at full size: with eighteen kinds of which the cheap ones were used up,
/// requesting these again every 15 s left no time to request the others.
#[test]
fn a_kind_that_is_used_up_is_left_alone_for_longer_each_time() {
    let start = Instant::now();
    let pause = Duration::from_secs(15);
    let kind = MachineKind {
        machine_type: "m8".into(),
        zone: "north".into(),
        spot: true,
    };
    let mut backoff = CapacityBackoff::default();
    assert!(!backoff.is_active(&kind, start));
    let mut now = start;
    for times in [1, 2, 4, 8, 8] {
        backoff.record_shortage(kind.clone(), pause, now);
        now += pause * times;
        assert!(backoff.is_active(&kind, now - Duration::from_secs(1)));
        assert!(!backoff.is_active(&kind, now));
    }
    backoff.reset(&kind);
    backoff.record_shortage(kind.clone(), pause, now);
    assert!(
        !backoff.is_active(&kind, now + pause),
        "some were to be had since"
    );
}
