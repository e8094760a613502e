use super::*;

#[test]
fn the_example_file_states_the_defaults() {
    let text = include_str!("../../../deploy/operator.lisp");
    let parsed = Operator::parse("operator.lisp", text).expect("example parses");
    assert_eq!(parsed, Operator::default());
}

#[test]
fn errors_state_the_line_or_the_key() {
    let unknown_key = Operator::parse("o", "((lease-s . 5.0)\n (leese-s . 5.0))")
        .expect_err("unknown key")
        .to_string();
    assert!(unknown_key.contains("leese-s"), "{unknown_key}");
    let syntax_error = Operator::parse("o", "((lease-s . 5.0)\n (")
        .expect_err("unbalanced parenthesis")
        .to_string();
    assert!(syntax_error.contains("line 2"), "{syntax_error}");
    let out_of_range = Operator::parse("o", "((lease-s . 0.5))")
        .expect_err("value out of range")
        .to_string();
    assert!(out_of_range.contains("lease-s"), "{out_of_range}");
}

#[test]
fn a_key_and_its_alias_set_the_same_value() {
    let parse = |text: &str| Operator::parse("o", text).expect(text);
    for (key, alias) in [
        ("abandon-late-s", "declare-dead-late-s"),
        ("guarantee-hold-s", "quota-hold-s"),
        ("refused-s", "scale-out-retry-s"),
        ("keep-alone-s", "advance-delegation-s"),
    ] {
        let by_key = parse(&format!("(({key} . 77.0))"));
        let by_alias = parse(&format!("(({alias} . 77.0))"));
        assert_eq!(by_key, by_alias, "{key}");
        assert_ne!(by_key, Operator::default(), "{key}");

        let key_and_alias = format!("(({key} . 77.0) ({alias} . 77.0))");
        let error = Operator::parse("o", &key_and_alias)
            .expect_err(&key_and_alias)
            .to_string();
        assert!(error.contains(key), "{error}");

        let printed = serde_lexpr::to_string(&by_alias).expect("prints");
        assert!(printed.contains(&format!("({key} . 77.0)")), "{printed}");
        assert!(!printed.contains(alias), "{printed}");

        let out_of_range = format!("(({alias} . -1.0))");
        let error = Operator::parse("o", &out_of_range)
            .expect_err(&out_of_range)
            .to_string();
        assert!(error.contains(&format!("field {key}:")), "{error}");
    }
}

#[test]
fn the_example_file_names_every_alias() {
    let text = include_str!("../../../deploy/operator.lisp");
    for alias in [
        "declare-dead-late-s",
        "quota-hold-s",
        "scale-out-retry-s",
        "advance-delegation-s",
    ] {
        assert!(text.contains(alias), "{alias}");
    }
}
