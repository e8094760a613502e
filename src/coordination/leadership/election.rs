//! Seeking the shard, holding its lease, and serving as its leader.

use std::sync::Arc;
use std::time::Duration;

use tracing::{info, warn};

use super::job_watch;
use super::lease::{self, ShardLease};
use super::stored_records::StoredRecords;
use crate::coordination::node::state::Leadership;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::peering::extension;
use crate::coordination::shard::{RecoveredState, Shard};
use crate::coordination::worker_leases::advance_delegation::AdvanceGrants;
use crate::coordination::{clock_drift, executor};
use crate::protocol::FencingToken;
use crate::protocol::kv::{Mutation, Transaction, WatchEvent};
use crate::storage::keys;
use crate::storage::kv_client::{KvError, TransactionOutcome, backoff};
use crate::storage::records::{FORMAT_VERSION, LeaderRecord};
use crate::telemetry::Activities;

/// Pause between two looks at the shard's timers.
const TICK: Duration = Duration::from_millis(200);
/// Longest pause between two looks at the timers, however long one takes.
const LONGEST_TICK: Duration = Duration::from_secs(1);
/// Rest after a pass, in times of what it took.
const PASS_REST: u32 = 20;
/// Shortest and longest rest.
const SHORTEST_REST: Duration = Duration::from_millis(10);
const LONGEST_REST: Duration = Duration::from_millis(250);
/// Pause between two summaries in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(30);
/// How long one watch waits.
const LEADER_WATCH_WAIT: Duration = Duration::from_secs(3);
/// Share of the lease without a renewal past which a leader sees trouble.
const RENEWAL_TROUBLE_SHARE: f64 = 0.6;
/// Pause between two tries to renew a lease in trouble.
const RENEW_RETRY: Duration = Duration::from_millis(150);
/// Advantage of the candidate that is nearest to the machines.
const FAR_ZONE_DELAY: Duration = Duration::from_millis(150);
/// Disadvantage of a far candidate to whom no worker has come lately.
const NO_WORKERS_DELAY: Duration = Duration::from_millis(1000);
const RECENT_WORKER: Duration = Duration::from_secs(4);
/// Disadvantage of a candidate that couldn't hear the workers.
const INELIGIBLE_DELAY: Duration = Duration::from_secs(4);

/// Becomes the shard's leader whenever it has none, and serves as it.
pub async fn campaign(node: Arc<Node>) {
    let mut attempt = 0;
    loop {
        match wait_for_vacancy(&node).await {
            Ok(()) => {
                attempt = 0;
                if let Some(lease) = acquire(&node).await {
                    serve(&node, lease).await;
                }
            }
            Err(error) => {
                attempt += 1;
                tracing::debug!(%error, "can't watch the shard's leader");
                tokio::time::sleep(backoff(attempt)).await;
            }
        }
    }
}

/// Waits until the shard has no leader and it is this node's turn to try.
async fn wait_for_vacancy(node: &Arc<Node>) -> Result<(), KvError> {
    loop {
        let (items, revision) = node.kv.list(&keys::leader_prefix(), KV_DEADLINE).await?;
        let leader = items
            .iter()
            .find(|item| item.key == keys::leader())
            .and_then(|item| serde_json::from_value::<LeaderRecord>(item.value.clone()).ok());
        node.lock().observed_leader = leader.clone();
        match leader {
            None => {
                let delay = candidate_delay(node);
                if delay.is_zero() {
                    return Ok(());
                }
                tokio::time::sleep(delay).await;
                let leader = node.kv.get(&keys::leader(), KV_DEADLINE).await?;
                if leader.is_none() {
                    return Ok(());
                }
            }
            Some(leader)
                if leader.node_id == node.node_id() && leader.incarnation != node.incarnation =>
            {
                // Our earlier process is certainly dead: nobody else has its
                // node id and addresses.
                info!(
                    lease = leader.lease,
                    "ending the lease of this node's earlier run"
                );
                node.kv.revoke_lease(leader.lease, KV_DEADLINE).await?;
                node.lock().candidacy.previous_run_ended = true;
            }
            Some(leader) if leader.node_id == node.node_id() => {
                // A lease that this run gave up, or an acquisition whose
                // answer was lost and that came too late to be used.
                node.kv.revoke_lease(leader.lease, KV_DEADLINE).await?;
            }
            Some(_) => {
                let page = node
                    .kv
                    .follow(&keys::leader_prefix(), revision, LEADER_WATCH_WAIT)
                    .await?;
                for event in page.events {
                    if let WatchEvent::Delete { key, .. } = event
                        && key == keys::leader()
                    {
                        node.lock().observed_leader = None;
                    }
                }
            }
        }
    }
}

fn candidate_delay(node: &Arc<Node>) -> Duration {
    let now = node.now();
    if let Some(until) = node.campaign_blocked_until() {
        return until.saturating_duration_since(now) + Duration::from_millis(10);
    }
    let inner = node.lock();
    if inner
        .candidacy
        .ineligible_until
        .is_some_and(|until| until > now)
    {
        return INELIGIBLE_DELAY;
    }
    let far = inner
        .peers
        .main_zone
        .as_ref()
        .is_some_and(|zone| *zone != node.settings.platform.area);
    // Workers that lost their leader come to whomever they can reach.
    let has_recent_workers = inner
        .workers
        .values()
        .any(|at| now.saturating_duration_since(*at) < RECENT_WORKER);
    match (far, has_recent_workers) {
        (true, false) => NO_WORKERS_DELAY,
        (true, true) => FAR_ZONE_DELAY,
        (false, _) => Duration::ZERO,
    }
}

/// Raises the fencing token; the lease it returns is being renewed.
async fn acquire(node: &Arc<Node>) -> Option<Arc<ShardLease>> {
    {
        if node.campaign_blocked_until().is_some() {
            return None;
        }
        node.lock().candidacy.acquiring = true;
    }
    let (lease, settled) = try_acquire(node).await;
    // Without a settled outcome no vote is given until the next try.
    node.lock().candidacy.acquiring = !settled;
    lease
}

/// A lease if the shard is ours, and whether the outcome is surely known.
async fn try_acquire(node: &Arc<Node>) -> (Option<Arc<ShardLease>>, bool) {
    let operator = &node.settings.operator;
    let sent = node.now();
    let Ok(lease_id) = node.kv.grant_lease(operator.lease(), KV_DEADLINE).await else {
        // A lease that nothing is attached to runs out unnoticed.
        return (None, true);
    };
    let record = LeaderRecord {
        format_version: FORMAT_VERSION,
        node_id: node.node_id().to_owned(),
        lease: lease_id,
        incarnation: node.incarnation,
    };
    let Ok(value) = serde_json::to_value(&record) else {
        return (None, true);
    };
    let txn = Transaction::default()
        .guard(keys::leader(), 0)
        .change(Mutation::Put {
            key: keys::leader(),
            value,
            lease: Some(lease_id),
        });
    let fencing_token = match node.kv.txn(&txn, KV_DEADLINE).await {
        Ok(TransactionOutcome::Committed { revision }) => FencingToken::new(revision),
        Ok(TransactionOutcome::Conflict) => {
            let _ = node.kv.revoke_lease(lease_id, KV_DEADLINE).await;
            return (None, true);
        }
        Err(error) => {
            // It may be applied yet; ending the lease takes its record along,
            // and standing by ends it again if this has no answer either.
            warn!(%error, "the shard could not be acquired");
            let released = node.kv.revoke_lease(lease_id, KV_DEADLINE).await;
            return (None, released.is_ok());
        }
    };
    let until = lease::deadline(operator, sent);
    let lease = Arc::new(ShardLease::new(
        lease_id,
        fencing_token,
        sent,
        until,
        node.now(),
    ));
    info!(%fencing_token, lease_id, "shard acquired");
    node.lock().candidacy.latest_fencing_token = fencing_token;
    tokio::spawn(renew(node.clone(), lease.clone()));
    (Some(lease), true)
}

/// Renews the lease until it has ended, on connections of its own. The next
/// renewal doesn't wait for the answer to the last: a slow key-value store must
/// not take the shard from a leader that it serves.
async fn renew(node: Arc<Node>, lease: Arc<ShardLease>) {
    let operator = &node.settings.operator;
    let most_open = (operator.lease_s / operator.renew_s).ceil() as usize;
    let mut open = tokio::task::JoinSet::new();
    let mut trouble = false;
    while !lease.ended() {
        if open.len() < most_open {
            open.spawn(renew_once(node.clone(), lease.clone()));
        }
        // Answers that come within the usual pause; late ones count as well.
        let mut refused = false;
        let pause = tokio::time::sleep(operator.renew());
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => break,
                () = lease.end.notified() => break,
                Some(result) = open.join_next() => {
                    if matches!(result, Ok(Err(KvError::Refused(_)))) {
                        refused = true;
                        break;
                    }
                }
            }
        }
        let now = node.now();
        let was = trouble;
        let unrenewed = lease.unrenewed(now);
        trouble = unrenewed > operator.lease().mul_f64(RENEWAL_TROUBLE_SHARE)
            || (was && unrenewed > operator.renew() * 3);
        if trouble && !was {
            warn!(
                fencing_token = %lease.fencing_token,
                refused, "the lease can't be renewed"
            );
        } else if was && !trouble {
            info!(fencing_token = %lease.fencing_token, "lease renewed again");
        }
        if trouble {
            extend_by_votes(&node, &lease).await;
        }
        if refused {
            tokio::time::sleep(RENEW_RETRY).await;
        }
    }
}

async fn renew_once(node: Arc<Node>, lease: Arc<ShardLease>) -> Result<(), KvError> {
    let operator = &node.settings.operator;
    let sent = node.now();
    let result = node.kv.renew_lease(lease.id, operator.lease()).await;
    match &result {
        Ok(()) => lease.renewed(sent, lease::deadline(operator, sent)),
        Err(KvError::LeaseEnded) if !lease.ended() => {
            warn!(fencing_token = %lease.fencing_token, "the lease has ended");
            lease.finish();
        }
        Err(_) => {}
    }
    result
}

/// Without the key-value store, a leader goes on as long as every other
/// controller votes not to campaigns for the shard. Past its deadline, it may begin to
/// again if nobody can have taken the shard since its last good renewal.
async fn extend_by_votes(node: &Arc<Node>, lease: &ShardLease) {
    let time = extension::LONGEST_EXTENSION;
    let sent = node.now();
    let promised = if lease.live(sent) {
        extension::all_grant_extension(node, time).await
    } else {
        extension::all_vote_for_revival(node, lease, time).await
    };
    if promised {
        let margin = Duration::from_secs_f64(node.settings.operator.lease_margin_s).min(time / 4);
        lease.extended(sent + clock_drift::min_elapsed(time) - margin);
    }
}

/// Leads the shard until the lease ends.
async fn serve(node: &Arc<Node>, lease: Arc<ShardLease>) {
    let mut attempt = 0;
    node.lock().recovering = Some(lease.clone());
    let (recovered, revision) = loop {
        if lease.ended() {
            node.lock().recovering = None;
            return;
        }
        match load(node, &lease).await {
            Ok(recovered) => break recovered,
            Err(error) => {
                attempt += 1;
                warn!(fencing_token = %lease.fencing_token, %error, "the shard can't be loaded yet");
                tokio::time::sleep(backoff(attempt)).await;
            }
        }
    };
    let shard = Shard::recover(
        node.policy.clone(),
        lease.fencing_token,
        recovered,
        node.now(),
        node.clock.wall_ms(),
    );
    {
        let mut inner = node.lock();
        inner.recovering = None;
        inner.leadership = Some(Leadership {
            lease: lease.clone(),
            shard,
            advance_grants: AdvanceGrants::default(),
            finished_notified: None,
            activities: Activities::default(),
        });
    }
    // The job index may know of endings since what was loaded was read.
    node.notify_finished_jobs();
    let types = node.lock().types.clone();
    node.with_shard(&lease, "types", |shard, _| {
        if let Some(types) = types {
            shard.set_types(&types);
        }
    });
    tokio::spawn(job_watch::watch_jobs(node.clone(), lease.clone(), revision));
    tokio::spawn(executor::watch_cloud(node.clone(), lease.clone()));
    decide(node, &lease).await;
    let mut inner = node.lock();
    inner.leadership = None;
    drop(inner);
    info!(fencing_token = %lease.fencing_token, "shard given up");
}

/// Has the shard decide, after events and now and then, until the lease ends.
///
/// Events come far more often than decisions are worth making on a share of a
/// core: the costlier a pass was, the longer the next one waits, and the more
/// events it serves.
async fn decide(node: &Arc<Node>, lease: &Arc<ShardLease>) {
    let mut next_tick = node.now();
    let mut next_summary = node.now() + SUMMARY_INTERVAL;
    while !lease.ended() {
        tokio::select! {
            () = tokio::time::sleep(next_tick.saturating_duration_since(node.now())) => {}
            () = lease.work.notified() => {}
            () = lease.end.notified() => {}
        }
        let begun = node.now();
        let ticks = begun >= next_tick;
        if lease.live(begun) {
            let activity = if ticks { "ticks" } else { "passes" };
            node.with_shard(lease, activity, |shard, now| {
                if ticks {
                    shard.tick(now);
                } else {
                    shard.reconcile(now);
                }
            });
        }
        let ended = node.now();
        let cost = ended.saturating_duration_since(begun);
        if ticks {
            next_tick = ended + TICK.max((cost * PASS_REST).min(LONGEST_TICK));
        }
        if ended >= next_summary {
            next_summary = ended + SUMMARY_INTERVAL;
            if let Some(own) = &node.lock().leadership {
                info!(
                    fencing_token = %lease.fencing_token,
                    summary = own.shard.summary(),
                    time = %own.activities,
                    "shard"
                );
            }
        }
        tokio::time::sleep((cost * PASS_REST).clamp(SHORTEST_REST, LONGEST_REST)).await;
    }
}

/// Ends a lease at once, so that another controller can begin.
pub async fn step_down(node: &Arc<Node>, lease: &Arc<ShardLease>, why: &str) {
    info!(fencing_token = %lease.fencing_token, why, "stepping down");
    lease.finish();
    if let Err(error) = node.kv.revoke_lease(lease.id, KV_DEADLINE).await {
        warn!(%error, "the lease could not be ended; it runs out");
    }
}

async fn load(node: &Arc<Node>, lease: &ShardLease) -> Result<(RecoveredState, u64), KvError> {
    let stored = StoredRecords::read(&node.kv).await?;
    *lease.sequence.lock().await = stored.sequence();
    let revision = stored.revision;
    Ok((stored.parse(), revision))
}
