use super::*;

#[test]
fn the_example_file_states_the_defaults() {
    let text = include_str!("../../../deploy/operator.lisp");
    let parsed = Operator::parse("operator.lisp", text).expect("example parses");
    assert_eq!(parsed, Operator::default());
}

#[test]
fn mistakes_are_located() {
    let unknown = Operator::parse("o", "((lease-s . 5.0)\n (leese-s . 5.0))")
        .expect_err("unknown key")
        .to_string();
    assert!(unknown.contains("leese-s"), "{unknown}");
    let broken = Operator::parse("o", "((lease-s . 5.0)\n (")
        .expect_err("broken")
        .to_string();
    assert!(broken.contains("line 2"), "{broken}");
    let range = Operator::parse("o", "((lease-s . 0.5))")
        .expect_err("range")
        .to_string();
    assert!(range.contains("lease-s"), "{range}");
}

#[test]
fn a_key_and_its_alias_set_the_same_value() {
    let parsed = |text: &str| Operator::parse("o", text).expect(text);
    for (key, alias) in [
        ("abandon-late-s", "declare-dead-late-s"),
        ("guarantee-hold-s", "quota-hold-s"),
        ("refused-s", "scale-out-retry-s"),
        ("keep-alone-s", "advance-delegation-s"),
    ] {
        let by_key = parsed(&format!("(({key} . 77.0))"));
        let by_alias = parsed(&format!("(({alias} . 77.0))"));
        assert_eq!(by_key, by_alias, "{key}");
        assert_ne!(by_key, Operator::default(), "{key}");

        let both = format!("(({key} . 77.0) ({alias} . 77.0))");
        let error = Operator::parse("o", &both).expect_err(&both).to_string();
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
