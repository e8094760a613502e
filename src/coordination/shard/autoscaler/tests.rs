use super::*;

/// Found at full size: with eighteen kinds of which the cheap ones were used
/// up, asking these again every 15 s left no time to ask for the others.
#[test]
fn a_kind_that_is_used_up_is_left_alone_for_longer_each_time() {
    let start = Instant::now();
    let pause = Duration::from_secs(15);
    let kind = MachineKind {
        machine_type: "m8".into(),
        zone: "north".into(),
        spot: true,
    };
    let mut autoscaler = Autoscaler::default();
    assert!(!autoscaler.refuses(&kind, start));
    let mut now = start;
    for times in [1, 2, 4, 8, 8] {
        autoscaler.note_refusal(kind.clone(), pause, now);
        now += pause * times;
        assert!(autoscaler.refuses(&kind, now - Duration::from_secs(1)));
        assert!(!autoscaler.refuses(&kind, now));
    }
    autoscaler.refused.remove(&kind);
    autoscaler.note_refusal(kind.clone(), pause, now);
    assert!(
        !autoscaler.refuses(&kind, now + pause),
        "some were to be had since"
    );
}
