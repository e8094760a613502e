//! Failover from an older version's leader and back, more than once.

use valegap::coordination::shard::Shard;
use valegap::storage::keys;

use super::Recorded;
use super::cluster::Cluster;
use super::older::{Reading, Version};

/// The recorded jobs continue where they were, from leader to leader; each leaves records with
/// which the recorded version could continue.
fn continues_from(recorded: &Recorded, version: Version) {
    let mut cluster = Cluster::new(recorded);
    let before = cluster.read_by(version);
    let unanswered: Vec<String> = before.bookings.iter().cloned().collect();
    assert_eq!(unanswered.len(), 1, "one rental had no answer");
    let running = cluster.running("run-000001");
    assert!(running > 0, "the recording has running tasks");
    for term in 0..4 {
        let mut shard = cluster.recover();
        cluster.reconcile(&mut shard);
        if term == 0 {
            // The rental is requested again under its name, so that it is not granted twice.
            assert_eq!(cluster.rentals, unanswered);
            cluster.heartbeat(&mut shard);
            assert_eq!(cluster.running("run-000001"), running, "none is stopped");
        }
        cluster.serve(&mut shard);
        let reading = cluster.read_by(version);
        check_records(&cluster, &shard, &reading);
        // What was confirmed to users still holds.
        for (id, done) in &before.over {
            assert_eq!(reading.over.get(id), Some(done), "{id}");
        }
        cluster.complete_some();
    }
    for _ in 0..8 {
        let mut shard = cluster.recover();
        cluster.reconcile(&mut shard);
        cluster.serve(&mut shard);
        cluster.complete_some();
    }
    let last = cluster.read_by(Version::WithGangs);
    assert_eq!(last.open.keys().collect::<Vec<_>>(), ["run-000002"]);
    assert_eq!(
        last.done["run-000002"], before.done["run-000002"],
        "a service never finishes by itself"
    );
    assert_eq!(
        cluster.running("run-000003"),
        0,
        "cancelled under the older leader"
    );
}

#[test]
fn jobs_recorded_with_the_version_before_gangs_continue() {
    continues_from(&Recorded::before_gangs(), Version::BeforeGangs);
}

#[test]
fn jobs_recorded_with_the_version_in_production_continue() {
    let recorded = Recorded::with_gangs();
    let cluster = Cluster::new(&recorded);
    assert_eq!(cluster.running("run-000006"), 4, "a gang runs");
    continues_from(&recorded, Version::WithGangs);
}

/// The recorded version reads the progress and the machines that the shard knows.
fn check_records(cluster: &Cluster, shard: &Shard, reading: &Reading) {
    for (id, counts) in shard.progress() {
        let read = reading.done.get(&**id).map_or(0, |done| done.len());
        let gang = cluster.keys[&keys::job(id)]["spec"]["kind"] == "gang";
        assert_eq!(read as u32, counts.done, "{id}, gang {gang}");
    }
    let machines = shard.machines().values().map(|m| m.id.to_string());
    assert!(machines.into_iter().all(|id| reading.roster.contains(&id)));
}
