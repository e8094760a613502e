//! Reconciliation of gangs: if a task of a gang stops, or is lost and can't be replaced in time,
//! the whole gang is stopped.

use std::time::{Duration, Instant};

use super::GangAttempt;
use crate::coordination::shard::scheduler::view::SchedulerView;
use crate::coordination::shard::{Job, Phase, Shard};
use crate::protocol::{AttemptId, JobId, MachineId};

/// A lost task of a gang is replaced only until the gang's other tasks have waited for this share
/// of [`Policy::gang_wait`](crate::coordination::shard::Policy::gang_wait). A later replacement
/// could hardly pull its image in time.
const REPLACEMENT_WINDOW: f64 = 0.4;

/// An attempt of a gang's task that may exist on a machine.
struct GangMember {
    machine: MachineId,
    attempt: AttemptId,
    phase: Phase,
    /// When it entered this phase.
    since: Instant,
    /// The grace period of its stop, if a stop was decided.
    stop: Option<Duration>,
}

/// What is decided for a gang's attempt.
#[derive(Debug, Clone, Copy)]
enum GangDecision {
    /// The gang goes on running or waiting for its tasks.
    Continue,
    /// All its tasks are stopped, with this grace period to save a checkpoint.
    Stop { grace: Duration },
}

impl Shard {
    /// Updates the current attempt of each gang, and stops all tasks of a gang of which one is
    /// stopping, or of which a lost task can't be replaced.
    pub(in crate::coordination::shard) fn reconcile_gangs(&mut self, now: Instant) {
        let gangs: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| job.spec.is_gang() && job.final_stage.is_none() && !job.live().is_empty())
            .map(|job| job.id.clone())
            .collect();
        for id in gangs {
            let view = self.scheduler_view();
            let Some(job) = view.jobs.get(&id) else {
                continue;
            };
            let members = view.gang_members(job);
            let current = current_attempt(job, &members);
            let decision = view.decide_gang(job, &members, current.started, now);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.gang = current;
            }
            self.stop_gang_members(&members, current.attempt_number, decision);
        }
    }

    /// Stops a gang's tasks if that is decided, and in any case its tasks of earlier attempts.
    fn stop_gang_members(
        &mut self,
        members: &[GangMember],
        current_number: u64,
        decision: GangDecision,
    ) {
        for member in members {
            let grace = match decision {
                GangDecision::Stop { grace } if member.stop.is_none() => grace,
                // The gang could not start while a task of an earlier attempt is live.
                _ if member.attempt.number < current_number => Duration::ZERO,
                _ => continue,
            };
            let machine = self.machines.get_mut(&member.machine);
            let attempt = machine.and_then(|m| m.attempts.get_mut(&member.attempt));
            if let Some(attempt) = attempt {
                attempt.request_stop(grace);
            }
        }
    }
}

impl SchedulerView<'_> {
    /// The attempts of a gang's tasks that have not ended, in the order of their machines.
    fn gang_members(&self, job: &Job) -> Vec<GangMember> {
        let mut members = Vec::new();
        let mut hosts: Vec<&MachineId> = job.live().machines().collect();
        hosts.sort();
        hosts.dedup();
        for machine in hosts.into_iter().filter_map(|id| self.machines.get(id)) {
            let live = machine.attempts_of(&job.id).filter(|(_, a)| !a.ended());
            members.extend(live.map(|(id, attempt)| GangMember {
                machine: machine.id.clone(),
                attempt: id.clone(),
                phase: attempt.phase,
                since: attempt.phase_since,
                stop: attempt.stop_grace(),
            }));
        }
        members
    }

    /// Decides whether a gang goes on or is stopped.
    fn decide_gang(
        &self,
        job: &Job,
        members: &[GangMember],
        started: bool,
        now: Instant,
    ) -> GangDecision {
        // If one task stops, all do. They get the shortest of the decided grace periods if it is
        // long enough to save a checkpoint, or else none.
        let shortest_grace = members.iter().filter_map(|member| member.stop).min();
        if let Some(grace) = shortest_grace {
            let is_sufficient = grace >= job.spec.save_time();
            let grace = if is_sufficient { grace } else { Duration::ZERO };
            return GangDecision::Stop { grace };
        }
        let all_live = job.live().len() as u32 == job.spec.tasks;
        // A task that is not live may be on an unreconciled machine.
        let may_be_elsewhere = self.placeable_tasks(job) < job.waiting();
        if all_live || !job.done().is_empty() || may_be_elsewhere {
            return GangDecision::Continue;
        }
        if started || self.is_too_late_to_replace(members, now) {
            tracing::debug!(job = %job.id, started, "gang stopped: a task was lost");
            return GangDecision::Stop {
                grace: Duration::ZERO,
            };
        }
        GangDecision::Continue
    }

    /// Whether a replacement of a lost task would come too late for the gang's tasks that wait for
    /// it already.
    fn is_too_late_to_replace(&self, members: &[GangMember], now: Instant) -> bool {
        let waiting = members
            .iter()
            .filter(|member| member.phase == Phase::Waiting);
        let waiting_since = waiting.map(|member| member.since).min();
        waiting_since.is_some_and(|since| {
            let waited = now.saturating_duration_since(since);
            waited > self.policy.gang_wait.mul_f64(REPLACEMENT_WINDOW)
        })
    }
}

/// The newest attempt of a gang, and whether it has started.
fn current_attempt(job: &Job, members: &[GangMember]) -> GangAttempt {
    let numbers = members.iter().map(|member| member.attempt.number);
    let attempt_number = numbers.max().unwrap_or(0);
    let was_started = job.gang.attempt_number == attempt_number && job.gang.started;
    let has_run = |member: &GangMember| matches!(member.phase, Phase::Running | Phase::Saving);
    GangAttempt {
        attempt_number,
        started: was_started || members.iter().any(has_run),
    }
}
