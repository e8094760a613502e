//! Making room for work that comes first.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::machines::Amounts;
use super::placement::{Pass, Slot, Usage, allowed};
use super::{Attempt, Job, Machine, Shard};
use crate::protocol::users::{JobKind, JobSpec, Priority};
use crate::protocol::{JobId, MachineId, TaskId};

/// Attempts on one machine, with what they use.
type Victims = Vec<((TaskId, u64), Arc<JobSpec>)>;

/// What a stopped service is reckoned to lose.
const SERVICE_HARM: Duration = Duration::from_secs(3600);
/// Tasks that started less than this ago are rather left to run.
const YOUNG: Duration = Duration::from_secs(30);
/// Jobs looked at in one pass.
const MOST_JOBS: usize = 8;
/// Tasks of one job for which room is made in one pass.
const MOST_AT_ONCE: u32 = 16;

impl Shard {
    /// Stops what may be stopped for jobs that found no room, the cheapest
    /// lost work first. The room is given out by later passes, in order.
    pub(super) fn preempt(&mut self, stuck: &[JobId], pass: &Pass, now: Instant) {
        let mut usage = pass.usage.clone();
        let mut coming = self.room_to_come(pass);
        for id in stuck.iter().take(MOST_JOBS) {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let spec = job.spec.clone();
            if !self.within_limit(&usage, &spec) {
                // Its team's own lesser work may hold the whole limit.
                if let Some((machine, key)) = self.lesser_of_team(&spec, now) {
                    self.stop_for_room(&machine, &key, &spec);
                }
                continue;
            }
            // Tasks that depend on one another's zones come one by one.
            let together = !spec.one_zone && !spec.scatter;
            let mut wanted = if together {
                job.waiting().min(MOST_AT_ONCE)
            } else {
                1
            };
            let places = self.places_for(job, pass);
            for at in &places {
                while wanted > 0 && coming[*at].holds(&spec) && self.within_limit(&usage, &spec) {
                    coming[*at].take(&spec);
                    usage.add(&spec, 1);
                    wanted -= 1;
                }
            }
            if wanted == 0 {
                continue;
            }
            let guaranteed = self.within_guarantee(&usage, &spec);
            let choices = self.victims_by_cost(&spec, guaranteed, &places, pass, &usage, now);
            for (_, at, victims) in choices {
                let still = self.within_limit(&usage, &spec)
                    && guaranteed == self.within_guarantee(&usage, &spec)
                    && victims
                        .iter()
                        .all(|(_, other)| self.may_stop(&spec, other, guaranteed, &usage));
                if wanted == 0 || !still {
                    break;
                }
                for (key, other) in victims {
                    self.stop_for_room(&pass.slots[at].id, &key, &spec);
                    coming[at].give(&other);
                    usage.drop(&other);
                }
                while wanted > 0 && coming[at].holds(&spec) {
                    coming[at].take(&spec);
                    usage.add(&spec, 1);
                    wanted -= 1;
                }
            }
        }
    }

    /// The room on each slot once all that is to stop there has stopped.
    fn room_to_come(&self, pass: &Pass) -> Vec<Amounts> {
        let room = |slot: &Slot| {
            let mut room = slot.free;
            if let Some(machine) = self.machines.get(&slot.id)
                && machine.tally.stopping
            {
                let stopping = |a: &&Attempt| !a.ended() && a.stop.is_some();
                for attempt in machine.attempts.values().filter(stopping) {
                    if let Some(spec) = &attempt.spec {
                        room.give(spec);
                    }
                }
            }
            room
        };
        pass.slots.iter().map(room).collect()
    }

    /// Where a job's next task may go, whatever is there now.
    fn places_for(&self, job: &Job, pass: &Pass) -> Vec<usize> {
        let spec = &job.spec;
        let zones = self.live_zones(job);
        let fits = |at: usize, slot: &Slot| {
            let zone_ok = (!spec.one_zone || zones.is_empty() || zones.contains_key(&slot.zone))
                && (!spec.scatter
                    || zones.get(&slot.zone).copied().unwrap_or(0) < spec.tasks.div_ceil(2));
            let late = spec.kind == JobKind::Standing && self.slot_is_late(spec, pass, at);
            zone_ok
                && !late
                && self.worth_it(job, slot)
                && allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
        };
        let slots = pass.slots.iter().enumerate();
        slots
            .filter(|(at, slot)| fits(*at, slot))
            .map(|(at, _)| at)
            .collect()
    }

    /// For each of these slots the victims that make room for one task, cheapest
    /// first.
    fn victims_by_cost(
        &self,
        spec: &JobSpec,
        guaranteed: bool,
        places: &[usize],
        pass: &Pass,
        usage: &Usage,
        now: Instant,
    ) -> Vec<(Duration, usize, Victims)> {
        let mut choices = Vec::new();
        for at in places {
            let slot = &pass.slots[*at];
            let Some(machine) = self.machines.get(&slot.id) else {
                continue;
            };
            if !guaranteed && !machine.tally.has_lesser(spec.priority) {
                continue;
            }
            let mut free = slot.free;
            let mut candidates = Vec::new();
            for (key, attempt) in machine.attempts.iter().filter(|(_, a)| !a.ended()) {
                let Some(other) = &attempt.spec else {
                    continue;
                };
                if attempt.stop.is_none() && self.may_stop(spec, other, guaranteed, usage) {
                    candidates.push((other.priority, harm(attempt, now), key, other));
                }
            }
            candidates.sort_by(|a, b| (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2)));
            let mut cost = Duration::ZERO;
            let mut victims = Vec::new();
            for (_, lost, key, other) in candidates {
                if free.holds(spec) {
                    break;
                }
                free.give(other);
                cost += lost;
                victims.push((key.clone(), other.clone()));
            }
            if free.holds(spec) && !victims.is_empty() {
                choices.push((cost, *at, victims));
            }
        }
        choices.sort_by_key(|(cost, at, _)| (*cost, *at));
        choices
    }

    /// The cheapest task of lower priority of the same team, unless one is
    /// being stopped already.
    fn lesser_of_team(&self, spec: &JobSpec, now: Instant) -> Option<(MachineId, (TaskId, u64))> {
        let mut best: Option<(Priority, Duration, &MachineId, &(TaskId, u64))> = None;
        let lesser = |machine: &&Machine| machine.tally.has_lesser(spec.priority);
        for machine in self.machines.values().filter(lesser) {
            for (key, attempt) in machine.attempts.iter().filter(|(_, a)| !a.ended()) {
                let Some(other) = &attempt.spec else {
                    continue;
                };
                if other.team != spec.team || other.priority >= spec.priority {
                    continue;
                }
                if attempt.stop.is_some() {
                    return None;
                }
                let cost = (other.priority, harm(attempt, now));
                if best
                    .as_ref()
                    .is_none_or(|(priority, harm, ..)| cost < (*priority, *harm))
                {
                    best = Some((cost.0, cost.1, &machine.id, key));
                }
            }
        }
        best.map(|(_, _, machine, key)| (machine.clone(), key.clone()))
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

    /// The victim gets its time to save, unless what comes can't wait for it:
    /// then it falls back to its last checkpoint.
    fn stop_for_room(&mut self, machine: &MachineId, key: &(TaskId, u64), comes: &JobSpec) {
        let wait = self.policy.wait_within.get(&comes.class).copied();
        let Some(attempt) = self
            .machines
            .get_mut(machine)
            .and_then(|m| m.attempts.get_mut(key))
        else {
            return;
        };
        tracing::debug!(%machine, task = %key.0, "stopped to make room");
        let grace = attempt
            .spec
            .as_ref()
            .map_or(Duration::ZERO, |spec| spec.save_time());
        let in_time = wait.is_none_or(|wait| grace < wait / 2);
        attempt.want_stop(if in_time { grace } else { Duration::ZERO });
    }
}

/// How much stopping an attempt now would hurt.
fn harm(attempt: &Attempt, now: Instant) -> Duration {
    let Some(spec) = &attempt.spec else {
        return Duration::ZERO;
    };
    if spec.kind == JobKind::Standing {
        return SERVICE_HARM;
    }
    // A start that is soon undone helped nobody.
    let young = now.saturating_duration_since(attempt.since) < YOUNG;
    attempt.work_at_risk(now) + if young { YOUNG } else { Duration::ZERO }
}
