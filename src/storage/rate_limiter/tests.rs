use super::*;

#[test]
fn after_a_burst_permits_are_delayed_and_too_long_waits_are_refused() {
    let limiter = RateLimiter::new(10.0, Duration::from_millis(300));
    let start = Instant::now();
    let mut now = start;
    assert_eq!(limiter.reserve(now), Ok(Duration::ZERO));
    now += Duration::from_secs(60);
    for _ in 0..11 {
        assert_eq!(limiter.reserve(now), Ok(Duration::ZERO));
    }
    for wait in [100, 200, 300] {
        assert_eq!(limiter.reserve(now), Ok(Duration::from_millis(wait)));
    }
    let refused = RateLimited {
        wait: Duration::from_millis(400),
        max_wait: Duration::from_millis(300),
    };
    assert_eq!(limiter.reserve(now), Err(refused));
    assert_eq!(limiter.delay(now), Duration::from_millis(400));
    now += Duration::from_millis(400);
    assert_eq!(limiter.reserve(now), Ok(Duration::ZERO));
}
