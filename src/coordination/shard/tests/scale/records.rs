//! Records of very many machines and tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde_json::Value;

use super::super::fixtures::{record, running_task};
use super::super::scripted_shard::{ScriptedShard, TOKEN};
use super::cluster::{name, small_store, spec, zone};
use crate::coordination::shard::{Action, RecoveredState, ShardWrite};
use crate::protocol::MachineId;
use crate::protocol::kv::Mutation;
use crate::storage::keys;
use crate::storage::records::RosterRecord;
use crate::storage::roster::{Roster, decode_page};

fn roster_entry(n: usize) -> RosterRecord {
    RosterRecord {
        addr: format!("10.0.{}.{}:9000", n / 250, n % 250),
        machine_type: "m8".into(),
        zone: zone(n).into(),
        spot: n.is_multiple_of(3),
        deleting: false,
    }
}

/// The limit on values falls while the pages are being written.
#[test]
fn a_roster_of_six_thousand_machines_is_split_and_read_back() {
    const ENTRIES: usize = 6_000;
    let mut roster = Roster::default();
    for n in 0..ENTRIES {
        roster.put(&MachineId::from(name(n).as_str()), roster_entry(n), 8192);
    }
    let mut store: BTreeMap<String, Value> = BTreeMap::new();
    let mut writes = 0;
    let mut limit = 8192;
    while roster.has_mutations() {
        // The second half of the pages is written under the lower limit, then all again.
        if writes == 40 {
            limit = 2048;
            for n in 0..ENTRIES {
                if n.is_multiple_of(50) {
                    roster.put(&MachineId::from(name(n).as_str()), roster_entry(n), limit);
                }
            }
        }
        match roster.next_mutation(limit) {
            Some(Mutation::Put { key, value, .. }) => {
                assert!(value.to_string().len() <= limit);
                store.insert(key, value);
            }
            Some(Mutation::Delete { key }) => {
                store.remove(&key);
            }
            None => {}
        }
        writes += 1;
    }
    let names = read_roster(&store);
    assert_eq!(names.len(), ENTRIES);
    assert!(writes < 1_000, "{writes} writes");
}

/// The machines of a stored roster.
fn read_roster(store: &BTreeMap<String, Value>) -> BTreeSet<String> {
    let mut roster = Roster::default();
    let mut names = BTreeSet::new();
    for (key, value) in store {
        let page = key[keys::roster_prefix().len()..].parse().expect("a page");
        for (id, record) in decode_page(value).expect("a page") {
            roster.load(page, MachineId::from(id.as_str()), record);
            names.insert(id);
        }
    }
    names
}

/// Writing the placements of sixty thousand single tasks would take longer than the snapshot may be
/// stale, so that nothing would be started any more.
#[test]
fn sixty_thousand_tasks_do_not_make_the_snapshot_stale() {
    let policy = small_store();
    let staleness = policy.max_staleness;
    let machines = 2_000;
    let mut script = ScriptedShard::with_policy(policy, RecoveredState::default());
    for n in 0..60_000 {
        let id = format!("run-{n:06}");
        let job = record(spec("blue", 0.25, 1));
        script.shard.job_accepted(&id, TOKEN + 1, job, script.now);
    }
    for n in 0..machines {
        let tasks = (0..30).map(|k| {
            let task = format!("run-{:06}/0", n * 30 + k);
            running_task(&task, 7)
        });
        let heartbeat = script.heartbeat_of(&name(n), TOKEN, tasks.collect());
        script.shard.heartbeat(&heartbeat, script.now);
    }
    let mut written = 0;
    let mut stale = 0;
    for _ in 0..40 {
        script.now += Duration::from_secs(1);
        // Something starts every second.
        script.shard.writes.progress_changed(script.now);
        script.shard.reconcile(script.now);
        written += apply_writes(&mut script);
        stale += usize::from(script.shard.writes.is_stale(script.now, staleness));
    }
    assert_eq!(stale, 0, "{written} mutations were written");
}

/// Applies all writes until there are no more; returns the number of mutations.
fn apply_writes(script: &mut ScriptedShard) -> usize {
    let mut mutations = 0;
    loop {
        let actions = script.shard.take_actions().into_iter();
        let writes: Vec<ShardWrite> = actions
            .filter_map(|action| match action {
                Action::Write(write) => Some(write),
                _ => None,
            })
            .collect();
        if writes.is_empty() {
            return mutations;
        }
        for write in writes {
            mutations += write.mutations.len();
            script.shard.write_applied(&write, script.now);
        }
    }
}
