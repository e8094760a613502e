//! Gangs: jobs whose tasks all run at the same time or none does.
//!
//! All tasks of one attempt carry one number, by which they find one another. An
//! attempt is launched whole, on places found for all its tasks at once, and only
//! when no task of an earlier one can exist. What happens to one task decides for
//! all: [`Shard::reconcile_gangs`] works out the difference before anything is told to
//! the machines, so that whoever stops one task for whatever reason stops the gang.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::candidates::{Pass, Slot, allowed};
use crate::coordination::shard::{Job, Machine, Phase, Shard};
use crate::protocol::users::JobSpec;
use crate::protocol::{AttemptId, JobId, MachineId};

/// Share of the time that tasks wait for one another within which one that was lost
/// is replaced; later its image would hardly come in time.
const REPLACED_WITHIN: f64 = 0.4;
/// Pause before a gang that never came together is tried again.
const TRY_AGAIN: Duration = Duration::from_secs(3);
/// How long a gang waits before room is gathered for it.
const GATHER_AFTER: Duration = Duration::from_secs(3);

/// How far a gang's present attempt is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GangAttempt {
    /// The number that all its tasks carry; 0 if there is no attempt.
    pub attempt_number: u64,
    /// Its tasks have run: from then on, who is lost ends it.
    pub started: bool,
}

/// A task of a gang that may be on a machine.
struct Member {
    machine: MachineId,
    key: AttemptId,
    phase: Phase,
    since: Instant,
    stop: Option<Duration>,
}

/// What an attempt needs.
enum Need {
    Nothing,
    /// All its tasks are to stop, with this time to save.
    Stop(Duration),
}

impl Shard {
    fn members(&self, job: &Job) -> Vec<Member> {
        let mut members = Vec::new();
        let mut hosts: Vec<&MachineId> = job.live().values().collect();
        hosts.sort();
        hosts.dedup();
        for machine in hosts.into_iter().filter_map(|id| self.machines.get(id)) {
            let live = machine.attempts_of(&job.id).filter(|(_, a)| !a.ended());
            members.extend(live.map(|(key, attempt)| Member {
                machine: machine.id.clone(),
                key: key.clone(),
                phase: attempt.phase,
                since: attempt.since,
                stop: attempt.stop,
            }));
        }
        members
    }

    /// Brings the tasks of each gang into line: what can't go on together stops.
    pub(in crate::coordination::shard) fn reconcile_gangs(&mut self, now: Instant) {
        let gangs: Vec<JobId> = self
            .jobs
            .values()
            .filter(|job| job.spec.is_gang() && job.final_stage.is_none() && !job.live().is_empty())
            .map(|job| job.id.clone())
            .collect();
        for id in gangs {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let members = self.members(job);
            let attempt_number = members.iter().map(|m| m.key.number).max().unwrap_or(0);
            let runs = |m: &Member| matches!(m.phase, Phase::Running | Phase::Saving);
            let started = (job.gang.attempt_number == attempt_number && job.gang.started)
                || members.iter().any(runs);
            let need = self.need(job, &members, started, now);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.gang = GangAttempt {
                    attempt_number,
                    started,
                };
            }
            for member in members {
                // What is left of an earlier attempt would hold the gang up.
                let grace = match need {
                    Need::Stop(grace) if member.stop.is_none() => grace,
                    _ if member.key.number < attempt_number => Duration::ZERO,
                    _ => continue,
                };
                let machine = self.machines.get_mut(&member.machine);
                let attempt = machine.and_then(|m| m.attempts.get_mut(&member.key));
                if let Some(attempt) = attempt {
                    attempt.want_stop(grace);
                }
            }
        }
    }

    fn need(&self, job: &Job, members: &[Member], started: bool, now: Instant) -> Need {
        // Who stops one stops all, with the same time to save if it is enough.
        let stopping = members.iter().filter_map(|member| member.stop).min();
        if let Some(grace) = stopping {
            let enough = grace >= job.spec.save_time();
            return Need::Stop(if enough { grace } else { Duration::ZERO });
        }
        let whole = job.live().len() as u32 == job.spec.tasks;
        if whole || !job.done().is_empty() || self.placeable(job) < job.waiting() {
            // Whoever is missing may be on a machine that isn't reconciled.
            return Need::Nothing;
        }
        let waits = |member: &&Member| member.phase == Phase::Waiting;
        let since = members.iter().filter(waits).map(|m| m.since).min();
        let late = since.is_some_and(|since| {
            let passed = now.saturating_duration_since(since);
            passed > self.policy.gang_wait.mul_f64(REPLACED_WITHIN)
        });
        if started || late {
            tracing::debug!(job = %job.id, started, "a gang has lost a task, and stops");
            return Need::Stop(Duration::ZERO);
        }
        Need::Nothing
    }

    /// A task of a gang ended: with one that is done, all are.
    pub(in crate::coordination::shard) fn gang_task_done(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            for index in 0..job.spec.tasks {
                job.complete(index);
            }
        }
    }

    /// A gang never came together: it isn't tried the same way at once.
    pub(in crate::coordination::shard) fn gang_came_apart(&mut self, id: &JobId, now: Instant) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.not_before = Some(now + TRY_AGAIN);
        }
    }

    /// Places all tasks of a gang that are missing, or none; returns how many.
    pub(super) fn place_gang(&mut self, id: &JobId, pass: &mut Pass, now: Instant) -> usize {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let spec = job.spec.clone();
        let missing = job.waiting();
        let stops = |machine: &Machine| machine.attempts_of(&job.id).any(|(_, a)| a.stop.is_some());
        let hosts = job.live().values().filter_map(|id| self.machines.get(id));
        if missing == 0
            || self.placeable(job) < missing
            || job.gang.started
            || hosts.clone().any(stops)
            || !self.within_limit_whole(pass, &spec, missing)
        {
            return 0;
        }
        self.look_for_image(&spec.image, pass);
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let Some(places) = self.places(job, missing, pass) else {
            return 0;
        };
        let attempt_number = match job.gang.attempt_number {
            0 => self.new_attempt_number(),
            attempt_number => attempt_number,
        };
        for at in &places {
            let index = self.jobs.get_mut(id).and_then(|job| job.next_waiting(true));
            let Some(index) = index else {
                break;
            };
            pass.take(&spec, *at);
            let machine = pass.slots[*at].id.clone();
            self.launch_as(id, index, &machine, attempt_number, now);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            job.gang.attempt_number = attempt_number;
        }
        places.len()
    }

    fn within_limit_whole(&self, pass: &Pass, spec: &JobSpec, tasks: u32) -> bool {
        let mut usage = pass.usage.clone();
        usage.add(spec, tasks.saturating_sub(1));
        self.within_quota_limit(&usage, spec)
    }

    /// The zones that a gang's missing tasks may be in, the best first; None stands
    /// for any, where they needn't be in one.
    fn zones_for(&self, job: &Job, pass: &Pass) -> Vec<Option<Arc<str>>> {
        let spec = &job.spec;
        if !spec.one_zone {
            return vec![None];
        }
        let live = self.live_zones(job);
        if !live.is_empty() {
            return live.into_keys().map(Some).collect();
        }
        let mut room: BTreeMap<&Arc<str>, (u32, f64)> = BTreeMap::new();
        for slot in pass.slots.iter().filter(|slot| suits(spec, slot)) {
            let there = room.entry(&slot.zone).or_default();
            there.0 += slot.room_for(spec).min(spec.tasks);
            there.1 += slot.free.cores;
        }
        let mut zones: Vec<_> = room.into_iter().collect();
        let rank = |of: &(u32, f64)| (of.0.min(spec.tasks), of.1);
        zones.sort_by(|a, b| {
            let (a, b) = (rank(&a.1), rank(&b.1));
            b.0.cmp(&a.0).then(b.1.total_cmp(&a.1))
        });
        zones
            .into_iter()
            .map(|(zone, _)| Some(zone.clone()))
            .collect()
    }

    /// Places for so many tasks of a gang; None if there are not enough.
    fn places(&self, job: &Job, tasks: u32, pass: &Pass) -> Option<Vec<usize>> {
        let zones = self.zones_for(job, pass);
        let found = |zone: &Option<Arc<str>>| {
            let places = self.places_in(job, tasks, zone.as_deref(), pass);
            (places.len() as u32 == tasks).then_some(places)
        };
        zones.iter().find_map(found)
    }

    /// Places for up to so many tasks of a gang in a zone: machines with the image
    /// first, so that the tasks come together soon, and few of them, since losing
    /// one loses the gang.
    fn places_in(&self, job: &Job, tasks: u32, zone: Option<&str>, pass: &Pass) -> Vec<usize> {
        let spec = &job.spec;
        // A worker that knows a task of this attempt, ended or not, starts it no more.
        let spent = |id: &MachineId| {
            let mut known = self.machines.get(id).into_iter();
            known.any(|m| {
                let mut ended = m.attempts_of(&job.id);
                ended.any(
                    |(
                        AttemptId {
                            number: attempt_number,
                            ..
                        },
                        a,
                    )| {
                        *attempt_number == job.gang.attempt_number && a.ended()
                    },
                )
            })
        };
        let avoid = job.failures.machines() < pass.slots.len();
        let mut order: Vec<((bool, bool, bool), u32, usize)> = Vec::new();
        for (at, slot) in pass.slots.iter().enumerate() {
            let fits = slot.room_for(spec);
            if fits > 0
                && suits(spec, slot)
                && self.worth_it(job, slot)
                && zone.is_none_or(|zone| *zone == *slot.zone)
                && !(avoid && job.failures.includes(&slot.id))
                && (job.gang.attempt_number == 0 || !spent(&slot.id))
            {
                let lacks = pass.lacks_image(spec, at);
                order.push(((lacks, slot.costly, !slot.spot), fits.min(tasks), at));
            }
        }
        order.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.cmp(&a.1)).then(a.2.cmp(&b.2)));
        let per_zone = if spec.scatter {
            spec.tasks.div_ceil(2)
        } else {
            spec.tasks
        };
        let mut zones = self.live_zones(job);
        let mut places = Vec::new();
        for (_, fits, at) in order {
            let there = zones.entry(pass.slots[at].zone.clone()).or_default();
            let left = tasks - places.len() as u32;
            let n = fits.min(left).min(per_zone.saturating_sub(*there));
            *there += n;
            places.extend(std::iter::repeat_n(at, n as usize));
        }
        places
    }

    /// Keeps room for a gang that found too little from what comes after it in this
    /// pass: what is free, and for the rest the machines with most of it, so that
    /// small work doesn't attempt_number each place as it falls free.
    pub(super) fn gather_for_gang(&self, id: &JobId, pass: &mut Pass, now: Instant) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let age = Duration::from_millis(self.wall_ms(now).saturating_sub(job.at_ms));
        if age < GATHER_AFTER {
            return;
        }
        let spec = job.spec.clone();
        let missing = job.waiting();
        if self.placeable(job) < missing || !self.within_limit_whole(pass, &spec, missing) {
            return;
        }
        let Some(zone) = self.zones_for(job, pass).into_iter().next() else {
            return;
        };
        let places = self.places_in(job, missing, zone.as_deref(), pass);
        let mut short = missing - places.len() as u32;
        for at in places {
            pass.slots[at].free.take(&spec);
        }
        let mut emptiest: Vec<usize> = (0..pass.slots.len())
            .filter(|at| {
                let slot = &pass.slots[*at];
                !slot.held
                    && suits(&spec, slot)
                    && self.worth_it(job, slot)
                    && zone.as_deref().is_none_or(|zone| *zone == *slot.zone)
            })
            .collect();
        emptiest.sort_by(|a, b| {
            let free = |at: &usize| pass.slots[*at].free.cores;
            free(b).total_cmp(&free(a)).then(a.cmp(b))
        });
        for at in emptiest {
            if short == 0 {
                break;
            }
            pass.slots[at].held = true;
            short -= 1;
        }
    }

    /// Whether each machine of a gang hears us, so that it can be stopped in time.
    pub(super) fn gang_in_reach(&self, job: &JobId, now: Instant) -> bool {
        let Some(job) = self.jobs.get(job) else {
            return false;
        };
        let reached = |id: &MachineId| {
            self.machines.get(id).is_some_and(|m| {
                !m.outbound_unreachable && m.since_last_contact(now) < self.policy.suspect_after
            })
        };
        job.live().values().all(reached)
    }
}

/// Whether a gang's task may run on a slot's machine.
fn suits(spec: &JobSpec, slot: &Slot) -> bool {
    allowed(spec, &slot.machine_type, &slot.zone, slot.spot)
}
