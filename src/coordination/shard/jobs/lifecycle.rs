//! How jobs come and go: acceptance, completion and cancellation.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Job;
use crate::coordination::shard::{Action, Shard};
use crate::protocol::JobId;
use crate::protocol::users::Stage;
use crate::storage::records::{FinalRecord, JobRecord};

impl Shard {
    /// A job was accepted (or its record was read again).
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

    /// All unfinished jobs, read again at a revision.
    pub fn resync_jobs(
        &mut self,
        jobs: Vec<(String, u64, JobRecord)>,
        revision: u64,
        now: Instant,
    ) {
        let present: BTreeSet<String> = jobs.iter().map(|(id, ..)| id.clone()).collect();
        let gone: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| job.mod_revision <= revision && !present.contains(&*job.id))
            .map(|job| job.id.clone())
            .collect();
        for id in gone {
            self.job_finished(&id, None);
        }
        for (id, mod_revision, record) in jobs {
            self.job_accepted(&id, mod_revision, record, now);
        }
    }

    /// A job's record is gone: it is done or cancelled.
    pub fn job_finished(&mut self, id: &str, stage: Option<Stage>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.final_stage.is_none() {
            job.final_stage = Some(stage.unwrap_or(Stage::Cancelled));
            // A watch tells only that the record is gone; who moved it knows why.
            let stage = stage.map_or("done or cancelled", |stage| match stage {
                Stage::Done => "done",
                _ => "cancelled",
            });
            tracing::info!(
                fencing_token = %self.fencing_token,
                job = id,
                stage,
                done = job.done.len(),
                "job over"
            );
        }
        let id = job.id.clone();
        self.withdraw_evidence(&id);
        self.close_attempts_of(&id);
        self.needs_pass = true;
        self.drop_job_if_empty(&id);
    }

    /// Stops all that may exist of a finished job; its ends need no
    /// snapshot any more. Launches not yet sent are taken back as the shard
    /// settles.
    fn close_attempts_of(&mut self, id: &JobId) {
        for machine in self.machines.ids(|m| m.attempts_of(id).next().is_some()) {
            let Some(machine) = self.machines.get_mut(&machine) else {
                continue;
            };
            for attempt in machine.attempts_of_mut(id) {
                if attempt.ended() {
                    attempt.clearable = true;
                } else {
                    attempt.want_stop(Duration::ZERO);
                }
            }
        }
    }

    /// What an orphan on a machine was: its job is over.
    pub fn orphan_job_resolved(&mut self, id: &str, record: Option<FinalRecord>) {
        let Some(record) = record else {
            // Neither unfinished nor over: no controller has ever accepted it.
            // Its tasks stay stopped, and their machine stays closed.
            tracing::error!(job = id, "a machine holds tasks of an unknown job");
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

    /// Forgets a finished job once no attempt of it may exist.
    pub(in crate::coordination::shard) fn drop_job_if_empty(&mut self, id: &str) {
        if self
            .jobs
            .get(id)
            .is_some_and(|job| job.final_stage.is_some() && job.live.is_empty())
        {
            self.jobs.remove(id);
        }
    }

    /// Asks for the final record once all tasks are done.
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
