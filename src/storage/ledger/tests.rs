use serde_json::json;

use super::*;

fn put(key: &str, value: serde_json::Value) -> News {
    News::Put {
        key: key.to_owned(),
        value,
        version: 1,
    }
}

#[test]
fn a_job_goes_from_open_to_over_and_old_final_states_are_forgotten() {
    let ledger = Ledger::new(Duration::ZERO);
    assert_eq!(ledger.find("run-1"), Known::Unclear);
    let open = keys::job("run-1");
    ledger.book().take(vec![put(&open, json!({}))], 5);
    assert_eq!(ledger.find("run-1"), Known::Open);
    assert_eq!(ledger.final_state("run-1"), None);
    ledger.book().take(
        vec![News::Delete {
            key: open,
            version: 6,
        }],
        6,
    );
    assert_eq!(ledger.find("run-1"), Known::Unclear, "its record tells");
    ledger.book().remember("run-1", Stage::Done, 3, 6);
    assert_eq!(ledger.find("run-1"), Known::Over(Stage::Done, 3));
    for n in 0..MOST_FINAL {
        ledger
            .book()
            .remember(&format!("run-9{n}"), Stage::Done, 1, 7);
    }
    assert_eq!(ledger.find("run-1"), Known::Unclear);
    assert_eq!(ledger.book().over.len(), MOST_FINAL);
}

#[test]
fn a_reload_drops_what_is_not_open_any_more() {
    let ledger = Ledger::new(Duration::ZERO);
    ledger
        .book()
        .take(vec![put(&keys::job("run-1"), json!({}))], 5);
    ledger.book().load(&[], 9);
    assert_eq!(ledger.find("run-1"), Known::Unclear);
    assert_eq!(ledger.book().revision, Some(9));
}
