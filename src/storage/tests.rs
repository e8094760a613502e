//! Checks that stored keys and records keep the bytes that the versions in production write and
//! read. `tests/versions.rs` and `tests/upgrade/frames.rs` compare the bytes of most records.

use serde::Serialize;
use serde::de::DeserializeOwned;

use super::records::{InventoryRecord, RentalRecord};
use super::snapshot::{SnapshotRow, TaskPlacement};
use super::task_set::TaskSet;
use super::{keys, snapshot};
use crate::protocol::FencingToken;

const RENTAL: &str = r#"{"v":2,"rental":{"Booking":"b-1","Instrument":"lectern","Hall":"gdansk-loft","Borrowed":true,"Count":4}}"#;
const INVENTORY_WITH_A_PART: &str = r#"{"v":2,"term":862,"reports":[],"parts":[{"group":5,"total":7,"first":3,"report":{"Stand":"vm-1","Addr":"10.1.0.232:9000","Instrument":"lectern","Hall":"gdansk-loft","Borrowed":false,"Rehearsal":1,"Bar":88,"Baton":862,"CueS":1.5,"Voices":[{"Voice":"run-1/3","Take":9,"Stage":"running"}]}}]}"#;
const SNAPSHOT: [(&str, &str); 3] = [
    (
        "s/0/snap/00/000",
        r#"{"jobs":[{"j":"run-000007","p":"0@vm-3"}],"v":2}"#,
    ),
    (
        "s/0/snap/03/000",
        r#"{"jobs":[{"d":"0-2,7","j":"run-000006","p":"3@vm-1,9@vm-2"}],"v":2}"#,
    ),
    (
        "s/0/snap/05/000",
        r#"{"jobs":[{"d":"0-2,7","j":"run-000008"}],"v":2}"#,
    ),
];
const SPLIT_SNAPSHOT: [(&str, &str); 3] = [
    (
        "s/0/snap/02/000",
        r#"{"jobs":[{"d":"0-2,7","j":"run-000009","p":"0@vm-000000,1@vm-000001,2@vm-000002,3@vm-000003,4@vm-000004,5@vm-000005,6@vm-000006,7@vm-000007,8@vm-000008,9@vm-000009"},{"j":"run-000009","p":"10@vm-000010,11@vm-000011,12@vm-000012,13@vm-000013,14@vm-000014,15@vm-000015,16@vm-000016,17@vm-000017,18@vm-000018"}],"v":2}"#,
    ),
    (
        "s/0/snap/02/001",
        r#"{"jobs":[{"j":"run-000009","p":"19@vm-000019,20@vm-000020,21@vm-000021,22@vm-000022,23@vm-000023,24@vm-000024,25@vm-000025,26@vm-000026,27@vm-000027"},{"j":"run-000009","p":"28@vm-000028,29@vm-000029,30@vm-000030,31@vm-000031,32@vm-000032,33@vm-000033,34@vm-000034,35@vm-000035,36@vm-000036"}],"v":2}"#,
    ),
    (
        "s/0/snap/02/002",
        r#"{"jobs":[{"j":"run-000009","p":"37@vm-000037,38@vm-000038,39@vm-000039,40@vm-000040,41@vm-000041,42@vm-000042,43@vm-000043,44@vm-000044,45@vm-000045"},{"j":"run-000009","p":"46@vm-000046,47@vm-000047,48@vm-000048,49@vm-000049,50@vm-000050,51@vm-000051,52@vm-000052,53@vm-000053,54@vm-000054"},{"j":"run-000009","p":"55@vm-000055,56@vm-000056,57@vm-000057,58@vm-000058,59@vm-000059"}],"v":2}"#,
    ),
];

/// Decodes a stored record and checks that encoding it yields the same bytes; returns the record.
fn round_trip<T: Serialize + DeserializeOwned>(stored: &str) -> T {
    let record: T = serde_json::from_str(stored).expect("a record");
    assert_eq!(serde_json::to_string(&record).expect("JSON"), stored);
    record
}

#[test]
fn a_pending_rental_keeps_its_bytes() {
    let record: RentalRecord = round_trip(RENTAL);
    assert_eq!((record.format_version, record.rental.count), (2, 4));
}

#[test]
fn an_inventory_page_with_a_heartbeat_part_keeps_its_bytes() {
    let record: InventoryRecord = round_trip(INVENTORY_WITH_A_PART);
    assert_eq!(record.fencing_token, FencingToken::new(862));
    let part = &record.parts[0];
    assert_eq!(
        (part.split_id, part.total_tasks, part.first_task),
        (5, 7, 3)
    );
    assert_eq!(part.heartbeat.tasks.len(), 1);
}

fn task_set(indices: &[u32]) -> TaskSet {
    let mut set = TaskSet::default();
    for index in indices {
        set.insert(*index);
    }
    set
}

fn placement(index: u32, machine: &str) -> TaskPlacement {
    TaskPlacement {
        index,
        machine: machine.to_owned(),
    }
}

fn to_texts(
    chunks: impl IntoIterator<Item = (String, serde_json::Value)>,
) -> Vec<(String, String)> {
    let text = |(key, value): (String, serde_json::Value)| (key, value.to_string());
    chunks.into_iter().map(text).collect()
}

fn to_owned_pairs(chunks: [(&str, &str); 3]) -> Vec<(String, String)> {
    chunks.map(|(key, value)| (key.into(), value.into())).into()
}

#[test]
fn snapshot_chunks_keep_their_keys_and_bytes() {
    let done = task_set(&[0, 1, 2, 7]);
    let none = TaskSet::default();
    let row = |job, done, placements: &[(u32, &str)]| SnapshotRow {
        job,
        done,
        placements: placements
            .iter()
            .map(|(index, machine)| placement(*index, machine))
            .collect(),
    };
    let rows = [
        row("run-000006", &done, &[(3, "vm-1"), (9, "vm-2")]),
        row("run-000007", &none, &[(0, "vm-3")]),
        row("run-000008", &done, &[]),
    ];
    let chunks = snapshot::encode(rows, 8192);
    assert_eq!(to_texts(chunks.clone()), to_owned_pairs(SNAPSHOT));
    let read = snapshot::decode(chunks.values());
    assert_eq!(read["run-000006"].done, done);
    assert_eq!(read["run-000006"].placements[&9], "vm-2");
    assert_eq!(read["run-000007"].placements[&0], "vm-3");

    let row = SnapshotRow {
        job: "run-000009",
        done: &done,
        placements: (0..60)
            .map(|index| placement(index, &format!("vm-{index:06}")))
            .collect(),
    };
    let split = snapshot::encode([row], 512);
    assert_eq!(to_texts(split), to_owned_pairs(SPLIT_SNAPSHOT));
}

#[test]
fn keys_are_those_of_the_versions_in_production() {
    for (key, literal) in [
        (keys::job("run-1"), "j/open/run-1"),
        (keys::final_job("run-1"), "j/over/run-1"),
        (keys::leader_prefix(), "o/0/"),
        (keys::leader(), "o/0/owner"),
        (keys::delegate("n1"), "o/0/keep/n1"),
        (keys::revoked_launches_prefix(), "o/0/revoked/"),
        (keys::revoked_launches(2), "o/0/revoked/0002"),
        (keys::inventory_prefix(), "k/0/"),
        (keys::inventory("n1", 1), "k/0/n1/0001"),
        (keys::sequence(), "s/0/seq"),
        (keys::snapshot_prefix(), "s/0/snap/"),
        (keys::chunk(1, 2), "s/0/snap/01/002"),
        (keys::roster_prefix(), "m/0/"),
        (keys::roster_page(3), "m/0/0003"),
        (keys::rental_prefix(), "b/0/"),
        (keys::pending_rental("b-1"), "b/0/b-1"),
        (keys::reachability_prefix(), "h/0/"),
        (keys::reachability("n1"), "h/0/n1"),
    ] {
        assert_eq!(key, literal);
    }
}
