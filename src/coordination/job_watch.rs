//! Follows the jobs in the state service, and tells the shard of them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::lease::ShardLease;
use super::loading::parse_job;
use super::node::{Node, STATE_DEADLINE};
use super::shard::Shard;
use crate::protocol::state::{Item, News};
use crate::storage::client::{StateError, backoff};
use crate::storage::keys;

/// How long one watch waits.
const JOBS_WATCH: Duration = Duration::from_secs(3);

/// Tells the shard of accepted and ended jobs, from a revision on, until the lease ends.
pub async fn watch_jobs(node: Arc<Node>, lease: Arc<ShardLease>, mut revision: u64) {
    let mut attempt = 0;
    while !lease.ended() {
        let followed = match node.state.follow(keys::JOBS, revision, JOBS_WATCH).await {
            Ok(page) => {
                revision = page.revision.max(revision);
                tell_changes(&node, &lease, page.events);
                Ok(())
            }
            Err(StateError::TooOld) => read_again(&node, &lease, &mut revision).await,
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

fn tell_changes(node: &Arc<Node>, lease: &Arc<ShardLease>, changes: Vec<News>) {
    if changes.is_empty() {
        return;
    }
    node.with_shard(lease, "jobs", |shard, now| {
        for change in changes {
            tell_change(node, shard, change, now);
        }
    });
}

fn tell_change(node: &Node, shard: &mut Shard, change: News, now: Instant) {
    match change {
        News::Put {
            key,
            value,
            version,
        } => {
            let item = Item {
                key,
                value,
                version,
                lease: None,
            };
            if let Some((id, mark, record)) = parse_job(item) {
                node.tell_accepted(shard, &id, mark, record, now);
            }
        }
        News::Delete { key, .. } => {
            if let Some(id) = key.strip_prefix(keys::JOBS) {
                shard.job_gone(id, None);
            }
        }
    }
}

/// Reads all unfinished jobs, since more has changed than a watch can tell.
async fn read_again(
    node: &Arc<Node>,
    lease: &Arc<ShardLease>,
    revision: &mut u64,
) -> Result<(), StateError> {
    let (items, at) = node.state.list(keys::JOBS, STATE_DEADLINE).await?;
    *revision = at;
    let open = |(id, mark, _): &(String, u64, _)| !node.ledger.has_ended(id, *mark);
    let jobs: Vec<_> = items
        .into_iter()
        .filter_map(parse_job)
        .filter(open)
        .collect();
    node.with_shard(lease, "jobs", |shard, now| {
        shard.jobs_reread(jobs, at, now);
    });
    Ok(())
}
