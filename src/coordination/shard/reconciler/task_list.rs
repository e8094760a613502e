//! Comparison of a heartbeat's task list with the attempts that the shard knows.

use std::time::{Duration, Instant};

use crate::coordination::shard::{Action, Attempt, Phase, Shard};
use crate::protocol::workers::{AttemptOutcome, TaskState, TaskStatus};
use crate::protocol::{AttemptId, MachineId};

/// Images that a machine is taken to cache; the worker decides what it keeps.
const IMAGES_REMEMBERED: usize = 12;

impl Shard {
    /// Compares a synced heartbeat's list with the books.
    pub(super) fn take_tasks(&mut self, id: &MachineId, tasks: &[TaskStatus], now: Instant) {
        let mut listed = Vec::with_capacity(tasks.len());
        for line in tasks {
            listed.push(line.attempt_id());
            self.take_task(id, line, now);
        }
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        // What was shown before and is not any more is gone for good. What was
        // never shown may still land.
        listed.sort();
        let gone: Vec<AttemptId> = machine
            .attempts
            .iter()
            .filter(|(key, attempt)| {
                attempt.phase != Phase::Launching && listed.binary_search(key).is_err()
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.remove_attempt(id, &key, now);
        }
    }

    fn take_task(&mut self, id: &MachineId, line: &TaskStatus, now: Instant) {
        let key = line.attempt_id();
        let known = self
            .machines
            .get(id)
            .is_some_and(|m| m.attempts.contains_key(&key));
        if !known {
            self.adopt_attempt(id, &key, line.state != TaskState::Ended, now);
        }
        let phase = match line.state {
            TaskState::Fetching => Phase::Fetching,
            TaskState::Waiting => Phase::Waiting,
            TaskState::Running => Phase::Running,
            TaskState::Saving => Phase::Saving,
            TaskState::Ended => Phase::Ended(line.outcome.unwrap_or(AttemptOutcome::Other)),
        };
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(attempt) = machine.attempts.get_mut(&key) else {
            return;
        };
        if attempt.phase == phase {
            return;
        }
        let had_ended = attempt.ended();
        attempt.phase = phase;
        attempt.since = now;
        if phase == Phase::Running {
            tracing::debug!(machine = %id, task = %line.task, "running");
            attempt.running_since.get_or_insert(now);
        }
        let started = matches!(phase, Phase::Waiting | Phase::Running | Phase::Saving)
            || phase == Phase::Ended(AttemptOutcome::Done);
        let image = attempt.spec.as_ref().map(|spec| spec.image.clone());
        if let (true, Some(image)) = (started, image) {
            machine.use_image(&image, IMAGES_REMEMBERED);
        }
        if let Phase::Ended(outcome) = phase
            && !had_ended
        {
            self.attempt_ended(id, &key, outcome, now);
        }
    }

    /// A task on a machine that an earlier leader started.
    fn adopt_attempt(&mut self, id: &MachineId, key: &AttemptId, live: bool, now: Instant) {
        let task = &key.task;
        let mut attempt = Attempt::new(None, Phase::Launching, now);
        attempt.adopted = true;
        match self.jobs.get_mut(&task.job) {
            Some(job) if task.index < job.spec.tasks => {
                attempt.spec = Some(job.spec.clone());
                let unwanted = job.final_stage.is_some()
                    || job.done().contains(task.index)
                    || job.live().contains_key(&task.index);
                if unwanted {
                    attempt.want_stop(Duration::ZERO);
                }
                if live {
                    job.put(task.index, id);
                }
            }
            _ if live => {
                // Its job was over before we came.
                attempt.want_stop(Duration::ZERO);
                self.out.push(Action::ReadFinal {
                    job: task.job.clone(),
                });
            }
            _ => {}
        }
        if let Some(machine) = self.machines.get_mut(id) {
            if live {
                machine.idle_since = None;
            }
            machine.attempts.insert(key.clone(), attempt);
        }
    }
}
