//! The key-value store's limits on values and transactions are lowered without notice.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::Value;

use super::fixtures::{ended_task, policy, record, roster_machine, running_task, spec};
use super::scripted_shard::{ScriptedShard, TOKEN};
use super::scripted_workers::run_commands;
use crate::coordination::shard::{
    Action, Policy, RecoveredMachine, RecoveredState, ShardWrite, UnfinishedJob,
};
use crate::protocol::kv::Mutation;
use crate::protocol::workers::AttemptOutcome;

/// The limits before, and after.
const BEFORE: usize = 16_384;
const AFTER: usize = 2_048;

/// A store that refuses what is larger than its limits.
struct Store {
    value_bytes: usize,
    mutations: usize,
    keys: BTreeMap<String, Value>,
    refused: usize,
}

impl Store {
    /// An empty one whose limits are the lowered ones.
    fn lowered() -> Self {
        Self {
            value_bytes: AFTER,
            mutations: 4,
            keys: BTreeMap::new(),
            refused: 0,
        }
    }

    fn commit(&mut self, write: &ShardWrite) -> bool {
        let too_large = |change: &Mutation| match change {
            Mutation::Put { value, .. } => value.to_string().len() > self.value_bytes,
            Mutation::Delete { .. } => false,
        };
        // The sequence number is a mutation as well.
        if write.mutations.len() + 1 > self.mutations || write.mutations.iter().any(too_large) {
            self.refused += 1;
            return false;
        }
        for change in &write.mutations {
            match change {
                Mutation::Put { key, value, .. } => self.keys.insert(key.clone(), value.clone()),
                Mutation::Delete { key } => self.keys.remove(key),
            };
        }
        true
    }
}

/// Lets the shard write until it has nothing more to write.
fn write_all(script: &mut ScriptedShard, store: &mut Store) {
    script.shard.reconcile(script.now);
    for _ in 0..1_000 {
        let writes: Vec<ShardWrite> = script
            .shard
            .take_actions()
            .into_iter()
            .filter_map(|action| match action {
                Action::Write(write) => Some(write),
                other => {
                    script.actions.push(other);
                    None
                }
            })
            .collect();
        if writes.is_empty() {
            return;
        }
        for write in writes {
            if store.commit(&write) {
                script.shard.write_applied(&write, script.now);
            } else {
                script.shard.write_refused(&write, script.now);
            }
        }
    }
    panic!("the writes do not end");
}

/// A recovered shard of 150 machines and 120 jobs.
fn recovered_shard(value_bytes: usize, txn_ops: usize) -> ScriptedShard {
    let policy = Policy {
        value_bytes,
        txn_ops,
        advance_delegation: Duration::ZERO,
        snapshot_writes_per_s: 1e4,
        record_writes_per_s: 1e4,
        ..policy()
    };
    let roster: Vec<RecoveredMachine> = (0..150)
        .map(|n| roster_machine(&format!("vm-{n:06}")))
        .collect();
    let jobs = (0..120).map(|n| {
        let id = format!("run-{n:06}");
        UnfinishedJob::new(id, 5, record(spec("blue", 0.1, 40)))
    });
    let recovered = RecoveredState {
        jobs: jobs.collect(),
        roster,
        ..RecoveredState::default()
    };
    ScriptedShard::with_policy(policy, recovered)
}

/// Machines list tasks, some of which are done, so that the snapshot is large.
fn list_tasks(script: &mut ScriptedShard, done: impl Fn(u64) -> bool) {
    for n in 0..120 {
        let tasks = (0..40)
            .map(|index| {
                let task = format!("run-{n:06}/{index}");
                match done(index) {
                    true => ended_task(&task, 7, AttemptOutcome::Done),
                    false => running_task(&task, 7),
                }
            })
            .collect();
        let heartbeat = script.heartbeat_of(&format!("vm-{n:06}"), TOKEN, tasks);
        script.shard.heartbeat(&heartbeat, script.now);
    }
}

fn every_third(index: u64) -> bool {
    index.is_multiple_of(3)
}

/// When the shard knows the lower limits, no write is refused, although the roster that it
/// recovered is a page eight times too large: each write is within the old and the new limits.
#[test]
fn records_written_under_larger_limits_are_rewritten_within_lower_ones() {
    let mut script = recovered_shard(AFTER, 4);
    let mut store = Store::lowered();
    list_tasks(&mut script, every_third);
    let deleted = "vm-000140".into();
    script
        .shard
        .deletion_answered(std::slice::from_ref(&deleted), true, script.now);
    write_all(&mut script, &mut store);
    script.now += Duration::from_secs(5);
    script.shard.tick(script.now);
    write_all(&mut script, &mut store);
    assert_eq!(store.refused, 0);
    let pages = |prefix: &str| {
        store
            .keys
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    };
    // 149 entries of 57 bytes: no fewer hold them, and no more are needed.
    assert_eq!(pages("m/"), 5);
    assert!(pages("s/") > 8, "{} chunks", pages("s/"));
}

/// Found on the first day with lowered limits: each chunk of a large snapshot was a transaction
/// of its own, whose sequence number counted against the rate of durable records, so that no
/// machine was rented for 76 s.
#[test]
fn a_large_snapshot_does_not_starve_durable_records() {
    let mut script = recovered_shard(AFTER, 4);
    script.shard.policy.snapshot_writes_per_s = 7.5;
    script.shard.policy.record_writes_per_s = 4.5;
    let mut store = Store::lowered();
    list_tasks(&mut script, every_third);
    // Every few seconds the whole snapshot differs, and a durable record waits every second.
    for step in 0..300_u64 {
        script.now += Duration::from_millis(100);
        if step % 20 == 0 {
            let done = |index| every_third(index) || index % 20 < step / 20;
            list_tasks(&mut script, done);
        }
        if step % 10 == 0 {
            script
                .shard
                .grant_delegation(&format!("peer-{step}"), script.now);
        }
        script.shard.tick(script.now);
        write_all(&mut script, &mut store);
    }
    let delegates = store.keys.keys().filter(|key| key.contains("/keep/"));
    let seen = delegates.count();
    assert!(seen >= 28, "{seen} of 30 records were written");
}

/// The limits fall during a write, and below those announced: the write is never sent unchanged,
/// smaller ones follow, and in the end the store holds everything.
#[test]
fn a_write_that_became_too_large_is_split() {
    let mut script = recovered_shard(BEFORE, 16);
    let mut store = Store::lowered();
    list_tasks(&mut script, every_third);
    script.submit("run-900000", spec("blue", 1.0, 1));
    script.reconcile();
    run_commands(&mut script, "vm-000050");
    let deleted = "vm-000140".into();
    script
        .shard
        .deletion_answered(std::slice::from_ref(&deleted), true, script.now);
    for _ in 0..20 {
        script.now += Duration::from_secs(4);
        script.shard.tick(script.now);
        write_all(&mut script, &mut store);
    }
    assert!(store.refused > 0 && store.refused < 12, "{}", store.refused);
    let entries: usize = store
        .keys
        .iter()
        .filter(|(key, _)| key.starts_with("m/"))
        .map(|(_, page)| page["machines"].as_object().map_or(0, |m| m.len()))
        .sum();
    assert_eq!(entries, 149, "all machines but the deleted one");
}
