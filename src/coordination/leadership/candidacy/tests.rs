use super::*;

const ZONE: &str = "north";

fn state(main_zone: Option<&str>) -> NodeState {
    let mut state = NodeState::default();
    state.peers.main_zone = main_zone.map(str::to_owned);
    state
}

#[test]
fn a_candidate_in_the_main_zone_or_without_a_known_one_tries_at_once() {
    let now = Instant::now();
    for main_zone in [None, Some(ZONE)] {
        assert_eq!(
            placement_delay(&state(main_zone), ZONE, now),
            Duration::ZERO
        );
    }
}

#[test]
fn a_far_candidate_gives_way_and_for_longer_without_recent_workers() {
    let seen = Instant::now();
    let mut state = state(Some("south"));
    assert_eq!(placement_delay(&state, ZONE, seen), NO_WORKERS_DELAY);
    state.workers.insert("vm-1".to_owned(), seen);
    let last_moment = seen + WORKER_REACHES_WITHIN - Duration::from_millis(1);
    assert_eq!(placement_delay(&state, ZONE, last_moment), FAR_ZONE_DELAY);
    let after = seen + WORKER_REACHES_WITHIN;
    assert_eq!(placement_delay(&state, ZONE, after), NO_WORKERS_DELAY);
}

#[test]
fn an_ineligible_candidate_gives_way_to_all_until_its_time_is_over() {
    let now = Instant::now();
    let until = now + Duration::from_secs(30);
    let mut state = state(None);
    state.candidacy.ineligible_until = Some(until);
    assert_eq!(placement_delay(&state, ZONE, now), INELIGIBLE_DELAY);
    assert_eq!(placement_delay(&state, ZONE, until), Duration::ZERO);
}
