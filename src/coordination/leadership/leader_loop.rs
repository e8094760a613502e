//! The leader's loop. The election starts it once the shard is acquired, and it runs until the
//! lease ends: it recovers the shard's state, then runs passes of decisions after events and at
//! intervals.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tracing::{info, warn};

use super::job_watch;
use super::lease::ShardLease;
use super::stored_records::StoredRecords;
use crate::coordination::cloud::polling;
use crate::coordination::node::state::Leadership;
use crate::coordination::node::{KV_DEADLINE, Node};
use crate::coordination::retry::Backoff;
use crate::coordination::shard::{RecoveredState, Shard};
use crate::coordination::worker_leases::advance_delegation::AdvanceGrants;
use crate::storage::kv_client::KvError;
use crate::telemetry::Activities;

/// Shortest pause between two ticks, which check the shard's timers.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest pause between two ticks, however long a tick takes.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a pass of decisions, as a multiple of the time that the pass took: it bounds the
/// share of the processor that passes take.
const PAUSE_PER_PASS_TIME: u32 = 20;
/// Shortest pause after a pass.
const MIN_PASS_PAUSE: Duration = Duration::from_millis(10);
/// Longest pause after a pass.
const MAX_PASS_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two summaries of the shard in the log.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(30);

/// What a new leader reads from the store before it makes decisions.
struct Recovery {
    /// The shard's records.
    state: RecoveredState,
    /// The revision of the store from which to watch the jobs for changes.
    jobs_revision: u64,
}

/// Leads the shard until the lease ends.
pub(super) async fn lead(node: &Arc<Node>, lease: Arc<ShardLease>) {
    let Some(recovery) = recover_until_ended(node, &lease).await else {
        return;
    };
    log_recovery(node, &lease, &recovery);
    begin_leadership(node, &lease, recovery.state);
    // The job index may know of jobs that ended since the records were read.
    node.notify_finished_jobs();
    provide_machine_types(node, &lease);
    // Both tasks spawned here end when the lease has ended.
    let watch = job_watch::watch_jobs(node.clone(), lease.clone(), recovery.jobs_revision);
    tokio::spawn(watch);
    tokio::spawn(polling::poll_machine_list(node.clone(), lease.clone()));
    decide_until_ended(node, &lease).await;
    node.lock().leadership = None;
    info!(fencing_token = %lease.fencing_token, "leadership ended");
}

/// Why a leader ends its leadership of its own accord.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownReason {
    /// It receives too few workers' heartbeats, and another controller receives more.
    TooFewWorkersReachable,
    /// A controller in the zone of most machines can lead.
    SuccessorInMainZone,
}

impl fmt::Display for StepDownReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooFewWorkersReachable => "another controller reaches more workers",
            Self::SuccessorInMainZone => "a controller in the main zone can lead",
        })
    }
}

/// Ends a leadership at once, so that another controller can acquire the shard.
pub async fn step_down(node: &Node, lease: &ShardLease, reason: StepDownReason) {
    info!(fencing_token = %lease.fencing_token, %reason, "stepping down");
    lease.end();
    if let Err(error) = node.clients.kv.revoke_lease(lease.id, KV_DEADLINE).await {
        warn!(
            fencing_token = %lease.fencing_token,
            %error,
            "the lease could not be revoked; it will expire"
        );
    }
}

/// Reads the shard's records, and retries after failures. Returns `None` if the lease ends first.
async fn recover_until_ended(node: &Node, lease: &Arc<ShardLease>) -> Option<Recovery> {
    node.lock().recovering = Some(lease.clone());
    let mut retry = Backoff::default();
    while !lease.has_ended() {
        match read_records(node, lease).await {
            Ok(recovery) => return Some(recovery),
            Err(error) => {
                warn!(
                    fencing_token = %lease.fencing_token,
                    %error,
                    "the shard's records cannot be read yet"
                );
                retry.wait().await;
            }
        }
    }
    node.lock().recovering = None;
    None
}

async fn read_records(node: &Node, lease: &ShardLease) -> Result<Recovery, KvError> {
    let stored = StoredRecords::read(&node.clients.kv).await?;
    *lease.sequence.lock().await = stored.sequence();
    Ok(Recovery {
        jobs_revision: stored.revision,
        state: stored.parse(),
    })
}

/// Logs up to when the new leader knows the jobs and their cancellations.
fn log_recovery(node: &Node, lease: &ShardLease, recovery: &Recovery) {
    let now = node.now();
    let known = node.cancellations_known_up_to(&node.lock(), now);
    info!(
        fencing_token = %lease.fencing_token,
        revision = recovery.jobs_revision,
        staleness_s = known.map(|known| now.saturating_duration_since(known).as_secs_f64()),
        "unfinished jobs recovered"
    );
}

fn begin_leadership(node: &Node, lease: &Arc<ShardLease>, recovered: RecoveredState) {
    let shard = Shard::recover(
        node.policy.clone(),
        lease.fencing_token,
        recovered,
        node.now(),
        node.clock.wall_ms(),
    );
    let mut state = node.lock();
    state.recovering = None;
    state.leadership = Some(Leadership {
        lease: lease.clone(),
        shard,
        advance_grants: AdvanceGrants::default(),
        notified_change_count: None,
        activities: Activities::default(),
    });
}

fn provide_machine_types(node: &Arc<Node>, lease: &Arc<ShardLease>) {
    let types = node.lock().machine_types.clone();
    node.with_shard(lease, "types", |shard, _| {
        if let Some(types) = types {
            shard.set_machine_types(&types);
        }
    });
}

/// Runs passes of decisions, after events and at intervals, until the lease ends.
///
/// A pass after each event would take more of a processor core than its decisions are worth, as
/// events are far more frequent. So the longer a pass took, the longer is the pause before the
/// next pass, and the more events that pass covers.
async fn decide_until_ended(node: &Arc<Node>, lease: &Arc<ShardLease>) {
    let mut next_tick = node.now();
    let mut next_summary = node.now() + SUMMARY_INTERVAL;
    while !lease.has_ended() {
        wait_for_work(node, lease, next_tick).await;
        let started_at = node.now();
        let is_tick_due = started_at >= next_tick;
        if lease.is_live(started_at) {
            decide(node, lease, is_tick_due);
        }
        let finished_at = node.now();
        let elapsed = finished_at.saturating_duration_since(started_at);
        if is_tick_due {
            next_tick = finished_at
                + MIN_TICK_INTERVAL.max((elapsed * PAUSE_PER_PASS_TIME).min(MAX_TICK_INTERVAL));
        }
        if finished_at >= next_summary {
            next_summary = finished_at + SUMMARY_INTERVAL;
            log_summary(node, lease);
        }
        tokio::time::sleep((elapsed * PAUSE_PER_PASS_TIME).clamp(MIN_PASS_PAUSE, MAX_PASS_PAUSE))
            .await;
    }
}

/// Waits until a tick is due, an event needs a decision, or the lease ends.
async fn wait_for_work(node: &Node, lease: &ShardLease, next_tick: Instant) {
    tokio::select! {
        () = tokio::time::sleep(next_tick.saturating_duration_since(node.now())) => {}
        () = lease.work_notify.notified() => {}
        () = lease.end_notify.notified() => {}
    }
}

/// Runs one pass of decisions: a tick, which also checks the timers, if one is due.
fn decide(node: &Arc<Node>, lease: &Arc<ShardLease>, is_tick_due: bool) {
    let activity = if is_tick_due { "ticks" } else { "passes" };
    node.with_shard(lease, activity, |shard, now| {
        if is_tick_due {
            shard.tick(now);
        } else {
            shard.reconcile(now);
        }
    });
}

fn log_summary(node: &Node, lease: &ShardLease) {
    if let Some(leadership) = &node.lock().leadership {
        info!(
            fencing_token = %lease.fencing_token,
            summary = leadership.shard.summary(),
            time = %leadership.activities,
            "shard summary"
        );
    }
}
