//! Tests of a failover and of a zone partition with four thousand machines.

use std::time::Duration;

use super::cluster::{Cluster, MACHINE_COUNT, TASK_COUNT, machine_zone};

/// All machines are admitted, some run tasks, and a new leader recovers them. It launches no task
/// a second time.
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
    assert_eq!(admitted, MACHINE_COUNT);
    // The roster has pages of about seventy entries, each of which is written a few times at most.
    assert!(
        cluster.written_mutations < 300,
        "{} mutations",
        cluster.written_mutations
    );
    cluster.run_job("run-1", TASK_COUNT);
    assert_eq!(cluster.tasks_running(), TASK_COUNT as usize);
    let launches = cluster.launches;

    cluster.fail_over(&[("run-1", TASK_COUNT)]);
    // The new leader probes every machine immediately, and each one answers.
    cluster.execute_actions();
    let shard = &cluster.script.shard;
    assert!(
        shard.summary().contains("unreconciled 0"),
        "{}",
        shard.summary()
    );
    let job = &shard.jobs()["run-1"];
    assert_eq!((job.live().len(), job.waiting()), (TASK_COUNT as usize, 0));
    assert_eq!(cluster.launches, launches, "no task starts again");
}

/// A zone with a quarter of the machines is partitioned for a minute. Its tasks run elsewhere once
/// the leases of its machines have expired; its machines are not deleted, and all of them may run
/// tasks again after the partition.
#[test]
fn four_thousand_machines_survive_a_zone_partition() {
    let mut cluster = Cluster::admitted();
    cluster.run_job("run-1", TASK_COUNT);
    let is_north = |n: usize| machine_zone(n) == "north";
    assert!(cluster.tasks_outside(is_north) > 0);
    // The controllers in the south are unreachable as well.
    cluster
        .script
        .shard
        .set_partitioned_zones(["south".to_owned()].into());
    let deletions = partition_for_a_minute(&mut cluster, is_north);
    assert_eq!(
        cluster.tasks_running(),
        TASK_COUNT as usize,
        "all tasks run in the north"
    );
    assert_eq!(deletions, 0, "the partition may end");
    for n in (0..MACHINE_COUNT).filter(|n| !is_north(*n)) {
        let mut heartbeat = cluster.heartbeat_of(n);
        heartbeat.agent_epoch = 2;
        cluster
            .script
            .shard
            .heartbeat(&heartbeat, cluster.script.now);
    }
    let machines = cluster.script.shard.machines().values();
    let usable_again = machines
        .filter(|m| m.agent_epoch() == Some(2) && m.token_acknowledged && !m.is_deleting())
        .count();
    assert_eq!(usable_again, MACHINE_COUNT / 4);
}

/// Lets a minute pass in which only some machines are reachable; returns how many machines the
/// shard decided to delete.
fn partition_for_a_minute(cluster: &mut Cluster, is_reachable: impl Fn(usize) -> bool) -> usize {
    let mut deletions = 0;
    for second in 0..60 {
        cluster.script.now += Duration::from_secs(1);
        cluster.script.shard.tick(cluster.script.now);
        if second == 25 {
            // The last heartbeats of the unreachable machines are 27 s old: their leases have
            // expired.
            cluster.running.retain(|n, _| is_reachable(*n));
        }
        deletions += cluster.execute_actions_where_reachable(&is_reachable);
        if second % 4 == 0 {
            for n in (0..MACHINE_COUNT).filter(|n| is_reachable(*n)) {
                let heartbeat = cluster.heartbeat_of(n);
                let now = cluster.script.now;
                cluster.script.shard.heartbeat(&heartbeat, now);
            }
        }
    }
    deletions
}
