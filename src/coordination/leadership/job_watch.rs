//! Follows the jobs in the key-value store, and tells the shard of them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::lease::ShardLease;
use super::stored_records::parse_job;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::shard::Shard;
use crate::protocol::kv::{KeyValue, WatchEvent};
use crate::storage::keys;
use crate::storage::kv_client::{KvError, backoff};

/// How long one watch waits.
const JOB_WATCH_WAIT: Duration = Duration::from_secs(3);

/// Tells the shard of accepted and ended jobs, from a revision on, until the lease ends.
pub async fn watch_jobs(node: Arc<Node>, lease: Arc<ShardLease>, mut revision: u64) {
    let mut attempt = 0;
    while !lease.ended() {
        let followed = match node.kv.follow(keys::JOBS, revision, JOB_WATCH_WAIT).await {
            Ok(page) => {
                revision = page.revision.max(revision);
                apply_watch_events(&node, &lease, page.events);
                Ok(())
            }
            Err(KvError::TooOld) => read_again(&node, &lease, &mut revision).await,
            Err(error) => Err(error),
        };
        if followed.is_ok() {
            attempt = 0;
        } else {
            attempt += 1;
            tokio::time::sleep(backoff(attempt)).await;
        }
    }
}

fn apply_watch_events(node: &Arc<Node>, lease: &Arc<ShardLease>, mutations: Vec<WatchEvent>) {
    if mutations.is_empty() {
        return;
    }
    node.with_shard(lease, "jobs", |shard, now| {
        for change in mutations {
            apply_watch_event(node, shard, change, now);
        }
    });
}

fn apply_watch_event(node: &Node, shard: &mut Shard, change: WatchEvent, now: Instant) {
    match change {
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
            if let Some((id, mod_revision, record)) = parse_job(item) {
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

/// Reads all unfinished jobs, since more has changed than a watch can tell.
async fn read_again(
    node: &Arc<Node>,
    lease: &Arc<ShardLease>,
    revision: &mut u64,
) -> Result<(), KvError> {
    let (items, at) = node.kv.list(keys::JOBS, KV_DEADLINE).await?;
    *revision = at;
    let open =
        |(id, mod_revision, _): &(String, u64, _)| !node.job_index.has_ended(id, *mod_revision);
    let jobs: Vec<_> = items
        .into_iter()
        .filter_map(parse_job)
        .filter(open)
        .collect();
    node.with_shard(lease, "jobs", |shard, now| {
        shard.resync_jobs(jobs, at, now);
    });
    Ok(())
}
