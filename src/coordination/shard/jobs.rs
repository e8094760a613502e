//! Jobs as the leader keeps them.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::failures::FailureHistory;
use super::slowness::RunTimes;
use super::{Action, GangAttempt, Shard};
use crate::protocol::users::{JobKind, JobSpec, Stage};
use crate::protocol::{JobId, MachineId};
use crate::storage::records::{FinalRecord, JobRecord};
use crate::storage::task_set::TaskSet;

/// How many of a job's tasks are done and running, for display.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Tasks that have completed.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

/// A job and the progress of its tasks.
#[derive(Debug)]
pub struct Job {
    /// The job's id.
    pub id: JobId,
    /// Its description.
    pub spec: Arc<JobSpec>,
    /// The version of its record in the key-value store.
    pub mod_revision: u64,
    /// Time of day of its acceptance, in milliseconds.
    pub at_ms: u64,
    done: TaskSet,
    /// Tasks that may exist on a machine. Ended ones are not among them.
    live: HashMap<u32, MachineId>,
    /// Tasks that were on a machine we knew of and surely are on none now.
    unplaced: BTreeSet<u32>,
    /// Tasks that are both: they ended as done while another attempt of them
    /// may still exist.
    both: u32,
    /// Its failed attempts.
    pub failures: FailureHistory,
    /// Until when none of its tasks is started.
    pub not_before: Option<Instant>,
    /// Run times of its completed tasks, for comparing machines.
    pub ran: RunTimes,
    /// Its final state, if it is over.
    pub final_stage: Option<Stage>,
    /// Its final record has been asked for.
    pub finish_sent: bool,
    /// Some of its tasks can't wait for cheap room alone.
    pub pressed: bool,
    /// If it is a gang, its present attempt.
    pub gang: GangAttempt,
    /// Where to look first for a task that waits.
    cursor: u32,
}

impl Job {
    /// A job of which nothing is known but its record.
    pub fn new(id: JobId, mod_revision: u64, record: JobRecord) -> Self {
        Self {
            id,
            spec: Arc::new(record.spec),
            mod_revision,
            at_ms: record.accepted_at_ms,
            done: TaskSet::default(),
            live: HashMap::new(),
            unplaced: BTreeSet::new(),
            both: 0,
            failures: FailureHistory::default(),
            not_before: None,
            ran: RunTimes::default(),
            final_stage: None,
            finish_sent: false,
            pressed: false,
            gang: GangAttempt::default(),
            cursor: 0,
        }
    }

    /// Tasks that are neither done nor possibly on a machine.
    pub fn waiting(&self) -> u32 {
        if self.final_stage.is_some() {
            return 0;
        }
        (self.spec.tasks + self.both).saturating_sub(self.done.len() + self.live.len() as u32)
    }

    /// Waiting tasks that are surely nowhere, whatever an earlier leader did.
    pub fn known_unplaced(&self) -> u32 {
        match self.final_stage {
            Some(_) => 0,
            None => self.unplaced.len() as u32,
        }
    }

    /// Waiting tasks that an earlier leader may have started somewhere.
    pub fn unreconciled_tasks(&self) -> u32 {
        self.waiting().saturating_sub(self.known_unplaced())
    }

    /// The waiting tasks, counted one by one.
    #[cfg(test)]
    pub fn recount_waiting(&self) -> u32 {
        let waits = |n: &u32| !self.done.contains(*n) && !self.live.contains_key(n);
        match self.final_stage {
            Some(_) => 0,
            None => (0..self.spec.tasks).filter(waits).count() as u32,
        }
    }

    /// Its completed tasks.
    pub fn done(&self) -> &TaskSet {
        &self.done
    }

    /// Tasks that may exist, and where.
    pub fn live(&self) -> &HashMap<u32, MachineId> {
        &self.live
    }

    /// A task has completed.
    pub fn complete(&mut self, index: u32) {
        self.unplaced.remove(&index);
        if self.done.insert(index) && self.live.contains_key(&index) {
            self.both += 1;
        }
    }

    /// A task may be on a machine from now on, unless it may be on another.
    pub fn put(&mut self, index: u32, machine: &MachineId) {
        if let std::collections::hash_map::Entry::Vacant(free) = self.live.entry(index) {
            free.insert(machine.clone());
            self.unplaced.remove(&index);
            self.both += u32::from(self.done.contains(index));
        }
    }

    /// A task can't be on that machine any more.
    pub fn lift(&mut self, index: u32, machine: &MachineId) {
        if self.live.get(&index) == Some(machine) {
            self.live.remove(&index);
            if self.done.contains(index) {
                self.both -= 1;
            } else {
                self.unplaced.insert(index);
            }
            if self.live.is_empty() {
                self.gang = GangAttempt::default();
            }
        }
    }

    /// The next waiting task that is surely nowhere; all are once every machine
    /// is reconciled.
    pub fn next_waiting(&mut self, all: bool) -> Option<u32> {
        if !all {
            return self.unplaced.first().copied();
        }
        // What was released lies before the cursor only if it was lifted since.
        let free = |n: &u32| !self.done.contains(*n) && !self.live.contains_key(n);
        let next = (self.cursor..self.spec.tasks)
            .find(free)
            .or_else(|| (0..self.cursor.min(self.spec.tasks)).find(free));
        self.cursor = next.unwrap_or(0);
        next
    }

    /// Whether every task has completed; a service never is.
    pub fn all_done(&self) -> bool {
        self.spec.kind != JobKind::Service && self.done.len() >= self.spec.tasks
    }

    /// When it should be complete, in time of day.
    pub fn due_ms(&self) -> u64 {
        match self.spec.deadline_s {
            Some(s) => self.at_ms.saturating_add((s * 1000.0) as u64),
            None => u64::MAX,
        }
    }
}

impl Shard {
    /// A job was accepted (or its record was read again).
    pub fn job_accepted(&mut self, id: &str, mod_revision: u64, record: JobRecord, now: Instant) {
        if self.jobs.contains_key(id) {
            return;
        }
        self.autoscaler.note_arrival(&record.spec, now, now);
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
    pub(super) fn drop_job_if_empty(&mut self, id: &str) {
        if self
            .jobs
            .get(id)
            .is_some_and(|job| job.final_stage.is_some() && job.live.is_empty())
        {
            self.jobs.remove(id);
        }
    }

    /// Asks for the final record once all tasks are done.
    pub(super) fn finish_if_done(&mut self, id: &str) {
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
