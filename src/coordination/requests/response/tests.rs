use super::super::admission::LimitedResource;
use super::*;

fn assert_response(response: UserResponse, status: u16, body: &str) {
    assert_eq!(response.status, status);
    assert_eq!(String::from_utf8_lossy(&response.body), body);
}

#[test]
fn inadmissible_jobs_are_answered_with_the_published_texts() {
    let expected = [
        (
            Inadmissible::UnknownTeam,
            r#"{"error":"unknown team","field":"Section"}"#,
        ),
        (
            Inadmissible::NoMachineTypeFits,
            r#"{"error":"a task fits no allowed machine type","field":"Instruments"}"#,
        ),
        (
            Inadmissible::OverQuotaLimit(LimitedResource::Cores),
            r#"{"error":"more than the team's limit","field":"Cores"}"#,
        ),
        (
            Inadmissible::OverQuotaLimit(LimitedResource::Accelerators),
            r#"{"error":"more than the team's limit","field":"Accelerators"}"#,
        ),
        (
            Inadmissible::RecordTooLarge,
            r#"{"error":"the job's description is too long to be kept","field":"Instruments"}"#,
        ),
    ];
    for (reason, body) in expected {
        assert_response(reason.into(), 422, body);
    }
}

#[test]
fn job_states_are_answered_with_the_published_fields() {
    let counts = |done, running| TaskCounts { done, running };
    assert_response(
        UserResponse::accepted("run-1"),
        201,
        r#"{"NameId":"run-1","Stage":"pending"}"#,
    );
    assert_response(
        UserResponse::after_cancellation("run-1", JobStage::Cancelled),
        200,
        r#"{"NameId":"run-1","Stage":"cancelled"}"#,
    );
    assert_response(
        UserResponse::unfinished_job("run-1", counts(2, 0)),
        200,
        r#"{"NameId":"run-1","Stage":"pending","done":2,"running":0}"#,
    );
    assert_response(
        UserResponse::unfinished_job("run-1", counts(2, 1)),
        200,
        r#"{"NameId":"run-1","Stage":"running","done":2,"running":1}"#,
    );
    assert_response(
        UserResponse::finished_job("run-1", JobStage::Done, 7),
        200,
        r#"{"NameId":"run-1","Stage":"done","done":7,"running":0}"#,
    );
    assert_response(
        UserResponse::finished_job("run-1", JobStage::Cancelled, 7),
        200,
        r#"{"NameId":"run-1","Stage":"cancelled","done":0,"running":0}"#,
    );
}

#[test]
fn requests_that_are_refused_or_fail_are_answered_with_the_published_texts() {
    assert_response(
        InvalidRequest::ImpossibleJobId.into(),
        404,
        r#"{"error":"no such job"}"#,
    );
    assert_response(
        InvalidRequest::Malformed(crate::protocol::users::Malformed::Missing { field: "Cores" })
            .into(),
        400,
        r#"{"error":"field Cores is missing","field":"Cores"}"#,
    );
    assert_response(
        InvalidRequest::Malformed(crate::protocol::users::Malformed::NotAnObject).into(),
        400,
        r#"{"error":"the body is not a JSON object","field":null}"#,
    );
    assert_response(
        UserResponse::store_unavailable(),
        503,
        r#"{"error":"the state service does not answer"}"#,
    );
}
