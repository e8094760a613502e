//! Reconciliation of gangs: tasks that cannot go on together are stopped together.

use std::time::{Duration, Instant};

use super::GangAttempt;
use crate::coordination::shard::scheduler::view::SchedulerView;
use crate::coordination::shard::{Job, Phase, Shard};
use crate::protocol::{AttemptId, JobId, MachineId};

/// The share of the time that a gang's tasks wait for one another within which a lost task
/// is replaced. Later, its image would hardly be pulled in time.
const REPLACEMENT_WINDOW: f64 = 0.4;

/// A task of a gang that may be on a machine.
struct GangMember {
    machine: MachineId,
    attempt: AttemptId,
    phase: Phase,
    /// Since when it is in this phase.
    since: Instant,
    /// The grace period of a stop that was decided.
    stop: Option<Duration>,
}

/// What happens to a gang's attempt.
#[derive(Debug, Clone, Copy)]
enum GangDecision {
    Continue,
    /// All its tasks stop, with this time to save a checkpoint.
    Stop {
        grace: Duration,
    },
}

impl Shard {
    /// Brings the tasks of each gang to the same state: if one has to stop, all do.
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

    fn stop_gang_members(
        &mut self,
        members: &[GangMember],
        current_number: u64,
        decision: GangDecision,
    ) {
        for member in members {
            let grace = match decision {
                GangDecision::Stop { grace } if member.stop.is_none() => grace,
                // A task of an earlier attempt would keep the gang from starting.
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
    /// The attempts of a gang's tasks that have not ended, by machine.
    fn gang_members(&self, job: &Job) -> Vec<GangMember> {
        let mut members = Vec::new();
        let mut hosts: Vec<&MachineId> = job.live().values().collect();
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

    fn decide_gang(
        &self,
        job: &Job,
        members: &[GangMember],
        started: bool,
        now: Instant,
    ) -> GangDecision {
        // If one task stops, all do: with the same grace period if that suffices to save.
        let stopping = members.iter().filter_map(|member| member.stop).min();
        if let Some(grace) = stopping {
            let sufficient = grace >= job.spec.save_time();
            let grace = if sufficient { grace } else { Duration::ZERO };
            return GangDecision::Stop { grace };
        }
        let complete = job.live().len() as u32 == job.spec.tasks;
        // A missing task may be on an unreconciled machine.
        let may_be_elsewhere = self.placeable_tasks(job) < job.waiting();
        if complete || !job.done().is_empty() || may_be_elsewhere {
            return GangDecision::Continue;
        }
        if started || self.too_late_to_replace(members, now) {
            tracing::debug!(job = %job.id, started, "gang stopped: a task was lost");
            return GangDecision::Stop {
                grace: Duration::ZERO,
            };
        }
        GangDecision::Continue
    }

    /// Whether a replacement of a lost task would come too late for those that wait.
    fn too_late_to_replace(&self, members: &[GangMember], now: Instant) -> bool {
        let waiting = members
            .iter()
            .filter(|member| member.phase == Phase::Waiting);
        let first = waiting.map(|member| member.since).min();
        first.is_some_and(|since| {
            let waited = now.saturating_duration_since(since);
            waited > self.policy.gang_wait.mul_f64(REPLACEMENT_WINDOW)
        })
    }
}

/// The newest attempt of a gang, and whether it has started.
fn current_attempt(job: &Job, members: &[GangMember]) -> GangAttempt {
    let numbers = members.iter().map(|member| member.attempt.number);
    let attempt_number = numbers.max().unwrap_or(0);
    let known_as_started = job.gang.attempt_number == attempt_number && job.gang.started;
    let runs = |member: &GangMember| matches!(member.phase, Phase::Running | Phase::Saving);
    GangAttempt {
        attempt_number,
        started: known_as_started || members.iter().any(runs),
    }
}
