//! Controllers that start on the records that an older version's controllers left when all of
//! them were killed (see `tests/upgrade/`).

use std::time::Duration;

use serde::Deserialize;
use valegap::protocol::kv::{KeyValue, Transaction};
use valegap::storage::keys;

use crate::support::cluster::{Cluster, submission};
use crate::support::kv::KvStore;
use crate::support::worker::upload_gang;

/// The recorded workers are lost with their machines, and their leases have to expire.
const WORKER_LEASE_S: f64 = 3.0;

#[derive(Deserialize)]
struct Recorded {
    keys: Vec<KeyValue>,
    late: Transaction,
}

/// A job that was finished when the older version was killed.
struct Finished {
    id: &'static str,
    kind: &'static str,
    stage: &'static str,
}

const CANCELLED_ARRAY: Finished = Finished {
    id: "run-000003",
    kind: "batch",
    stage: "cancelled",
};
const DONE_ARRAY: Finished = Finished {
    id: "run-000004",
    kind: "batch",
    stage: "done",
};
const DONE_GANG: Finished = Finished {
    id: "run-000007",
    kind: "group",
    stage: "done",
};

async fn continue_from(recorded: &str, name: &str, unfinished: &[&str], finished: &[Finished]) {
    let recorded: Recorded = serde_json::from_str(recorded).expect("a recording");
    let store = KvStore::default();
    store.restore(&recorded.keys);
    let mut cluster = Cluster::start_on(store.clone(), name, WORKER_LEASE_S).await;
    let leader = cluster.leader().await;

    // The older leader's last write arrives once more, after the new one has written.
    let sequence = recorded
        .keys
        .iter()
        .find(|item| item.key == keys::sequence());
    let before = sequence.map(|item| item.value.clone());
    while store.value(&keys::sequence()) == before {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(!store.apply(recorded.late), "it is fenced");

    // A failover during an election follows.
    cluster.restart(leader);
    cluster.restart((leader + 1) % 3);
    for at in 0..3 {
        for id in unfinished {
            cluster.wait_for_stage(at, id, "done").await;
        }
        // What the older version confirmed to its users still holds.
        for Finished { id, kind, stage } in finished {
            cluster.wait_for_stage(at, id, stage).await;
            let answer = cluster.submit(at, &submission(id, kind, 3)).await;
            assert_eq!(answer["Stage"], *stage);
        }
    }
}

#[tokio::test]
async fn controllers_continue_from_the_version_before_gangs() {
    let recorded = include_str!("../upgrade/recorded/5161cb0.json");
    let unfinished = ["run-000001", "run-000008"];
    let finished = [CANCELLED_ARRAY, DONE_ARRAY];
    continue_from(recorded, "o", &unfinished, &finished).await;
}

#[tokio::test]
async fn controllers_continue_from_the_version_in_production() {
    let recorded = include_str!("../upgrade/recorded/bee35ef.json");
    upload_gang("run-000006", 4);
    let unfinished = ["run-000001", "run-000006", "run-000008"];
    let finished = [CANCELLED_ARRAY, DONE_ARRAY, DONE_GANG];
    continue_from(recorded, "p", &unfinished, &finished).await;
}
