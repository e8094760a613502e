use super::*;
use crate::protocol::TaskId;
use crate::protocol::workers::TaskState;

const TOKEN: FencingToken = FencingToken::new(862);
const LOWERED: usize = 2048;

fn heartbeat(machine: &str, tasks: u32) -> WorkerHeartbeat {
    let task = |index| TaskStatus {
        task: TaskId::parse(&format!("run-167419/{index}")).expect("a task"),
        attempt: 33_554_469,
        state: TaskState::Running,
        outcome: None,
    };
    WorkerHeartbeat {
        machine: machine.into(),
        addr: "10.1.0.232:9000".into(),
        machine_type: "organ-loft".into(),
        zone: "gdansk-loft".into(),
        spot: false,
        agent_epoch: 1,
        sequence: 88,
        fencing_token: TOKEN,
        preemption_notice_s: None,
        tasks: (0..tasks).map(task).collect(),
    }
}

fn pages_of(pending: &mut PendingHeartbeats) -> Vec<InventoryRecord> {
    let mut pages = Vec::new();
    let mut group = 0;
    while let Some(batch) = pending.next_batch(TOKEN, LOWERED, group) {
        group += 1;
        pages.extend(batch.pages);
    }
    pages
}

fn tasks_of(heartbeats: &[WorkerHeartbeat]) -> BTreeMap<String, Vec<u32>> {
    let indices =
        |heartbeat: &WorkerHeartbeat| heartbeat.tasks.iter().map(|line| line.task.index).collect();
    let pair = |heartbeat: &WorkerHeartbeat| (heartbeat.machine.clone(), indices(heartbeat));
    heartbeats.iter().map(pair).collect()
}

/// Found by reading: a heartbeat larger than a lowered limit was written by nobody, so
/// that its machine was reconciled by its worker's lease alone.
#[test]
fn a_heartbeat_larger_than_a_value_is_written_in_parts_and_joined() {
    let mut pending = PendingHeartbeats::default();
    let sizes = [("vm-1", 3), ("vm-2", 200), ("vm-3", 0), ("vm-4", 64)];
    for (machine, tasks) in sizes {
        pending.insert(heartbeat(machine, tasks));
    }
    let mut pages = pages_of(&mut pending);
    assert!(pages.len() > 8, "{} pages", pages.len());
    for page in &pages {
        let bytes = serde_json::to_vec(page).expect("JSON").len();
        assert!(bytes <= LOWERED, "{bytes} bytes");
    }
    // Pages are read in the order of their keys, which need not be that of writing.
    pages.reverse();
    let read = tasks_of(&whole_heartbeats(pages, TOKEN));
    for (machine, tasks) in sizes {
        assert_eq!(read[machine], (0..tasks).collect::<Vec<u32>>(), "{machine}");
    }
}

/// Less than all that a machine holds is never taken for all of it: its other tasks
/// would be started elsewhere.
#[test]
fn a_heartbeat_of_which_a_part_is_missing_is_left_out() {
    let mut pending = PendingHeartbeats::default();
    pending.insert(heartbeat("vm-2", 200));
    let pages = pages_of(&mut pending);
    for missing in 0..pages.len() {
        let mut rest = pages.clone();
        rest.remove(missing);
        assert!(
            whole_heartbeats(rest, TOKEN).is_empty(),
            "without {missing}"
        );
    }
    // Parts of two divisions of the heartbeat are not mixed.
    pending.insert(heartbeat("vm-2", 200));
    let again = pending.next_batch(TOKEN, LOWERED, 99).expect("parts").pages;
    let mixed = [&pages[..1], &again[1..]].concat();
    assert!(whole_heartbeats(mixed, TOKEN).is_empty());
    assert!(
        whole_heartbeats(pages.clone(), FencingToken::new(863)).is_empty(),
        "another fencing token's"
    );
    assert_eq!(whole_heartbeats(pages, TOKEN).len(), 1);
}

/// An older version finds no heartbeat in a page with a part.
#[test]
fn a_page_with_a_part_holds_no_heartbeat_for_an_older_version() {
    let mut pending = PendingHeartbeats::default();
    pending.insert(heartbeat("vm-2", 200));
    for page in pages_of(&mut pending) {
        let value = serde_json::to_value(page).expect("JSON");
        assert_eq!(value["reports"], serde_json::json!([]));
    }
    // And one without is what it was.
    pending.insert(heartbeat("vm-1", 1));
    let whole = serde_json::to_value(&pages_of(&mut pending)[0]).expect("JSON");
    let fields: Vec<&String> = whole.as_object().expect("an object").keys().collect();
    assert_eq!(fields, ["reports", "term", "v"]);
}

#[test]
fn what_could_not_be_written_comes_again_unless_it_is_outdated() {
    let mut pending = PendingHeartbeats::default();
    pending.insert(heartbeat("vm-1", 1));
    pending.insert(heartbeat("vm-2", 1));
    let batch = pending.next_batch(TOKEN, LOWERED, 0).expect("a page");
    pending.insert(heartbeat("vm-1", 5));
    pending.put_back(batch.heartbeats);
    let read = tasks_of(&whole_heartbeats(pages_of(&mut pending), TOKEN));
    assert_eq!((read["vm-1"].len(), read["vm-2"].len()), (5, 1));
}
