//! Quotas, quota limits and fair shares of teams.

use std::time::Duration;

use super::fixtures::{policy, spec};
use super::scripted_shard::{ScriptedShard, TOKEN};
use crate::coordination::shard::{Policy, RecoveredState, TeamPolicy};

/// An unanswered launch may start its task at any time, so its cores count against the quota limit.
#[test]
fn a_quota_limit_counts_launches_in_flight() {
    let mut script = ScriptedShard::empty();
    script.heartbeat("vm-1", Vec::new());
    script.heartbeat("vm-2", Vec::new());
    script.heartbeat("vm-3", Vec::new());
    // The team `red` may use 16 cores; five tasks of 4 cores each need 20.
    script.submit("run-1", spec("red", 4.0, 5));
    let launched: usize = script
        .take_launches()
        .iter()
        .map(|batch| batch.commands.len())
        .sum();
    assert_eq!(launched, 4, "launches in flight count");
}

/// Found in review: a team without a quota had a fair share of only one core, and got almost
/// nothing of the capacity beyond all quotas, which other teams borrowed.
#[test]
fn a_team_without_a_quota_gets_its_fair_share_beyond_all_quotas() {
    let with_quota = TeamPolicy {
        cores: 8.0,
        ..TeamPolicy::default()
    };
    let policy = Policy {
        advance_delegation: Duration::ZERO,
        teams: [
            ("red".to_owned(), with_quota),
            ("blue".to_owned(), TeamPolicy::default()),
        ]
        .into(),
        ..policy()
    };
    let mut script = ScriptedShard::with_policy(policy, RecoveredState::default());
    script.submit("run-1", spec("red", 1.0, 100));
    script.submit("run-2", spec("blue", 1.0, 100));
    for id in ["vm-1", "vm-2", "vm-3", "vm-4"] {
        let heartbeat = script.heartbeat_of(id, TOKEN, Vec::new());
        script.shard.heartbeat(&heartbeat, script.now);
    }
    script.reconcile();
    script.reconcile();
    let placed = |job: &str| script.shard.jobs()[job].live().len();
    assert_eq!((placed("run-1"), placed("run-2")), (16, 16));
}

/// A team gets its quota before capacity is shared fairly, however little the teams without a quota
/// have.
#[test]
fn quotas_are_met_before_fair_shares() {
    let mut script = ScriptedShard::empty();
    script.submit("run-1", spec("blue", 1.0, 100));
    script.submit("run-2", spec("red", 1.0, 8));
    script.heartbeat("vm-1", Vec::new());
    script.reconcile();
    assert_eq!(script.shard.jobs()["run-2"].live().len(), 8);
}
