//! Acceptance, completion and cancellation of jobs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::{Job, UnfinishedJob};
use crate::coordination::shard::{Action, Shard};
use crate::protocol::JobId;
use crate::protocol::users::JobStage;
use crate::storage::records::{FinalRecord, JobRecord};

impl Shard {
    /// A job was accepted, or its record was read again: a known job stays as it is.
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

    /// Applies a full read of the unfinished jobs at a revision, after a watch lost events.
    /// A job that the read lacks is finished, unless it was accepted after that revision.
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

    /// A job's record was deleted: the job is done or cancelled. A watch reports only the
    /// deletion (`None`); a controller that moved the record itself knows the stage.
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
        self.close_attempts_of(&id);
        self.needs_pass = true;
        self.drop_job_if_empty(&id);
    }

    /// Stops the attempts of a finished job, and lets workers forget those that have ended:
    /// no snapshot needs to record them. Launches that were not sent are withdrawn in the
    /// next pass.
    fn close_attempts_of(&mut self, id: &JobId) {
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

    /// Answers [`Action::ReadFinal`]: what a machine's attempts of a job that finished under an
    /// earlier leader use.
    pub fn orphan_job_resolved(&mut self, id: &str, record: Option<FinalRecord>) {
        let Some(record) = record else {
            // Neither unfinished nor finished: no controller ever accepted it. Its attempts
            // are stopped, and their machine gets no new tasks while they last.
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

    /// Removes a finished job once no attempt of it may exist.
    pub(in crate::coordination::shard) fn drop_job_if_empty(&mut self, id: &str) {
        if self
            .jobs
            .get(id)
            .is_some_and(|job| job.final_stage.is_some() && job.live.is_empty())
        {
            self.jobs.remove(id);
        }
    }

    /// Requests the write of the final record once all tasks have completed.
    pub(in crate::coordination::shard) fn finish_if_done(&mut self, id: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.final_stage.is_none() && job.all_done() && !job.finish_sent {
            job.finish_sent = true;
            self.out.push(Action::Finish {
                job: job.id.clone(),
                mod_revision: job.mod_revision,
            });
        }
    }
}
