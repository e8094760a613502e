//! Making room for work that comes first.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::candidates::{Pass, Slot, allowed};
use super::quota::Usage;
use crate::coordination::shard::machines::Amounts;
use crate::coordination::shard::{Attempt, Job, Machine, Shard};
use crate::protocol::users::{JobKind, JobSpec, Priority};
use crate::protocol::{AttemptId, JobId, MachineId};

/// Attempts on one machine.
type Victims = Vec<AttemptId>;

/// What a stopped service is reckoned to lose.
const SERVICE_HARM: Duration = Duration::from_secs(3600);
/// Tasks that started less than this ago are rather left to run.
const YOUNG: Duration = Duration::from_secs(30);
/// Jobs looked at in one pass, and as many gangs.
const MOST_JOBS: usize = 8;
/// Tasks stopped in one pass.
const MOST_STOPPED: usize = 64;

/// An attempt that is to stop, and what comes instead.
#[derive(Clone)]
struct Stop {
    machine: MachineId,
    key: AttemptId,
    comes: Arc<JobSpec>,
}

/// What making room in one pass has used up so far.
#[derive(Clone)]
struct Making {
    usage: Usage,
    /// By slot, what is free or being freed, less what it is meant for.
    room: Vec<Amounts>,
    stops: Vec<Stop>,
    /// Attempts that are to stop by now.
    chosen: HashSet<AttemptId>,
}

impl Shard {
    /// Stops what may be stopped for jobs that found no room, the cheapest
    /// lost work first. The room is given out by later passes, in order.
    pub(super) fn preempt(&mut self, stuck: &[JobId], pass: &Pass, now: Instant) {
        let mut making = Making {
            usage: pass.usage.clone(),
            room: self.room_being_made(pass),
            stops: Vec::new(),
            chosen: HashSet::new(),
        };
        // Gangs have no other way to room, while arrays attempt_number what falls free: they
        // are counted apart.
        let (mut gangs, mut others) = (0, 0);
        for job in stuck.iter().filter_map(|id| self.jobs.get(id)) {
            let gang = job.spec.is_gang();
            let looked = if gang { &mut gangs } else { &mut others };
            if *looked >= MOST_JOBS {
                continue;
            }
            *looked += 1;
            if gang {
                self.make_room_for_gang(job, pass, &mut making, now);
            } else {
                let zones = self.live_zones(job);
                self.make_room(job, zones, pass, &mut making, now);
            }
            if making.chosen.len() >= MOST_STOPPED {
                break;
            }
        }
        for stop in making.stops {
            self.stop_for_room(&stop.machine, &stop.key, &stop.comes);
        }
    }

    /// By slot, what is free or will be once all that is to stop has stopped.
    fn room_being_made(&self, pass: &Pass) -> Vec<Amounts> {
        let of = |slot: &Slot| {
            let mut room = slot.free;
            if let Some(machine) = self.machines.get(&slot.id).filter(|m| m.load.stopping) {
                let stopping = machine.attempts.values().filter(|a| !a.ended());
                for spec in stopping
                    .filter(|a| a.stop.is_some())
                    .filter_map(|a| a.spec.as_ref())
                {
                    room.give(spec);
                }
            }
            room
        };
        pass.slots.iter().map(of).collect()
    }

    /// Finds room for all tasks of a gang, or stops nothing: half of it helps
    /// nobody.
    fn make_room_for_gang(&self, job: &Job, pass: &Pass, making: &mut Making, now: Instant) {
        if job.waiting() == 0 || self.placeable(job) < job.waiting() {
            return;
        }
        let live = self.live_zones(job);
        let mut choices = vec![live.clone()];
        if job.spec.one_zone && live.is_empty() {
            let zones = pass.slots.iter().map(|slot| slot.zone.clone());
            let zones: BTreeSet<Arc<str>> = zones.collect();
            choices = zones.into_iter().map(|zone| [(zone, 0)].into()).collect();
        }
        let mut best: Option<Making> = None;
        for zones in choices {
            let mut trial = making.clone();
            if self.make_room(job, zones, pass, &mut trial, now)
                && best
                    .as_ref()
                    .is_none_or(|b| trial.stops.len() < b.stops.len())
            {
                best = Some(trial);
            }
        }
        if let Some(best) = best {
            *making = best;
        }
    }

    /// Finds room for as many of a job's tasks as wait: what is being made
    /// already, then what the cheapest victims would leave. Whether all found some.
    fn make_room(
        &self,
        job: &Job,
        mut zones: BTreeMap<Arc<str>, u32>,
        pass: &Pass,
        making: &mut Making,
        now: Instant,
    ) -> bool {
        let spec = &job.spec;
        let stays = self.stays_with_services(job, &zones, pass);
        let suits: Vec<usize> = (0..pass.slots.len())
            .filter(|at| {
                let slot = &pass.slots[*at];
                allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
                    && self.worth_it(job, slot)
                    && !(stays && slot.barren)
                    && !(spec.kind == JobKind::Service && self.slot_is_late(spec, pass, *at))
            })
            .collect();
        // Work of equal priority is stopped one task at a time: each stop loses
        // as much as it helps, and most that is short ends soon by itself.
        let stopping = |slot: &Slot| {
            let machine = self.machines.get(&slot.id);
            machine.is_some_and(|machine| machine.load.stopping)
        };
        let guaranteed = self.within_quota(&making.usage, spec)
            && making.chosen.is_empty()
            && !pass.slots.iter().any(stopping);
        let mut prices: Option<BTreeMap<(Duration, usize), Victims>> = None;
        for _ in 0..self.placeable(job) {
            if !self.within_quota_limit(&making.usage, spec) {
                // Its team's own lower-priority work may hold the whole limit.
                if let Some((machine, key)) = self.lower_priority_of_team(spec, now) {
                    making.stops.push(Stop {
                        machine,
                        key,
                        comes: spec.clone(),
                    });
                }
                return false;
            }
            let zone_ok = |at: usize, zones: &BTreeMap<Arc<str>, u32>| {
                let there = zones.get(&pass.slots[at].zone).copied();
                (!spec.one_zone || zones.is_empty() || there.is_some())
                    && (!spec.scatter || there.unwrap_or(0) < spec.tasks.div_ceil(2))
            };
            let there = suits
                .iter()
                .copied()
                .find(|at| making.room[*at].holds(spec) && zone_ok(*at, &zones));
            if there.is_none() && making.chosen.len() >= MOST_STOPPED {
                return false;
            }
            let price =
                |at: &usize, making: &Making| self.price(*at, spec, guaranteed, pass, making, now);
            let at = match there {
                Some(at) => at,
                None => {
                    let prices = prices.get_or_insert_with(|| {
                        suits.iter().filter_map(|at| price(at, making)).collect()
                    });
                    let mut cheapest = prices.keys().copied();
                    let Some(best) = cheapest.find(|(_, at)| zone_ok(*at, &zones)) else {
                        return false;
                    };
                    for key in prices.remove(&best).unwrap_or_default() {
                        self.choose_victim(best.1, key, pass, making, spec);
                    }
                    best.1
                }
            };
            making.room[at].take(spec);
            making.usage.add(spec, 1);
            if there.is_none() {
                if guaranteed && !spec.is_gang() {
                    return false;
                }
                if let Some(prices) = &mut prices {
                    prices.extend(price(&at, making));
                }
            }
            if spec.one_zone || spec.scatter {
                *zones.entry(pass.slots[at].zone.clone()).or_insert(0) += 1;
            }
        }
        true
    }

    /// Notes that an attempt is to stop.
    fn choose_victim(
        &self,
        at: usize,
        key: AttemptId,
        pass: &Pass,
        making: &mut Making,
        comes: &Arc<JobSpec>,
    ) {
        let id = &pass.slots[at].id;
        let attempt = self.machines.get(id).and_then(|m| m.attempts.get(&key));
        if let Some(spec) = attempt.and_then(|attempt| attempt.spec.as_ref()) {
            making.room[at].give(spec);
        }
        making.chosen.insert(key.clone());
        making.stops.push(Stop {
            machine: id.clone(),
            key,
            comes: comes.clone(),
        });
    }

    /// The cheapest victims on one machine that make room for one more task, and
    /// what they lose.
    fn price(
        &self,
        at: usize,
        spec: &JobSpec,
        guaranteed: bool,
        pass: &Pass,
        making: &Making,
        now: Instant,
    ) -> Option<((Duration, usize), Victims)> {
        let machine = self.machines.get(&pass.slots[at].id)?;
        if !(guaranteed || machine.load.has_lower_priority(spec.priority)) {
            return None;
        }
        let mut candidates: Vec<_> = machine
            .attempts
            .iter()
            .filter(|(key, a)| !a.ended() && a.stop.is_none() && !making.chosen.contains(*key))
            .filter_map(|(key, attempt)| {
                let other = attempt.spec.as_ref()?;
                let may_stop = self.may_stop(spec, other, guaranteed, &making.usage);
                may_stop.then(|| (other.priority, self.harm(key, attempt, now), key, other))
            })
            .collect();
        candidates.sort_by(|a, b| (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2)));
        let mut free = making.room[at];
        let mut lost = Duration::ZERO;
        let mut victims = Vec::new();
        for (_, harm, key, other) in candidates {
            if free.holds(spec) {
                break;
            }
            free.give(other);
            lost += harm;
            victims.push(key.clone());
        }
        (free.holds(spec) && !victims.is_empty()).then_some(((lost, at), victims))
    }

    /// The cheapest task of lower priority of the same team, unless one is
    /// being stopped already.
    fn lower_priority_of_team(
        &self,
        spec: &JobSpec,
        now: Instant,
    ) -> Option<(MachineId, AttemptId)> {
        let mut best: Option<(Priority, Duration, &MachineId, &AttemptId)> = None;
        let lesser = |machine: &&Machine| machine.load.has_lower_priority(spec.priority);
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
                let cost = (other.priority, self.harm(key, attempt, now));
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

    /// How much stopping an attempt now would hurt. A gang is stopped whole, and
    /// had better be told in time everywhere.
    fn harm(&self, key: &AttemptId, attempt: &Attempt, now: Instant) -> Duration {
        let of_one = harm(attempt, now);
        let gang = attempt.spec.as_ref().filter(|spec| spec.is_gang());
        gang.map_or(of_one, |spec| {
            let unreached = if self.gang_in_reach(&key.task.job, now) {
                Duration::ZERO
            } else {
                SERVICE_HARM
            };
            of_one * spec.tasks + unreached
        })
    }

    /// The victim gets its time to save, unless what comes can't wait for it:
    /// then it falls back to its last checkpoint.
    fn stop_for_room(&mut self, machine: &MachineId, key: &AttemptId, comes: &JobSpec) {
        let wait = self.policy.wait_within.get(&comes.class).copied();
        let Some(attempt) = self
            .machines
            .get_mut(machine)
            .and_then(|m| m.attempts.get_mut(key))
        else {
            return;
        };
        tracing::debug!(%machine, task = %key.task, "stopped to make room");
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
    if spec.kind == JobKind::Service {
        return SERVICE_HARM;
    }
    // A start that is soon undone helped nobody.
    let young = now.saturating_duration_since(attempt.since) < YOUNG;
    attempt.work_at_risk(now) + if young { YOUNG } else { Duration::ZERO }
}
