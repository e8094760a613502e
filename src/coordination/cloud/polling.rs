//! The loops that poll the cloud: its machine types, and the list of rented machines.

use std::sync::Arc;
use std::time::Duration;

use tracing::{debug, info};

use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::Node;
use crate::coordination::retry::Backoff;
use crate::protocol::cloud::MachineType;

/// Pause between two reads of the machine types.
const MACHINE_TYPES_INTERVAL: Duration = Duration::from_secs(30);
/// Failures that the first failed read of the machine types counts for besides itself:
/// nobody waits for a fast answer.
const MACHINE_TYPES_BACKOFF_OFFSET: u32 = 2;
/// Shortest pause, in seconds, between two reads of the machine list.
const MIN_LIST_INTERVAL_S: f64 = 2.0;
/// Longest pause, in seconds, between two reads of the machine list.
const MAX_LIST_INTERVAL_S: f64 = 10.0;

/// Reads the cloud's machine types and prices from time to time, as long as the process
/// lasts.
pub async fn refresh_machine_types(node: Arc<Node>) {
    let mut retry = Backoff::starting_after(MACHINE_TYPES_BACKOFF_OFFSET);
    loop {
        match node.clients.cloud.machine_types().await {
            Ok(types) => {
                retry.reset();
                note_machine_types(&node, types);
                tokio::time::sleep(MACHINE_TYPES_INTERVAL).await;
            }
            Err(error) => {
                debug!(%error, "the machine types could not be read");
                retry.wait().await;
            }
        }
    }
}

fn note_machine_types(node: &Arc<Node>, types: Vec<MachineType>) {
    let lease = {
        let mut state = node.lock();
        if state.machine_types.is_none() {
            info!(types = types.len(), "machine types read");
        }
        state.machine_types = Some(types.clone());
        state.leadership.as_ref().map(|own| own.lease.clone())
    };
    if let Some(lease) = lease {
        node.with_shard(&lease, "types", |shard, _| shard.set_types(&types));
    }
}

/// Reads the list of rented machines again and again, until the lease ends. It may lag
/// behind rentals and deletions by the time that the platform's settings say.
pub async fn watch_machine_list(node: Arc<Node>, lease: Arc<ShardLease>) {
    let lag = node.settings.platform.settings.cloud.list_lag_s;
    let interval = (lag / 2.0).clamp(MIN_LIST_INTERVAL_S, MAX_LIST_INTERVAL_S);
    let interval = Duration::from_secs_f64(interval);
    while !lease.has_ended() {
        if lease.is_live(node.now()) {
            read_machine_list(&node, &lease).await;
        }
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = lease.end_notify.notified() => {}
        }
    }
}

async fn read_machine_list(node: &Arc<Node>, lease: &Arc<ShardLease>) {
    match node.clients.cloud.list_machines().await {
        Ok(list) => {
            node.with_shard(lease, "cloud", |shard, now| {
                shard.apply_machine_list(&list, now)
            });
        }
        Err(error) => debug!(%error, "the machine list could not be read"),
    }
}
