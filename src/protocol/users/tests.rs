use super::*;

const VALID_SUBMISSION: &str = r#"{"NameId":"run-000412","Repertoire":"train","Section":"vision",
    "Form":"batch","Tempo":"high","Voices":16,"Cores":8.0,"Accelerators":1.0,"MemGb":64.0,
    "Score":"img-07","ImageGb":6.2,"Instruments":["g8"],"OneZone":true,
    "Scatter":false,"Borrowed":true,"DurationS":240.0,"BreathS":30.0,"FermataS":4.0,
    "CurtainS":900.0,"Extra":1}"#;

#[test]
fn a_submission_without_an_optional_field_and_with_an_unknown_one_is_parsed() {
    let Submission { id, spec } =
        parse_submission(VALID_SUBMISSION.as_bytes()).expect("a valid submission");
    assert_eq!(id, "run-000412");
    assert_eq!(spec.zone, None);
    assert_eq!(spec.tasks, 16);
    assert_eq!(spec.deadline_s, Some(900.0));
}

#[test]
fn an_invalid_or_missing_field_is_named_in_the_error() {
    for (valid, invalid, field) in [
        (r#""Voices":16"#, r#""Voices":0"#, "Voices"),
        (
            r#""Voices":16"#,
            r#""Voices":18446744073709551616"#,
            "Voices",
        ),
        (r#""Cores":8.0"#, r#""Cores":-1"#, "Cores"),
        (r#""Cores":8.0"#, r#""Cores":"8""#, "Cores"),
        (r#""Tempo":"high""#, r#""Tempo":"urgent""#, "Tempo"),
        (
            r#""NameId":"run-000412""#,
            r#""NameId":"run-00x""#,
            "NameId",
        ),
        (r#""Section":"vision","#, "", "Section"),
    ] {
        let body = VALID_SUBMISSION.replace(valid, invalid);
        let error = parse_submission(body.as_bytes()).expect_err(invalid);
        assert_eq!(error.field(), Some(field), "{invalid}");
        assert!(
            error.to_string().starts_with(&format!("field {field} is ")),
            "{error}"
        );
    }
    assert_eq!(parse_submission(b"[1]"), Err(Malformed::NotAnObject));
    assert_eq!(
        parse_submission(b"{\"a\":NaN}"),
        Err(Malformed::NotAnObject)
    );
}
