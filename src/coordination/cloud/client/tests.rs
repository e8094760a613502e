use super::*;

fn answer(status: StatusCode, body: &'static str) -> Answer {
    Answer {
        status,
        body: body.into(),
    }
}

#[test]
fn a_503_means_no_capacity_only_if_its_body_says_so() {
    let refused = answer(
        StatusCode::SERVICE_UNAVAILABLE,
        r#"{"Error":"no capacity"}"#,
    );
    assert!(matches!(classify_error(&refused), CloudError::NoCapacity));
    let unavailable = answer(StatusCode::SERVICE_UNAVAILABLE, r#"{"Error":"try later"}"#);
    assert!(matches!(
        classify_error(&unavailable),
        CloudError::Unavailable(StatusCode::SERVICE_UNAVAILABLE)
    ));
}

#[test]
fn only_a_400_means_that_the_request_is_malformed() {
    let malformed = answer(StatusCode::BAD_REQUEST, "no capacity");
    assert!(matches!(classify_error(&malformed), CloudError::Malformed));
    for status in [StatusCode::NOT_FOUND, StatusCode::INTERNAL_SERVER_ERROR] {
        let error = classify_error(&answer(status, "no capacity"));
        assert!(matches!(error, CloudError::Unavailable(s) if s == status));
    }
}
