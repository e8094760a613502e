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
