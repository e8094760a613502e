//! Events for the shard that this node leads.
//!
//! These are methods of [`Node`] because every source of events (the user API, workers'
//! heartbeats, peers, the store, the cloud, the executor itself) has the node at hand and
//! nothing else in common, and because an event needs the node's lock and, for the actions
//! that follow from it, the node's clients. They stand outside of [`super::node`], which
//! imports nothing that acts.

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
    /// Gives the shard of this lease an event, and executes the actions that follow from
    /// it at once. Decisions that can wait are left to the next pass of the leader's
    /// loop, which makes them for many events together. None if the lease has ended.
    ///
    /// `activity` names what the time is spent on, for the log and the status page.
    pub fn with_shard<T>(
        self: &Arc<Self>,
        lease: &Arc<ShardLease>,
        activity: &'static str,
        event: impl FnOnce(&mut Shard, Instant) -> T,
    ) -> Option<T> {
        let now = self.now();
        let (result, actions) = {
            let mut state = self.lock();
            let leadership = state
                .leadership
                .as_mut()
                .filter(|own| Arc::ptr_eq(&own.lease, lease) && !lease.has_ended())?;
            let result = event(&mut leadership.shard, now);
            let took = self.clock.now().saturating_duration_since(now);
            leadership.activities.note(activity, took);
            if leadership.shard.needs_pass() {
                lease.work_notify.notify_one();
            }
            (result, leadership.shard.take_actions())
        };
        for action in actions {
            // Each task ends with its action: after one attempt, or once the lease has
            // ended. The shard bounds how many are outstanding.
            tokio::spawn(executor::execute(self.clone(), lease.clone(), action));
        }
        Some(result)
    }

    /// Brings the job index up to date with a linearizable read: what it says afterwards
    /// was true at some moment after this call.
    pub async fn catch_up(self: &Arc<Self>) -> Result<(), KvError> {
        let sent = self
            .job_index
            .catch_up(&self.clients.kv, &*self.clock)
            .await?;
        self.notify_finished_jobs();
        self.lock().cancellations.record_catch_up(sent);
        Ok(())
    }

    /// Notifies the shard, if this node leads it, of jobs that the job index knows to be
    /// finished: the leader has to act on whatever its node knows.
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

    /// The lease of the shard, if the job index knows of more finished jobs than when the
    /// shard was last notified; counts as notified from now on.
    fn lease_to_notify(&self) -> Option<Arc<ShardLease>> {
        let finished = self.job_index.change_count();
        let mut state = self.lock();
        let own = state.leadership.as_mut()?;
        let notified = own.notified_change_count.replace(finished) == Some(finished);
        (!notified).then(|| own.lease.clone())
    }

    fn finished_jobs_unknown_to(&self, shard: &Shard) -> Vec<JobId> {
        let finished = |job: &&Job| {
            job.final_stage.is_none() && self.job_index.has_ended(&job.id, job.mod_revision)
        };
        let jobs = shard.jobs().values().filter(finished);
        jobs.map(|job| job.id.clone()).collect()
    }

    /// Notifies the shard of an accepted job, unless it is known to have finished since.
    pub fn notify_job_accepted(
        &self,
        shard: &mut Shard,
        id: &str,
        mod_revision: u64,
        record: JobRecord,
        now: Instant,
    ) {
        if !self.job_index.has_ended(id, mod_revision) {
            shard.job_accepted(id, mod_revision, record, now);
        }
    }
}
