use super::{LiveTasks, Placement};

fn placement(machine: &str, attempt_number: u64) -> Placement {
    Placement {
        machine: machine.into(),
        attempt_number,
    }
}

#[test]
fn a_task_is_live_until_the_last_of_its_attempts_is_removed() {
    let mut live = LiveTasks::default();
    assert!(live.add(0, placement("vm-1", 5)));
    assert!(!live.add(0, placement("vm-1", 7)));
    assert!(!live.add(0, placement("vm-1", 7)), "the same attempt again");
    assert!(!live.add(0, placement("vm-2", 9)));
    assert_eq!((live.len(), live.machines().count()), (1, 3));
    assert!(!live.remove(0, &placement("vm-1", 5)));
    assert!(!live.remove(0, &placement("vm-2", 9)));
    assert_eq!(live.iter().collect::<Vec<_>>(), [(0, &"vm-1".into())]);
    assert!(live.remove(0, &placement("vm-1", 7)));
    assert!(live.is_empty());
}

#[test]
fn an_attempt_that_was_never_added_releases_no_task() {
    let mut live = LiveTasks::default();
    live.add(0, placement("vm-1", 7));
    assert!(!live.remove(0, &placement("vm-1", 5)), "another attempt");
    assert!(!live.remove(0, &placement("vm-2", 7)), "another machine");
    assert!(!live.remove(1, &placement("vm-1", 7)), "another task");
    assert!(live.contains(0));
}
