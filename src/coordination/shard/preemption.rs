//! Making room for work that comes first.

use std::time::{Duration, Instant};

use super::placement::{Pass, Usage, allowed};
use super::{Attempt, Job, Machine, Shard};
use crate::protocol::users::{JobKind, JobSpec, Priority};
use crate::protocol::{JobId, MachineId, TaskId};

/// Attempts on one machine.
type Victims = Vec<(TaskId, u64)>;

/// What a stopped service is reckoned to lose.
const SERVICE_HARM: Duration = Duration::from_secs(3600);
/// Tasks that started less than this ago are rather left to run.
const YOUNG: Duration = Duration::from_secs(30);
/// Jobs looked at in one pass.
const MOST_JOBS: usize = 8;

impl Shard {
    /// Stops what may be stopped for jobs that found no room, the cheapest
    /// lost work first. The room is given out by later passes, in order.
    pub(super) fn preempt(&mut self, stuck: &[JobId], pass: &Pass, now: Instant) {
        let mut usage = pass.usage.clone();
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
            let guaranteed = self.within_guarantee(&usage, &spec);
            if let Some((machine, victims)) =
                self.cheapest_victims(job, guaranteed, &usage, pass, now)
            {
                for key in victims {
                    self.stop_for_room(&machine, &key, &spec);
                }
                usage.add(&spec, 1);
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
        pass: &Pass,
        now: Instant,
    ) -> Option<(MachineId, Victims)> {
        let spec = &job.spec;
        let zones = self.live_zones(job);
        let stays = self.stays_with_services(job, &zones, pass);
        let mut best: Option<(Duration, MachineId, Victims)> = None;
        for (at, slot) in pass.slots.iter().enumerate() {
            let zone_ok = (!spec.one_zone || zones.is_empty() || zones.contains_key(&slot.zone))
                && (!spec.scatter
                    || zones.get(&slot.zone).copied().unwrap_or(0) < spec.tasks.div_ceil(2));
            let late = spec.kind == JobKind::Standing && self.slot_is_late(spec, pass, at);
            if !zone_ok
                || late
                || (stays && slot.barren)
                || !self.worth_it(job, slot)
                || !allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
            {
                continue;
            }
            let machine = self.machines.get(&slot.id)?;
            let tally = &machine.tally;
            let room = slot.free.holds(spec) || tally.stopping;
            if !(room || guaranteed || tally.has_lesser(spec.priority)) {
                continue;
            }
            let mut free = slot.free;
            let mut candidates = Vec::new();
            for (key, attempt) in machine.attempts.iter().filter(|(_, a)| !a.ended()) {
                let Some(other) = &attempt.spec else {
                    continue;
                };
                if attempt.stop.is_some() {
                    free.give(other);
                } else if self.may_stop(spec, other, guaranteed, usage) {
                    candidates.push((other.priority, harm(attempt, now), key, attempt));
                }
            }
            if free.holds(spec) {
                return Some((slot.id.clone(), Vec::new()));
            }
            candidates.sort_by(|a, b| (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2)));
            let mut cost = Duration::ZERO;
            let mut victims = Vec::new();
            for (_, lost, key, attempt) in candidates {
                if free.holds(spec) {
                    break;
                }
                if let Some(other) = &attempt.spec {
                    free.give(other);
                    cost += lost;
                    victims.push(key.clone());
                }
            }
            if free.holds(spec) && best.as_ref().is_none_or(|(least, ..)| cost < *least) {
                best = Some((cost, slot.id.clone(), victims));
            }
        }
        best.map(|(_, machine, victims)| (machine, victims))
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
