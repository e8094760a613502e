//! Watches the jobs in the store, and notifies the shard of accepted and finished jobs while this
//! controller leads it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::lease::ShardLease;
use super::stored_records::parse_job;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::retry::Backoff;
use crate::coordination::shard::{Shard, UnfinishedJob};
use crate::protocol::kv::{KeyValue, WatchEvent};
use crate::storage::keys;
use crate::storage::kv_client::{KeyList, KvError};

/// How long the store holds a watch of the jobs open while nothing changes.
const JOB_WATCH_WAIT: Duration = Duration::from_secs(3);

/// Notifies the shard of jobs that are accepted or finished after `revision` of the store, until
/// the lease ends.
pub(super) async fn watch_jobs(node: Arc<Node>, lease: Arc<ShardLease>, mut revision: u64) {
    let mut retry = Backoff::default();
    while !lease.has_ended() {
        match watch_once(&node, &lease, revision).await {
            Ok(next_revision) => {
                revision = next_revision;
                retry.reset();
            }
            Err(_) => retry.wait().await,
        }
    }
}

/// Waits for the changes of one watch and applies them. Returns the revision after which the next
/// watch has to begin.
async fn watch_once(
    node: &Arc<Node>,
    lease: &Arc<ShardLease>,
    revision: u64,
) -> Result<u64, KvError> {
    match node
        .clients
        .kv
        .watch(keys::JOBS, revision, JOB_WATCH_WAIT)
        .await
    {
        Ok(page) => {
            apply_events(node, lease, page.events);
            Ok(page.revision.max(revision))
        }
        Err(KvError::Compacted { .. }) => resync(node, lease).await,
        Err(error) => Err(error),
    }
}

fn apply_events(node: &Arc<Node>, lease: &Arc<ShardLease>, events: Vec<WatchEvent>) {
    if events.is_empty() {
        return;
    }
    node.with_shard(lease, "jobs", |shard, now| {
        for event in events {
            apply_event(node, shard, event, now);
        }
    });
}

fn apply_event(node: &Node, shard: &mut Shard, event: WatchEvent, now: Instant) {
    match event {
        WatchEvent::Put {
            key,
            value,
            mod_revision,
        } => {
            let item = KeyValue {
                key,
                value,
                mod_revision,
                lease: None,
            };
            if let Some(UnfinishedJob {
                id,
                mod_revision,
                record,
            }) = parse_job(item)
            {
                node.notify_job_accepted(shard, &id, mod_revision, record, now);
            }
        }
        WatchEvent::Delete { key, .. } => {
            if let Some(id) = key.strip_prefix(keys::JOBS) {
                shard.job_finished(id, None);
            }
        }
    }
}

/// Reads all unfinished jobs, because the store has compacted some changes since the last watch.
/// Returns the revision after which the next watch has to begin.
async fn resync(node: &Arc<Node>, lease: &Arc<ShardLease>) -> Result<u64, KvError> {
    let KeyList { items, revision } = node.clients.kv.list(keys::JOBS, KV_DEADLINE).await?;
    let jobs: Vec<_> = items
        .into_iter()
        .filter_map(parse_job)
        .filter(|job| !node.job_index.has_finished(&job.id, job.mod_revision))
        .collect();
    node.with_shard(lease, "jobs", |shard, now| {
        shard.resync_jobs(jobs, revision, now);
    });
    Ok(revision)
}
