use super::*;

#[test]
fn frames_round_trip_and_invalid_bytes_are_rejected() {
    let request = PeerRequest::Forward {
        method: "GET".into(),
        path: "/v1/jobs/run-1".into(),
        body: vec![1, 2, 3],
    };
    let bytes = request.encode();
    assert!(matches!(
        PeerRequest::decode(&bytes),
        Ok(PeerRequest::Forward { path, .. }) if path == "/v1/jobs/run-1"
    ));
    let error = PeerRequest::decode(b"rubbish").expect_err("not a frame");
    assert_eq!(
        error.to_string(),
        "cannot decode 7 bytes as a PeerRequest frame"
    );
    assert!(std::error::Error::source(&error).is_some());
    assert!(PeerAnswer::decode(&[]).is_err());
}
