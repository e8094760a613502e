//! Emptying machines that are little used: their services move one by one to
//! machines that hold the image already, and what is empty goes back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::capacity::{Capacity, Readiness};
use crate::coordination::shard::machines::Amounts;
use crate::coordination::shard::scheduler::allowed;
use crate::coordination::shard::{Attempt, Job, Machine, Phase, Shard};
use crate::protocol::users::{JobKind, JobSpec};
use crate::protocol::{AttemptId, MachineId};

/// A machine is used at least this long before it is emptied.
const LEAST_AGE: Duration = Duration::from_secs(60);
/// Machines fuller than this are left alone.
const MOST_FILL: f64 = 0.6;
/// One machine in so many is emptied at once, and one at the least. With four
/// among some thirty, wider hunts showed neither a better price nor a better
/// score.
const ONE_IN: usize = 40;
/// Machines looked at beyond those that may be emptied.
const CANDIDATES: usize = 8;

impl Shard {
    /// Goes on with the machines that services leave, and may pick the next ones.
    /// What else runs on those picked before ends by itself.
    pub(super) fn consolidate(&mut self, capacities: &[Capacity], pick: bool, now: Instant) {
        // Where capacity is held for guarantees, moving little is worth more
        // than a machine less.
        let at_once = if self.policy.holds_capacity() {
            1
        } else {
            1 + self.machines.len() / ONE_IN
        };
        let draining = self.machines.ids(|m| m.draining && !m.deleting);
        let mut leaving: Vec<MachineId> = draining
            .iter()
            .filter(|id| self.machines.get(id).is_some_and(hosts_services))
            .cloned()
            .collect();
        let idle = leaving.is_empty();
        let more = if pick {
            at_once.saturating_sub(draining.len())
        } else {
            0
        };
        for id in self.emptiest(capacities, more, now) {
            if let Some(machine) = self.machines.get_mut(&id) {
                tracing::info!(machine = %id, "emptying a little used machine");
                machine.draining = true;
                leaving.push(id);
            }
        }
        for (id, key) in self.next_moves(&leaving, at_once, capacities) {
            self.stop_service(&id, &key);
        }
        if idle && leaving.is_empty() && self.policy.holds_capacity() {
            self.bring_one_near(capacities);
        }
    }

    /// Moves a service to the main zone, where a controller hears it through
    /// a cut, if a machine with its image has room there.
    fn bring_one_near(&mut self, capacities: &[Capacity]) {
        let Some(main) = &self.main_zone else {
            return;
        };
        let needs_pass = self.machines.values().any(|machine| {
            live_services(machine).any(|(_, a, _)| a.stop.is_some() || a.phase != Phase::Running)
        });
        if needs_pass {
            return;
        }
        let far = self
            .machines
            .values()
            .filter(|m| *m.zone != **main && m.token_acknowledged && !m.deleting)
            .find_map(|machine| {
                let (key, ..) = live_services(machine).find(|(_, _, spec)| {
                    spec.tasks == 1
                        && capacities.iter().any(|capacity| {
                            *capacity.zone == **main
                                && capacity.free.fits(spec) > 0
                                && allowed(
                                    spec,
                                    &capacity.machine_type,
                                    &capacity.zone,
                                    capacity.spot,
                                )
                                && self.is_open_holder(capacity, &spec.image)
                        })
                })?;
                Some((machine.id.clone(), key.clone()))
            });
        if let Some((id, key)) = far {
            self.stop_service(&id, &key);
        }
    }

    /// Stops a service that is to move; placement finds its new machine as soon
    /// as the worker says that it has ended.
    fn stop_service(&mut self, id: &MachineId, key: &AttemptId) {
        if let Some(attempt) = self
            .machines
            .get_mut(id)
            .and_then(|machine| machine.attempts.get_mut(key))
        {
            attempt.want_stop(Duration::ZERO);
            self.needs_pass = true;
        }
    }

    fn is_open_holder(&self, capacity: &Capacity, image: &str) -> bool {
        capacity.is_up()
            && capacity
                .machine
                .as_ref()
                .and_then(|id| self.machines.get(id))
                .is_some_and(|m| m.has_image(image) && !m.draining)
    }

    /// Opens machines being emptied again whose room the plan needs.
    pub(super) fn reopen(&mut self, capacities: &[Capacity]) {
        for id in capacities
            .iter()
            .filter(|capacity| capacity.used)
            .filter_map(|capacity| capacity.machine.as_ref())
        {
            if self
                .machines
                .get(id)
                .is_some_and(|m| m.draining && !m.deleting)
                && let Some(machine) = self.machines.get_mut(id)
            {
                machine.draining = false;
                self.needs_pass = true;
            }
        }
    }

    /// The next service of each machine being emptied for which there is room
    /// now on a machine that holds its image; none while services wait, and few
    /// at a time.
    fn next_moves(
        &self,
        leaving: &[MachineId],
        at_once: usize,
        capacities: &[Capacity],
    ) -> Vec<(MachineId, AttemptId)> {
        let waits = |job: &Job| job.spec.kind == JobKind::Service && job.waiting() > 0;
        let moving = self
            .machines
            .values()
            .filter(|machine| machine.load.stopping)
            .filter(|machine| live_services(machine).any(|(_, a, _)| a.stop.is_some()))
            .count();
        if leaving.is_empty() || moving >= at_once || self.jobs.values().any(waits) {
            return Vec::new();
        }
        let mut hosts: Vec<(&Capacity, &Machine, Amounts)> = capacities
            .iter()
            .filter(|capacity| capacity.is_up())
            .filter_map(|capacity| {
                let machine = self.machines.get(capacity.machine.as_ref()?)?;
                let kind = self.types.get(&*machine.machine_type)?;
                (!machine.draining).then(|| (capacity, machine, machine.free(kind)))
            })
            .collect();
        let mut moves = Vec::new();
        for machine in leaving.iter().filter_map(|id| self.machines.get(id)) {
            if moving + moves.len() >= at_once {
                break;
            }
            for (key, _, spec) in live_services(machine) {
                let host = hosts.iter_mut().find(|(capacity, host, free)| {
                    free.fits(spec) > 0
                        && host.has_image(&spec.image)
                        && allowed(spec, &capacity.machine_type, &capacity.zone, capacity.spot)
                });
                if let Some((_, _, free)) = host {
                    free.take(spec);
                    moves.push((machine.id.clone(), key.clone()));
                    break;
                }
            }
        }
        moves
    }

    /// What a machine has beside its services: batch work on it ends.
    fn beside_services(&self, machine: &Machine) -> Option<Amounts> {
        if machine.load.unknown > 0 {
            return None;
        }
        let mut room = Amounts::of_type(self.types.get(&*machine.machine_type)?);
        for (spec, count) in machine.load.services() {
            for _ in 0..*count {
                room.take(spec);
            }
        }
        Some(room)
    }

    /// The machines that are worth most to empty, if their services fit beside
    /// those of others.
    fn emptiest(&self, capacities: &[Capacity], most: usize, now: Instant) -> Vec<MachineId> {
        let mut worth: Vec<(f64, &Machine)> = Vec::new();
        for capacity in capacities
            .iter()
            .filter(|capacity| !capacity.used && capacity.is_up())
        {
            let Some(machine) = capacity
                .machine
                .as_ref()
                .and_then(|id| self.machines.get(id))
            else {
                continue;
            };
            let Some(kind) = self.types.get(&*machine.machine_type) else {
                continue;
            };
            let Some(room) = self.beside_services(machine) else {
                continue;
            };
            let fill = 1.0 - room.cores / kind.cores.max(1e-9);
            let settled = machine.open(now, &self.policy)
                && now.saturating_duration_since(machine.rented) >= LEAST_AGE;
            if settled && !machine.spot && !machine.load.idle() && fill <= MOST_FILL {
                worth.push((kind.price * (1.0 - fill), machine));
            }
        }
        if most == 0 || worth.is_empty() {
            return Vec::new();
        }
        worth.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut rooms = self.rooms_for_services(capacities);
        let spare: f64 = rooms.iter().map(|room| room.free.cores.max(0.0)).sum();
        let mut spare = spare - self.services_to_come(now);
        let mut picked = Vec::new();
        for (_, machine) in worth.into_iter().take(most + CANDIDATES) {
            let kind = self.types.get(&*machine.machine_type);
            let cores = kind.map_or(0.0, |kind| kind.cores);
            if picked.len() < most && spare >= cores && self.move_into(machine, &mut rooms) {
                spare -= cores;
                picked.push(machine.id.clone());
            }
        }
        picked
    }

    /// Cores that services are likely to ask for before a new machine is up: with
    /// less room among services than that, none is emptied.
    pub(in crate::coordination::shard) fn services_to_come(&self, now: Instant) -> f64 {
        if self.policy.holds_capacity() {
            return 0.0;
        }
        let boot = self.fastest_boot().as_secs_f64() * 2.0;
        let classes = self.autoscaler.classes.values();
        classes
            .filter(|class| class.spec().kind == JobKind::Service)
            .map(|class| {
                let tasks = class.rate(now) * boot;
                (tasks + tasks.sqrt()) * class.spec().cores
            })
            .sum()
    }

    /// The machines that services could move to, and the room that they have.
    fn rooms_for_services<'a>(&'a self, capacities: &'a [Capacity]) -> Vec<Room<'a>> {
        capacities
            .iter()
            .filter(|capacity| capacity.readiness == Readiness::Busy)
            .filter_map(|capacity| {
                let machine = self.machines.get(capacity.machine.as_ref()?)?;
                // Where capacity is held, what runs beside services stays.
                let free = if self.policy.holds_capacity() {
                    capacity.free
                } else {
                    self.beside_services(machine)?
                };
                let hosts = hosts_services(machine) && !machine.draining;
                hosts.then_some(Room {
                    capacity,
                    machine,
                    free,
                })
            })
            .collect()
    }

    /// Takes the room for all services of a machine, which then is none itself;
    /// false, and nothing taken, if they don't all fit.
    fn move_into(&self, leaving: &Machine, rooms: &mut Vec<Room>) -> bool {
        let mut taken: Vec<(usize, &JobSpec)> = Vec::new();
        let fits = live_services(leaving).all(|(_, _, spec)| {
            let room = rooms.iter().position(|room| {
                room.machine.id != leaving.id
                    && room.free.fits(spec) > 0
                    && room.machine.has_image(&spec.image)
                    && allowed(
                        spec,
                        &room.capacity.machine_type,
                        &room.capacity.zone,
                        room.capacity.spot,
                    )
            });
            if let Some(at) = room {
                rooms[at].free.take(spec);
                taken.push((at, spec));
            }
            room.is_some()
        });
        if fits {
            rooms.retain(|room| room.machine.id != leaving.id);
        } else {
            for (at, spec) in taken {
                rooms[at].free.give(spec);
            }
        }
        fits
    }

    /// Room that batch work must leave on other machines for the services of
    /// those being emptied: the fullest of services first.
    pub(in crate::coordination::shard) fn reserved_for_moves(&self) -> HashMap<MachineId, Amounts> {
        let mut reserved = HashMap::new();
        let mut leaving = self
            .machines
            .values()
            .filter(|m| m.draining && !m.deleting && hosts_services(m))
            .peekable();
        if leaving.peek().is_none() {
            return reserved;
        }
        let mut hosts: Vec<(&Machine, Amounts)> = self
            .machines
            .values()
            .filter(|m| !m.draining && !m.deleting && hosts_services(m))
            .filter_map(|m| Some((m, self.beside_services(m)?)))
            .collect();
        hosts.sort_by(|a, b| a.1.cores.total_cmp(&b.1.cores).then(a.0.id.cmp(&b.0.id)));
        for (_, _, spec) in leaving.flat_map(live_services) {
            let host = hosts
                .iter_mut()
                .find(|(host, room)| host.has_image(&spec.image) && room.fits(spec) > 0);
            if let Some((host, room)) = host {
                room.take(spec);
                reserved
                    .entry(host.id.clone())
                    .or_insert_with(Amounts::default)
                    .give(spec);
            }
        }
        reserved
    }
}

/// Where services could move to.
struct Room<'a> {
    capacity: &'a Capacity,
    machine: &'a Machine,
    free: Amounts,
}

/// The services that may be on a machine.
fn live_services(machine: &Machine) -> impl Iterator<Item = (&AttemptId, &Attempt, &Arc<JobSpec>)> {
    machine
        .attempts
        .iter()
        .filter(|(_, attempt)| !attempt.ended())
        .filter_map(|(key, attempt)| Some((key, attempt, attempt.spec.as_ref()?)))
        .filter(|(_, _, spec)| spec.kind == JobKind::Service)
}

pub(in crate::coordination::shard) fn hosts_services(machine: &Machine) -> bool {
    machine.load.services().next().is_some()
}
