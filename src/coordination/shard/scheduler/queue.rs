//! In which order waiting jobs and teams get room.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::quota::Usage;
use crate::coordination::shard::{Job, Shard};
use crate::protocol::JobId;

/// Run times are often overestimated by this much.
const SHORTEST_RUN: f64 = 0.5;

/// A job's place among those of its priority; what comes first is less.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::coordination::shard) struct QueueKey {
    /// It can make none of its times any more.
    too_late: bool,
    /// The next time that it can make, in time of day.
    due_ms: u64,
    accepted_ms: u64,
}

impl QueueKey {
    fn new(too_late: bool, due_ms: u64, job: &Job) -> Self {
        Self {
            too_late,
            due_ms,
            accepted_ms: job.at_ms,
        }
    }
}

impl Shard {
    /// Jobs go by the next time that they can still make; those that can make
    /// none come last.
    pub(in crate::coordination::shard) fn queue_key(&self, job: &Job, wall: u64) -> QueueKey {
        // A gang that starts late is late as a whole: it goes by its start.
        let wait = self.policy.wait_within.get(&job.spec.class);
        let start = wait.filter(|_| job.spec.is_gang());
        let start = start.map(|within| job.at_ms.saturating_add(within.as_millis() as u64));
        if let Some(start) = start.filter(|start| *start > wall) {
            return QueueKey::new(false, start, job);
        }
        let run = Duration::from_secs_f64(job.spec.duration_s * SHORTEST_RUN);
        match self.next_due(job, wall + run.as_millis() as u64) {
            Some(due) => QueueKey::new(false, due, job),
            None => QueueKey::new(job.due_ms() < wall, job.due_ms(), job),
        }
    }

    /// The first time from `from` on by which a job had better be done: its
    /// deadline, the multiples of it and the time since it came that the users
    /// state for its class.
    pub(in crate::coordination::shard) fn next_due(&self, job: &Job, from: u64) -> Option<u64> {
        let class = &job.spec.class;
        let after = |s: f64| job.at_ms.saturating_add((s * 1e3) as u64);
        let stated = self.policy.deadline_times.get(class);
        let multiples = stated.map_or(&[1.0][..], Vec::as_slice);
        let deadlines = job
            .spec
            .deadline_s
            .into_iter()
            .flat_map(|s| multiples.iter().map(move |multiple| s * multiple));
        let within = self.policy.finish_within.get(class);
        let finish = within.map(|within| within.as_secs_f64());
        deadlines
            .chain(finish)
            .map(after)
            .filter(|due| *due >= from)
            .min()
    }

    pub(super) fn next_team(
        &self,
        queues: &HashMap<String, VecDeque<JobId>>,
        usage: &Usage,
    ) -> Option<String> {
        queues
            .iter()
            .filter_map(|(team, queue)| {
                let job = self.jobs.get(queue.front()?)?;
                Some((self.turn(usage, &job.spec), team))
            })
            .min_by(|a, b| {
                a.0.0
                    .cmp(&b.0.0)
                    .then(a.0.1.total_cmp(&b.0.1))
                    .then(a.1.cmp(b.1))
            })
            .map(|(_, team)| team.clone())
    }
}
