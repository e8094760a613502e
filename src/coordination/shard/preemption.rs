//! Making room for work that comes first.

use std::time::{Duration, Instant};

use super::placement::{Slot, Usage, allowed};
use super::{Attempt, Job, Shard};
use crate::protocol::users::JobSpec;
use crate::protocol::{JobId, MachineId, TaskId};

/// Attempts on one machine.
type Victims = Vec<(TaskId, u64)>;

/// Jobs looked at in one pass.
const MOST_JOBS: usize = 8;

impl Shard {
    /// Stops what may be stopped for jobs that found no room, the cheapest
    /// lost work first. The room is given out by later passes, in order.
    pub(super) fn preempt(&mut self, stuck: &[JobId], usage: &Usage, slots: &[Slot], now: Instant) {
        let mut usage = usage.clone();
        for id in stuck.iter().take(MOST_JOBS) {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let spec = job.spec.clone();
            if !self.within_limit(&usage, &spec) {
                continue;
            }
            let guaranteed = self.within_guarantee(&usage, &spec);
            if let Some((machine, victims)) =
                self.cheapest_victims(job, guaranteed, &usage, slots, now)
            {
                for key in victims {
                    self.stop_for_room(&machine, &key);
                }
                usage.add(&spec);
            }
        }
    }

    /// The victims on one machine that make room for one task, or an empty
    /// list if room is being made there already.
    fn cheapest_victims(
        &self,
        job: &Job,
        guaranteed: bool,
        usage: &Usage,
        slots: &[Slot],
        now: Instant,
    ) -> Option<(MachineId, Victims)> {
        let spec = &job.spec;
        let zones = self.live_zones(job);
        let mut best: Option<(Duration, MachineId, Victims)> = None;
        for slot in slots {
            let zone_ok = (!spec.one_zone || zones.is_empty() || zones.contains_key(&slot.zone))
                && (!spec.scatter
                    || zones.get(&slot.zone).copied().unwrap_or(0) < spec.tasks.div_ceil(2));
            if !zone_ok || !allowed(spec, &slot.machine_type, &slot.zone, slot.spot) {
                continue;
            }
            let machine = self.machines.get(&slot.id)?;
            let mut free = slot.free;
            let mut candidates = Vec::new();
            for (key, attempt) in machine.attempts.iter().filter(|(_, a)| !a.ended()) {
                let Some(other) = &attempt.spec else {
                    continue;
                };
                if attempt.stop.is_some() {
                    free.give(other);
                } else if self.may_stop(spec, other, guaranteed, usage) {
                    candidates.push((attempt.work_at_risk(now), key, attempt));
                }
            }
            if free.fits(spec) > 0 {
                return Some((slot.id.clone(), Vec::new()));
            }
            candidates.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.cmp(b.1)));
            let mut cost = Duration::ZERO;
            let mut victims = Vec::new();
            for (lost, key, attempt) in candidates {
                if free.fits(spec) > 0 {
                    break;
                }
                if let Some(other) = &attempt.spec {
                    free.give(other);
                    cost += lost;
                    victims.push(key.clone());
                }
            }
            if free.fits(spec) > 0 && best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, slot.id.clone(), victims));
            }
        }
        best.map(|(_, machine, victims)| (machine, victims))
    }

    /// PROTOCOL's "Preemption": lower priority gives way, and what a team runs
    /// beyond its guarantee gives way to another team's guarantee.
    fn may_stop(&self, spec: &JobSpec, other: &JobSpec, guaranteed: bool, usage: &Usage) -> bool {
        if other.priority < spec.priority {
            return true;
        }
        let beyond = self.policy.teams.get(&other.team).is_some_and(|team| {
            let used = usage.of(&other.team);
            used.cores - other.cores >= team.cores
        });
        guaranteed && other.team != spec.team && beyond
    }

    fn stop_for_room(&mut self, machine: &MachineId, key: &(TaskId, u64)) {
        let Some(attempt) = self
            .machines
            .get_mut(machine)
            .and_then(|m| m.attempts.get_mut(key))
        else {
            return;
        };
        tracing::debug!(%machine, task = %key.0, "stopped to make room");
        attempt.want_stop(grace(attempt));
    }
}

/// Time to save, for a task that can.
fn grace(attempt: &Attempt) -> Duration {
    match &attempt.spec {
        Some(spec) if spec.checkpoint_s > 0.0 => Duration::from_secs_f64(spec.save_s.min(1e6)),
        _ => Duration::ZERO,
    }
}
