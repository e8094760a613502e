use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::snapshot_rounds::SnapshotRounds;
use super::token_bucket::TokenBucket;

const INTERVAL: Duration = Duration::from_secs(2);

fn chunks(values: &[(&str, u32)]) -> BTreeMap<String, Value> {
    values
        .iter()
        .map(|(key, value)| ((*key).to_owned(), json!(value)))
        .collect()
}

/// Takes the waiting chunks as if the store had written each at once.
fn store_all(rounds: &mut SnapshotRounds) -> Vec<String> {
    let mut keys = Vec::new();
    while let Some(chunk) = rounds.take_chunk() {
        let super::WritePurpose::SnapshotChunk { key, value } = chunk.purpose else {
            panic!("not a chunk: {:?}", chunk.purpose);
        };
        rounds.chunk_stored(&key, value.as_ref());
        keys.push(key);
    }
    keys
}

#[test]
fn a_bucket_starts_with_a_second_s_worth_and_pays_its_debt_off() {
    let start = Instant::now();
    let mut bucket = TokenBucket::default();
    bucket.refill(2.0, 4.0, start);
    assert_eq!(bucket.available(), 2.0);
    for _ in 0..3 {
        bucket.spend_one();
    }
    assert_eq!(bucket.available(), -1.0);
    bucket.refill(2.0, 4.0, start + Duration::from_secs(1));
    assert_eq!(bucket.available(), 1.0);
    bucket.refill(2.0, 4.0, start + Duration::from_secs(60));
    assert_eq!(bucket.available(), 4.0, "no more than its capacity");
}

#[test]
fn a_round_writes_what_changed_and_ends_when_all_is_stored() {
    let start = Instant::now();
    let mut rounds = SnapshotRounds::recovered(chunks(&[("a", 1), ("b", 2), ("c", 3)]));
    assert!(rounds.is_due(INTERVAL, start), "the first is due at once");
    rounds.begin(&chunks(&[("a", 1), ("b", 5)]), Vec::new(), start);
    assert!(!rounds.is_due(INTERVAL, start + INTERVAL), "under way");
    assert_eq!(rounds.complete(), None, "chunks wait");
    assert_eq!(store_all(&mut rounds), ["b", "c"]);
    assert_eq!(rounds.complete(), Some(Vec::new()));
    assert_eq!(rounds.complete(), None, "it has ended");
    assert!(!rounds.is_due(INTERVAL, start + INTERVAL / 2));
    assert!(rounds.is_due(INTERVAL, start + INTERVAL));
    rounds.begin(&chunks(&[("a", 1), ("b", 5)]), Vec::new(), start + INTERVAL);
    assert_eq!(rounds.waiting_chunks(), 0, "nothing has changed");
}

#[test]
fn chunks_are_written_backwards_where_there_are_more_of_them() {
    let mut rounds = SnapshotRounds::recovered(chunks(&[("a", 1)]));
    let more = chunks(&[("a", 2), ("b", 2), ("c", 2)]);
    rounds.begin(&more, Vec::new(), Instant::now());
    assert_eq!(store_all(&mut rounds), ["c", "b", "a"]);
}

#[test]
fn changes_made_during_a_round_stay_unrecorded_after_it() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut rounds = SnapshotRounds::default();
    rounds.note_change(at(0));
    rounds.begin(&chunks(&[("a", 1)]), Vec::new(), at(1));
    rounds.note_change(at(3));
    assert_eq!(rounds.unrecorded_for(at(4)), Duration::from_secs(4));
    store_all(&mut rounds);
    assert!(rounds.complete().is_some());
    assert_eq!(rounds.unrecorded_for(at(4)), Duration::from_secs(1));
}

#[test]
fn an_aborted_round_leaves_its_changes_unrecorded_and_the_next_one_due() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut rounds = SnapshotRounds::default();
    rounds.note_change(at(0));
    rounds.begin(&chunks(&[("a", 1)]), Vec::new(), at(1));
    rounds.note_change(at(2));
    rounds.abort();
    assert_eq!(rounds.unrecorded_for(at(2)), Duration::from_secs(2));
    assert_eq!(rounds.waiting_chunks(), 0);
    assert!(rounds.is_due(INTERVAL, at(1)));
}
