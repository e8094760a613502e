use super::*;

#[test]
fn frames_survive_a_round_trip_and_rubbish_is_refused() {
    let request = PeerRequest::Forward {
        method: "GET".into(),
        path: "/v1/jobs/run-1".into(),
        body: vec![1, 2, 3],
    };
    let bytes = encode_request(&request);
    assert!(matches!(
        decode_request(&bytes),
        Some(PeerRequest::Forward { path, .. }) if path == "/v1/jobs/run-1"
    ));
    assert!(decode_request(b"rubbish").is_none());
    assert!(decode_answer(&[]).is_none());
}
