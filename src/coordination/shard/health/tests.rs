use std::time::{Duration, Instant};

use super::{FailedAttempt, FailureEvidence, FailureHistory};
use crate::protocol::{JobId, MachineId};

#[test]
fn the_pause_between_rounds_of_failures_doubles_up_to_a_maximum() {
    let job: JobId = "run-1".into();
    let machine: MachineId = "vm-1".into();
    let mut history = FailureHistory::default();
    let mut now = Instant::now();
    let mut pauses = Vec::new();
    for _ in 0..12 {
        let failure = FailedAttempt {
            job: &job,
            machine: &machine,
            created_at: now,
            run_time: Duration::ZERO,
        };
        now += Duration::from_secs(1);
        pauses.push(history.note_failure(&failure, now));
        assert_eq!(
            history.note_failure(&failure, now),
            None,
            "this attempt belongs to the same round"
        );
        now += Duration::from_secs(1);
    }
    assert_eq!(pauses[0], None, "the first retry follows immediately");
    for (n, pause) in pauses[1..].iter().enumerate() {
        let pause = pause.expect("a pause").as_secs_f64();
        let without_jitter = 2_f64.powi(n as i32).min(60.0);
        assert!((0.75..=1.25).contains(&(pause / without_jitter)), "{pause}");
    }
    assert!(history.is_crash_looping());
    history.note_success();
    assert!(history.is_clear() && !history.is_crash_looping());
    assert!(
        history.has_failed_on(&machine),
        "the job still avoids the machine"
    );
}

#[test]
fn unexplained_failures_quarantine_a_machine_for_a_while_and_sound_jobs_prove_it_faulty() {
    let now = Instant::now();
    let [first, second]: [JobId; 2] = ["run-1".into(), "run-2".into()];
    let mut evidence = FailureEvidence::default();
    evidence.note_failure(&first, false, now);
    assert!(
        !evidence.is_quarantined(now),
        "the job itself may be at fault"
    );
    evidence.note_failure(&second, false, now);
    assert!(evidence.is_quarantined(now));
    assert!(!evidence.is_quarantined(now + Duration::from_secs(61)));
    evidence.mark_job_sound(&first);
    assert!(!evidence.proves_fault());
    evidence.mark_job_sound(&second);
    assert!(evidence.proves_fault());
    assert!(
        !evidence.is_quarantined(now),
        "no failure is unexplained any more"
    );
}
