//! Delivery of events to the shard that this node leads.
//!
//! These are methods of [`Node`] for two reasons. The node is the only thing that all sources of
//! events have access to: the user API, workers' heartbeats, peers, the store, the cloud and the
//! executor. And an event needs the node's lock and, for the resulting actions, the node's
//! clients. The methods are defined here rather than in [`super::node`] because that module
//! imports nothing that carries out actions.

use std::sync::Arc;
use std::time::Instant;

use super::executor;
use super::leadership::lease::ShardLease;
use super::node::Node;
use super::shard::{Job, Shard};
use crate::protocol::JobId;
use crate::storage::kv_client::KvError;
use crate::storage::records::JobRecord;

impl Node {
    /// Applies an event to the shard that this node leads under `lease`, and spawns the actions
    /// that result from it immediately. Decisions that can wait are left to the next pass of the
    /// leader's loop, which makes them for many events together. Returns `None` without applying
    /// the event if the lease has ended or is not the node's current one.
    ///
    /// The shard decides on the event with the node's present knowledge of cancellations.
    ///
    /// `activity` is the name under which the log and the status page account for the time that
    /// the event took.
    pub fn with_shard<T>(
        self: &Arc<Self>,
        lease: &Arc<ShardLease>,
        activity: &'static str,
        event: impl FnOnce(&mut Shard, Instant) -> T,
    ) -> Option<T> {
        let now = self.now();
        let (result, actions) = {
            let mut state = self.lock();
            let run_deadline = self.run_deadline(&mut state, now);
            let leadership = state
                .leadership
                .as_mut()
                .filter(|leadership| Arc::ptr_eq(&leadership.lease, lease) && !lease.has_ended())?;
            leadership.shard.set_run_deadline(run_deadline);
            let result = event(&mut leadership.shard, now);
            let took = self.clock.now().saturating_duration_since(now);
            leadership.activities.record(activity, took);
            if leadership.shard.needs_pass() {
                lease.work_notify.notify_one();
            }
            (result, leadership.shard.take_actions())
        };
        for action in actions {
            // Each spawned task ends with its action: after one attempt, or at the latest once
            // the lease has ended. The shard limits the number of outstanding actions.
            tokio::spawn(executor::execute(self.clone(), lease.clone(), action));
        }
        Some(result)
    }

    /// Brings the job index up to date by a linearizable read of the store. The index then
    /// reflects the store's state at some moment after the start of this call.
    pub async fn catch_up(self: &Arc<Self>) -> Result<(), KvError> {
        let sent_at = self
            .job_index
            .catch_up(&self.clients.kv, &*self.clock)
            .await?;
        self.notify_finished_jobs();
        self.lock().cancellations.record_catch_up(sent_at);
        tracing::debug!(
            revision = self.job_index.revision(),
            took_s = self.now().saturating_duration_since(sent_at).as_secs_f64(),
            "jobs read up to a revision"
        );
        Ok(())
    }

    /// If this node leads the shard, notifies the shard of the jobs that are finished according to
    /// the job index: the leader has to act on everything that its node knows.
    pub fn notify_finished_jobs(self: &Arc<Self>) {
        let Some(lease) = self.lease_to_notify() else {
            return;
        };
        self.with_shard(&lease, "jobs", |shard, _| {
            for id in self.finished_jobs_unknown_to(shard) {
                let stage = self.job_index.final_state(&id).map(|state| state.stage);
                shard.job_finished(&id, stage);
            }
        });
    }

    /// Returns the lease of the shard if the job index has changed since the shard was last
    /// notified of finished jobs, and marks the shard as notified of the index's current state.
    fn lease_to_notify(&self) -> Option<Arc<ShardLease>> {
        let change_count = self.job_index.change_count();
        let mut state = self.lock();
        let leadership = state.leadership.as_mut()?;
        let is_notified =
            leadership.notified_change_count.replace(change_count) == Some(change_count);
        (!is_notified).then(|| leadership.lease.clone())
    }

    fn finished_jobs_unknown_to(&self, shard: &Shard) -> Vec<JobId> {
        let is_newly_finished = |job: &&Job| {
            job.final_stage.is_none() && self.job_index.has_finished(&job.id, job.mod_revision)
        };
        let jobs = shard.jobs().values().filter(is_newly_finished);
        jobs.map(|job| job.id.clone()).collect()
    }

    /// Notifies the shard of an accepted job, unless the job index shows that the job has
    /// finished since.
    pub fn notify_job_accepted(
        &self,
        shard: &mut Shard,
        id: &str,
        mod_revision: u64,
        record: JobRecord,
        now: Instant,
    ) {
        if !self.job_index.has_finished(id, mod_revision) {
            shard.job_accepted(id, mod_revision, record, now);
        }
    }
}
