//! Teams without a guarantee, beside teams with one.

use std::time::Duration;

use super::fixtures::{policy, spec};
use super::script::Script;
use crate::coordination::shard::{Policy, RecoveredState, TeamPolicy};

/// Found by reading: a team without a guarantee had a share of one core, and got next to
/// nothing of what others borrowed beyond theirs.
#[test]
fn a_team_without_a_guarantee_gets_its_share_of_what_is_beyond_all_guarantees() {
    let guaranteed = TeamPolicy {
        cores: 8.0,
        ..TeamPolicy::default()
    };
    let policy = Policy {
        advance_delegation: Duration::ZERO,
        teams: [
            ("red".to_owned(), guaranteed),
            ("blue".to_owned(), TeamPolicy::default()),
        ]
        .into(),
        ..policy()
    };
    let mut script = Script::under(policy, RecoveredState::default());
    script.submit("run-1", spec("red", 1.0, 100));
    script.submit("run-2", spec("blue", 1.0, 100));
    for id in ["vm-1", "vm-2", "vm-3", "vm-4"] {
        let heartbeat = script.heartbeat_of(id, super::script::TOKEN, Vec::new());
        script.shard.heartbeat(&heartbeat, script.now);
    }
    script.reconcile();
    script.reconcile();
    let placed = |job: &str| script.shard.jobs()[job].live().len();
    assert_eq!((placed("run-1"), placed("run-2")), (16, 16));
}

/// The guarantee itself comes first, however little the guests have.
#[test]
fn a_guarantee_comes_before_the_shares() {
    let mut script = Script::new(RecoveredState::default());
    script.submit("run-1", spec("blue", 1.0, 100));
    script.submit("run-2", spec("red", 1.0, 8));
    script.heartbeat("vm-1", Vec::new());
    script.reconcile();
    assert_eq!(script.shard.jobs()["run-2"].live().len(), 8);
}
