//! Processes that start on what an older version's controllers left when all of them
//! were killed (see `tests/upgrade/`).

use std::time::Duration;

use serde::Deserialize;
use valegap::protocol::kv::{KeyValue, Transaction};
use valegap::storage::keys;
use valegap::transport::client::HttpClient;

use crate::support::kv::Service;
use crate::support::worker::upload_gang;
use crate::{job, leader, restart, start_on, submit, wait_for};

/// Of the workers: theirs are gone with their machines, and their leases have to end.
const WORKER_LEASE_S: f64 = 3.0;

#[derive(Deserialize)]
struct Recorded {
    keys: Vec<KeyValue>,
    late: Transaction,
}

/// A job that was over when the older version ended.
struct Finished {
    id: &'static str,
    form: &'static str,
    stage: &'static str,
}

const CANCELLED_ARRAY: Finished = Finished {
    id: "run-000003",
    form: "batch",
    stage: "cancelled",
};
const DONE_ARRAY: Finished = Finished {
    id: "run-000004",
    form: "batch",
    stage: "done",
};
const DONE_GANG: Finished = Finished {
    id: "run-000007",
    form: "group",
    stage: "done",
};

async fn finish_what_was_left(recorded: &str, name: &str, unfinished: &[&str], over: &[Finished]) {
    let recorded: Recorded = serde_json::from_str(recorded).expect("a recording");
    let service = Service::default();
    service.restore(&recorded.keys);
    let mut controllers = start_on(service.clone(), name, WORKER_LEASE_S).await;
    let client = HttpClient::new();
    let owns = leader(&client, &controllers).await;

    // The older leader's last write comes once more, after the new one has written.
    let sequence = recorded
        .keys
        .iter()
        .find(|item| item.key == keys::sequence());
    let before = sequence.map(|item| item.value.clone());
    while service.value(&keys::sequence()) == before {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert!(!service.apply(recorded.late), "it undoes nothing");

    // The change comes in the midst of an election, too.
    restart(&mut controllers, owns);
    restart(&mut controllers, (owns + 1) % 3);
    for to in &controllers {
        for id in unfinished {
            wait_for(&client, to, id, "done").await;
        }
        // What the older version told its users is told them still.
        for Finished { id, form, stage } in over {
            wait_for(&client, to, id, stage).await;
            let answer = submit(&client, to, &job(id, form, 3)).await;
            assert_eq!(answer["Stage"], *stage);
        }
    }
}

#[tokio::test]
async fn controllers_go_on_from_the_version_before_gangs() {
    let recorded = include_str!("../upgrade/recorded/5161cb0.json");
    let unfinished = ["run-000001", "run-000008"];
    let over = [CANCELLED_ARRAY, DONE_ARRAY];
    finish_what_was_left(recorded, "o", &unfinished, &over).await;
}

#[tokio::test]
async fn controllers_go_on_from_the_version_in_production() {
    let recorded = include_str!("../upgrade/recorded/bee35ef.json");
    upload_gang("run-000006", 4);
    let unfinished = ["run-000001", "run-000006", "run-000008"];
    let over = [CANCELLED_ARRAY, DONE_ARRAY, DONE_GANG];
    finish_what_was_left(recorded, "p", &unfinished, &over).await;
}
