//! The loops that poll the cloud for its machine types and for the list of rented machines.

use std::sync::Arc;
use std::time::Duration;

use tracing::{debug, info};

use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::node::Node;
use crate::coordination::retry::Backoff;
use crate::protocol::cloud::MachineType;

/// Pause between two successful reads of the machine types.
const MACHINE_TYPES_INTERVAL: Duration = Duration::from_secs(30);
/// Number of failures added to the actual ones when the backoff of a failed read of the machine
/// types is computed. The longer pauses are acceptable because nothing waits for a fast answer.
const MACHINE_TYPES_EXTRA_FAILURES: u32 = 2;
/// Shortest pause, in seconds, between two reads of the machine list.
const MIN_LIST_INTERVAL_S: f64 = 2.0;
/// Longest pause, in seconds, between two reads of the machine list.
const MAX_LIST_INTERVAL_S: f64 = 10.0;

/// Reads the cloud's machine types and prices periodically, for as long as the process runs.
pub async fn refresh_machine_types(node: Arc<Node>) {
    let mut backoff = Backoff::with_extra_failures(MACHINE_TYPES_EXTRA_FAILURES);
    loop {
        match node.clients.cloud.machine_types().await {
            Ok(types) => {
                backoff.reset();
                store_machine_types(&node, types);
                tokio::time::sleep(MACHINE_TYPES_INTERVAL).await;
            }
            Err(error) => {
                debug!(%error, "the machine types could not be read");
                backoff.wait().await;
            }
        }
    }
}

/// Stores the machine types in the node's state and passes them to the shard, if this node leads.
fn store_machine_types(node: &Arc<Node>, types: Vec<MachineType>) {
    let lease = {
        let mut state = node.lock();
        if state.machine_types.is_none() {
            info!(types = types.len(), "machine types read");
        }
        state.machine_types = Some(types.clone());
        state
            .leadership
            .as_ref()
            .map(|leadership| leadership.lease.clone())
    };
    if let Some(lease) = lease {
        node.with_shard(&lease, "types", |shard, _| shard.set_machine_types(&types));
    }
}

/// Reads the list of rented machines periodically until the lease ends. The list may lag behind
/// rentals and deletions by up to `list_lag_s` of the platform's settings. The pause between two
/// reads is half of that time, but no less than 2 seconds and no more than 10 seconds.
pub async fn poll_machine_list(node: Arc<Node>, lease: Arc<ShardLease>) {
    let list_lag_s = node.settings.platform.settings.cloud.list_lag_s;
    let interval_s = (list_lag_s / 2.0).clamp(MIN_LIST_INTERVAL_S, MAX_LIST_INTERVAL_S);
    let interval = Duration::from_secs_f64(interval_s);
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
