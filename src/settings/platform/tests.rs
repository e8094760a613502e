use super::*;

pub(crate) const EXAMPLE: &str = r#"{"label":"n0","area":"north","front":"127.0.0.1:0",
    "internal_addr":"127.0.0.1:0","others":[{"label":"n1","area":"south","address":"127.0.0.1:2"}],
    "services":{"cloud":"127.0.0.1:3","state":"127.0.0.1:4"},"later":true,
    "settings":{"zones":["north","south"],
      "teams":[{"name":"red","cpus":8,"cpus_max":16,"gpus":0,"gpus_max":0},
               {"name":"blue","cpus":0,"cpus_max":0,"gpus":0,"gpus_max":0}],
      "objectives":[{"kind":"wait","class":"web","within_s":1.0,"share":0.9}],
      "workers":{"report_s":3.0,"lease_s":27.0,"cancel_s":52.0},
      "state":{"rps":80,"write_rps":25,"value_kb":8,"txn_ops":8},
      "cloud":{"rps":5,"list_lag_s":3},
      "resources":{"cpu":0.2,"ram_mb":100,"max_connections":1000},"skew_ms":25}}"#;

#[test]
fn unknown_fields_are_ignored_and_errors_name_the_invalid_field() {
    assert!(Platform::parse("f", EXAMPLE).is_ok());
    let zero_lease = EXAMPLE.replace("\"lease_s\":27.0", "\"lease_s\":0");
    let error = Platform::parse("f", &zero_lease).expect_err("zero lease");
    assert!(error.to_string().contains("settings.workers.lease_s"));
    let parse_with_next_limits = |limits: &str| {
        let state = format!("\"txn_ops\":8,\"next\":{limits}");
        Platform::parse("f", &EXAMPLE.replace("\"txn_ops\":8", &state))
    };
    let platform =
        parse_with_next_limits(r#"{"value_kb":2,"txn_ops":4,"rps":900}"#).expect("valid limits");
    let strictest = platform.settings.kv.strictest();
    assert_eq!((strictest.value_bytes(), strictest.txn_ops), (2048, 4));
    assert_eq!(
        (strictest.rps, strictest.write_rps),
        (80.0, 25.0),
        "the lower limit applies"
    );
    for (limits, field) in [
        (r#"{"value_kb":0}"#, "settings.state.next.value_kb"),
        (r#"{"txn_ops":1}"#, "settings.state.next.txn_ops"),
    ] {
        let error = parse_with_next_limits(limits).expect_err(field);
        assert!(error.to_string().contains(field));
    }
    let missing = EXAMPLE.replace("\"report_s\":3.0,", "");
    let error = Platform::parse("f", &missing).expect_err("missing");
    assert!(error.to_string().contains("report_s"));
}
