use super::*;

fn answer(status: StatusCode, body: &'static str) -> Answer {
    Answer {
        status,
        body: body.into(),
    }
}

#[test]
fn a_503_is_a_refusal_only_for_want_of_capacity() {
    let refused = answer(
        StatusCode::SERVICE_UNAVAILABLE,
        r#"{"Error":"no capacity"}"#,
    );
    assert!(matches!(refusal(&refused), CloudError::NoCapacity));
    let failing = answer(StatusCode::SERVICE_UNAVAILABLE, r#"{"Error":"try later"}"#);
    assert!(matches!(
        refusal(&failing),
        CloudError::Unavailable(StatusCode::SERVICE_UNAVAILABLE)
    ));
}

#[test]
fn only_a_400_means_that_the_request_is_malformed() {
    let malformed = answer(StatusCode::BAD_REQUEST, "no capacity");
    assert!(matches!(refusal(&malformed), CloudError::Malformed));
    for status in [StatusCode::NOT_FOUND, StatusCode::INTERNAL_SERVER_ERROR] {
        let found = refusal(&answer(status, "no capacity"));
        assert!(matches!(found, CloudError::Unavailable(s) if s == status));
    }
}
