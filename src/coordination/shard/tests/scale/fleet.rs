//! A failover and a zone partition with four thousand machines.

use std::time::Duration;

use super::cluster::{Cluster, MACHINES, TASKS, zone};

/// Machines are admitted, filled in part, and recovered by a new leader.
#[test]
fn four_thousand_machines_survive_a_failover() {
    let mut cluster = Cluster::admitted();
    let admitted = cluster
        .script
        .shard
        .machines()
        .values()
        .filter(|m| m.is_admitted())
        .count();
    assert_eq!(admitted, MACHINES);
    // Pages of some seventy entries, each written a few times at the most.
    assert!(cluster.mutations < 300, "{} mutations", cluster.mutations);
    cluster.run_job("run-1", TASKS);
    assert_eq!(cluster.tasks_running(), TASKS as usize);
    let before = cluster.started;

    cluster.fail_over(&[("run-1", TASKS)]);
    // Every machine is probed at once, and answers.
    cluster.execute_actions();
    let shard = &cluster.script.shard;
    assert!(
        shard.summary().contains("unreconciled 0"),
        "{}",
        shard.summary()
    );
    let job = &shard.jobs()["run-1"];
    assert_eq!((job.live().len(), job.waiting()), (TASKS as usize, 0));
    assert_eq!(cluster.started, before, "nothing starts again");
}

/// A zone with a quarter of the machines is partitioned for a minute: its tasks run elsewhere
/// once its leases have expired, its machines are not deleted, and all are open again afterwards.
#[test]
fn four_thousand_machines_survive_a_zone_partition() {
    let mut cluster = Cluster::admitted();
    cluster.run_job("run-1", TASKS);
    let north = |n: usize| zone(n) == "north";
    assert!(cluster.tasks_outside(north) > 0);
    // The controllers of that zone are unreachable as well.
    cluster
        .script
        .shard
        .set_partitioned_zones(["south".to_owned()].into());
    let deletions = partition_for_a_minute(&mut cluster, north);
    assert_eq!(
        cluster.tasks_running(),
        TASKS as usize,
        "all run in the north"
    );
    assert_eq!(deletions, 0, "the partition may end");
    for n in (0..MACHINES).filter(|n| !north(*n)) {
        let mut heartbeat = cluster.heartbeat_of(n);
        heartbeat.agent_epoch = 2;
        cluster
            .script
            .shard
            .heartbeat(&heartbeat, cluster.script.now);
    }
    let open = cluster.script.shard.machines().values();
    let open = open
        .filter(|m| m.agent_epoch() == Some(2) && m.token_acknowledged && !m.is_deleting())
        .count();
    assert_eq!(open, MACHINES / 4);
}

/// Lets a minute pass in which only some machines are reachable; returns how many deletions were
/// decided.
fn partition_for_a_minute(cluster: &mut Cluster, reachable: impl Fn(usize) -> bool) -> usize {
    let mut deletions = 0;
    for second in 0..60 {
        cluster.script.now += Duration::from_secs(1);
        cluster.script.shard.tick(cluster.script.now);
        if second == 25 {
            // 27 s after their last heartbeat, the leases of the others have expired.
            cluster.running.retain(|n, _| reachable(*n));
        }
        deletions += cluster.execute_actions_reaching(&reachable);
        if second % 4 == 0 {
            for n in (0..MACHINES).filter(|n| reachable(*n)) {
                let heartbeat = cluster.heartbeat_of(n);
                let now = cluster.script.now;
                cluster.script.shard.heartbeat(&heartbeat, now);
            }
        }
    }
    deletions
}
