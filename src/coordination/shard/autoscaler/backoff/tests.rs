use super::*;

/// Found at full size: with eighteen kinds of which the cheap ones were used up,
/// requesting these again every 15 s left no time to request the others.
#[test]
fn the_pause_doubles_with_each_shortage_in_a_row() {
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
        "machines were available since"
    );
}
