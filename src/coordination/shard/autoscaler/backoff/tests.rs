use super::*;

/// Found at full size with eighteen kinds of machines: the cheap kinds had no capacity left, and
/// requesting them again every 15 s left no time to request the other kinds.
#[test]
fn the_backoff_doubles_with_each_consecutive_shortage_up_to_a_maximum() {
    let start = Instant::now();
    let first_backoff = Duration::from_secs(15);
    let kind = MachineKind {
        machine_type: "m8".into(),
        zone: "north".into(),
        spot: true,
    };
    let mut backoff = CapacityBackoff::default();
    assert!(!backoff.is_active(&kind, start));
    let mut now = start;
    for factor in [1, 2, 4, 8, 8] {
        backoff.record_shortage(kind.clone(), first_backoff, now);
        now += first_backoff * factor;
        assert!(backoff.is_active(&kind, now - Duration::from_secs(1)));
        assert!(!backoff.is_active(&kind, now));
    }
    backoff.reset(&kind);
    backoff.record_shortage(kind.clone(), first_backoff, now);
    assert!(
        !backoff.is_active(&kind, now + first_backoff),
        "the first shortage after a reset does not double the backoff"
    );
}
