//! Acceptance, completion and cancellation of jobs: the events by which jobs enter and leave
//! the shard. The job watch, the user API and the action executor report them.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Job, UnfinishedJob};
use crate::coordination::shard::{Action, Shard};
use crate::protocol::JobId;
use crate::protocol::users::JobStage;
use crate::storage::records::{FinalRecord, JobRecord};

impl Shard {
    /// Adds a job that was accepted. If the shard knows the job already, because its record was
    /// read again, nothing changes.
    pub fn job_accepted(&mut self, id: &str, mod_revision: u64, record: JobRecord, now: Instant) {
        if self.jobs.contains_key(id) {
            return;
        }
        self.autoscaler.record_arrival(&record.spec, now, now);
        tracing::info!(
            fencing_token = %self.fencing_token,
            job = id,
            class = record.spec.class,
            tasks = record.spec.tasks,
            estimate_s = record.spec.duration_s,
            deadline_s = record.spec.deadline_s,
            "job accepted"
        );
        let id: JobId = id.into();
        self.jobs
            .insert(id.clone(), Job::new(id, mod_revision, record));
        self.needs_pass = true;
    }

    /// Applies a full read of the unfinished jobs at a store revision, after the job watch lost
    /// events. A known job that the read lacks has finished, unless its record was modified
    /// after that revision.
    pub fn resync_jobs(&mut self, jobs: Vec<UnfinishedJob>, revision: u64, now: Instant) {
        let present: BTreeSet<String> = jobs.iter().map(|job| job.id.clone()).collect();
        let missing: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| job.mod_revision <= revision && !present.contains(&*job.id))
            .map(|job| job.id.clone())
            .collect();
        for id in missing {
            self.job_finished(&id, None);
        }
        for job in jobs {
            self.job_accepted(&job.id, job.mod_revision, job.record, now);
        }
    }

    /// Marks a job as finished, because its record was deleted from the unfinished jobs: the job
    /// is done or cancelled. The job watch reports only the deletion, so `stage` is `None`. A
    /// controller that wrote the final record itself knows the stage.
    pub fn job_finished(&mut self, id: &str, stage: Option<JobStage>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.final_stage.is_none() {
            job.final_stage = Some(stage.unwrap_or(JobStage::Cancelled));
            let stage = stage.map_or("done or cancelled", |stage| match stage {
                JobStage::Done => "done",
                _ => "cancelled",
            });
            tracing::info!(
                fencing_token = %self.fencing_token,
                job = id,
                stage,
                done = job.done.len(),
                "job finished"
            );
        }
        let id = job.id.clone();
        self.withdraw_evidence(&id);
        self.end_attempts_of_finished_job(&id);
        self.needs_pass = true;
        self.drop_finished_job_without_attempts(&id);
    }

    /// Stops the running attempts of a finished job, and allows workers to forget its ended
    /// attempts, since no snapshot needs to record their outcomes. The next reconciliation pass
    /// withdraws launches that were not sent.
    fn end_attempts_of_finished_job(&mut self, id: &JobId) {
        for machine in self.machines.ids(|m| m.attempts_of(id).next().is_some()) {
            let Some(machine) = self.machines.get_mut(&machine) else {
                continue;
            };
            for attempt in machine.attempts_of_mut(id) {
                if attempt.ended() {
                    attempt.clearable = true;
                } else {
                    attempt.request_stop(Duration::ZERO);
                }
            }
        }
    }

    /// Takes the outcome of [`Action::ReadFinal`]: the final record of a job that finished under
    /// an earlier leader while workers still report attempts of it. The record's description
    /// says which resources those attempts use. `None` means that the store has no such record.
    pub fn orphan_job_resolved(&mut self, id: &str, record: Option<FinalRecord>) {
        let Some(record) = record else {
            // The job is neither unfinished nor finished, so no controller ever accepted it.
            // Its attempts are stopped, and their machines get no new tasks until they end.
            tracing::error!(job = id, "worker holds tasks of an unknown job");
            return;
        };
        let spec = Arc::new(record.spec);
        let id: JobId = id.into();
        for machine in self
            .machines
            .ids(|m| m.attempts_of(&id).any(|(_, a)| a.spec.is_none()))
        {
            let Some(machine) = self.machines.get_mut(&machine) else {
                continue;
            };
            for attempt in machine.attempts_of_mut(&id) {
                attempt.spec.get_or_insert_with(|| spec.clone());
            }
        }
        self.needs_pass = true;
    }

    /// Removes a job from the shard if it is finished and no attempt of it may exist any more.
    pub(in crate::coordination::shard) fn drop_finished_job_without_attempts(&mut self, id: &str) {
        if self
            .jobs
            .get(id)
            .is_some_and(|job| job.final_stage.is_some() && job.live.is_empty())
        {
            self.jobs.remove(id);
        }
    }

    /// Requests the write of a job's final record, once, if all its tasks have completed.
    pub(in crate::coordination::shard) fn finish_if_done(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.final_stage.is_none() && job.all_done() && !job.is_finish_requested {
            job.is_finish_requested = true;
            self.pending_actions.push(Action::Finish {
                job: job.id.clone(),
                mod_revision: job.mod_revision,
            });
        }
    }
}
