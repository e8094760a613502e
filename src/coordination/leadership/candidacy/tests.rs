use super::*;

const ZONE: &str = "north";

fn state_with_main_zone(main_zone: Option<&str>) -> NodeState {
    let mut state = NodeState::default();
    state.peers.main_zone = main_zone.map(str::to_owned);
    state
}

#[test]
fn a_candidate_in_the_main_zone_or_with_no_main_zone_known_does_not_wait() {
    let now = Instant::now();
    for main_zone in [None, Some(ZONE)] {
        assert_eq!(
            placement_delay(&state_with_main_zone(main_zone), ZONE, now),
            Duration::ZERO
        );
    }
}

#[test]
fn a_candidate_outside_the_main_zone_waits_longer_without_recent_worker_heartbeats() {
    let heartbeat_at = Instant::now();
    let mut state = state_with_main_zone(Some("south"));
    assert_eq!(
        placement_delay(&state, ZONE, heartbeat_at),
        NO_WORKERS_DELAY
    );
    state
        .worker_heartbeats
        .insert("vm-1".to_owned(), heartbeat_at);
    let last_fresh = heartbeat_at + WORKER_HEARTBEAT_MAX_AGE - Duration::from_millis(1);
    assert_eq!(
        placement_delay(&state, ZONE, last_fresh),
        OUTSIDE_MAIN_ZONE_DELAY
    );
    let first_stale = heartbeat_at + WORKER_HEARTBEAT_MAX_AGE;
    assert_eq!(placement_delay(&state, ZONE, first_stale), NO_WORKERS_DELAY);
}

#[test]
fn an_ineligible_candidate_waits_until_its_ineligibility_expires() {
    let now = Instant::now();
    let until = now + Duration::from_secs(30);
    let mut state = state_with_main_zone(None);
    state.candidacy.ineligible_until = Some(until);
    assert_eq!(placement_delay(&state, ZONE, now), INELIGIBLE_DELAY);
    assert_eq!(placement_delay(&state, ZONE, until), Duration::ZERO);
}
