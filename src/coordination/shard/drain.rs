//! Emptying machines that are little used: their services move one by one to
//! machines that hold the image already, and what is empty goes back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::machines::Amounts;
use super::placement::allowed;
use super::plan::Bin;
use super::{Attempt, Machine, Phase, Shard};
use crate::protocol::users::{JobKind, JobSpec};
use crate::protocol::{MachineId, TaskId};

/// A machine is used at least this long before it is emptied.
const LEAST_AGE: Duration = Duration::from_secs(60);
/// Machines fuller than this are left alone.
const MOST_FILL: f64 = 0.6;
/// One machine in so many is emptied at once, and one at the least. With four
/// among some thirty, wider hunts showed neither a better price nor a better
/// score.
const ONE_IN: usize = 40;

impl Shard {
    /// Goes on with the machines that services leave, or picks the next ones.
    /// What else runs on those picked before ends by itself.
    pub(super) fn consolidate(&mut self, bins: &[Bin], now: Instant) {
        let at_once = 1 + self.machines.len() / ONE_IN;
        let mut draining = self.machines.ids(|m| m.draining && !m.deleting);
        let leaving: Vec<MachineId> = draining
            .iter()
            .filter(|id| self.machines.get(id).is_some_and(hosts_services))
            .cloned()
            .collect();
        for id in &leaving {
            self.move_one_service(id, bins, at_once);
        }
        let mut picked = false;
        while draining.len() < at_once
            && leaving.len() < at_once
            && let Some(id) = self.emptiest(bins, now)
        {
            if let Some(machine) = self.machines.get_mut(&id) {
                tracing::info!(machine = %id, "emptying a little used machine");
                machine.draining = true;
            }
            self.move_one_service(&id, bins, at_once);
            draining.push(id);
            picked = true;
        }
        if leaving.is_empty() && !picked && self.policy.holds_capacity() {
            self.bring_one_near(bins);
        }
    }

    /// Moves a service to the main zone, where a controller hears it through
    /// a cut, if a machine with its image has room there.
    fn bring_one_near(&mut self, bins: &[Bin]) {
        let Some(main) = &self.main_zone else {
            return;
        };
        let restless = self.machines.values().any(|machine| {
            live_services(machine).any(|(_, a, _)| a.stop.is_some() || a.phase != Phase::Running)
        });
        if restless {
            return;
        }
        let far = self
            .machines
            .values()
            .filter(|m| *m.zone != **main && m.synced && !m.deleting)
            .find_map(|machine| {
                let (key, ..) = live_services(machine).find(|(_, _, spec)| {
                    spec.tasks == 1
                        && bins.iter().any(|bin| {
                            *bin.zone == **main
                                && bin.free.fits(spec) > 0
                                && allowed(spec, &bin.machine_type, &bin.zone, bin.spot)
                                && self.is_open_holder(bin, &spec.image)
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
    fn stop_service(&mut self, id: &MachineId, key: &(TaskId, u64)) {
        if let Some(attempt) = self
            .machines
            .get_mut(id)
            .and_then(|machine| machine.attempts.get_mut(key))
        {
            attempt.want_stop(Duration::ZERO);
            self.restless = true;
        }
    }

    fn is_open_holder(&self, bin: &Bin, image: &str) -> bool {
        bin.rank < 2
            && bin
                .machine
                .as_ref()
                .and_then(|id| self.machines.get(id))
                .is_some_and(|m| m.has_image(image) && !m.draining)
    }

    /// Opens the machine being emptied again; false if there was none.
    pub(super) fn stop_draining(&mut self) -> bool {
        let mut any = false;
        for id in self.machines.ids(|m| m.draining) {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.draining = false;
                any |= !machine.deleting;
            }
        }
        self.restless |= any;
        any
    }

    /// Stops the next service there for which there is room now on a machine
    /// that holds its image, unless as many as may be are moving.
    fn move_one_service(&mut self, id: &MachineId, bins: &[Bin], at_once: usize) {
        let waits = self
            .jobs
            .values()
            .any(|job| job.spec.kind == JobKind::Standing && job.waiting() > 0);
        let moving = self
            .machines
            .values()
            .filter(|machine| machine.tally.stopping)
            .filter(|machine| live_services(machine).any(|(_, a, _)| a.stop.is_some()))
            .count();
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        if waits || moving >= at_once {
            return;
        }
        let next = live_services(machine)
            .find(|(_, _, spec)| {
                bins.iter().any(|bin| {
                    bin.machine.as_ref() != Some(id)
                        && self.is_open_holder(bin, &spec.image)
                        && allowed(spec, &bin.machine_type, &bin.zone, bin.spot)
                        && bin
                            .machine
                            .as_ref()
                            .and_then(|id| self.free_now(id))
                            .is_some_and(|free| free.fits(spec) > 0)
                })
            })
            .map(|(key, ..)| key.clone());
        if let Some(key) = next {
            self.stop_service(id, &key);
        }
    }

    fn free_now(&self, id: &MachineId) -> Option<Amounts> {
        let machine = self.machines.get(id)?;
        let kind = self.types.get(&*machine.machine_type)?;
        Some(machine.free(kind))
    }

    /// What a machine has beside its services: batch work on it ends.
    fn beside_services(&self, machine: &Machine) -> Option<Amounts> {
        if machine.tally.unknown > 0 {
            return None;
        }
        let mut room = Amounts::of_type(self.types.get(&*machine.machine_type)?);
        for (spec, count) in machine.tally.services() {
            for _ in 0..*count {
                room.take(spec);
            }
        }
        Some(room)
    }

    /// The machine that is worth most to empty, if its services fit beside
    /// those of others.
    fn emptiest(&self, bins: &[Bin], now: Instant) -> Option<MachineId> {
        let mut best: Option<(f64, MachineId)> = None;
        for bin in bins.iter().filter(|bin| !bin.used && bin.rank < 2) {
            let Some(machine) = bin.machine.as_ref().and_then(|id| self.machines.get(id)) else {
                continue;
            };
            let Some(kind) = self.types.get(&*machine.machine_type) else {
                continue;
            };
            let Some(room) = self.beside_services(machine) else {
                continue;
            };
            let fill = 1.0 - room.cores / kind.cores.max(1e-9);
            let settled = machine.open(now, self.policy.suspect)
                && now.saturating_duration_since(machine.rented) >= LEAST_AGE;
            if !settled || machine.spot || machine.tally.idle() || fill > MOST_FILL {
                continue;
            }
            let waste = kind.price * (1.0 - fill);
            if best.as_ref().is_none_or(|(most, _)| waste > *most)
                && self.fits_elsewhere(machine, bins)
            {
                best = Some((waste, machine.id.clone()));
            }
        }
        best.map(|(_, id)| id)
    }

    fn fits_elsewhere(&self, machine: &Machine, bins: &[Bin]) -> bool {
        let mut rooms: Vec<_> = bins
            .iter()
            .filter(|bin| bin.rank == 0 && bin.machine.as_ref() != Some(&machine.id))
            .filter_map(|bin| {
                let other = self.machines.get(bin.machine.as_ref()?)?;
                // Where capacity is held, what runs beside services stays.
                let room = if self.policy.holds_capacity() {
                    bin.free
                } else {
                    self.beside_services(other)?
                };
                Some((bin, other, room))
            })
            .collect();
        live_services(machine).all(|(_, _, spec)| {
            let room = rooms.iter_mut().find(|(bin, other, room)| {
                other.has_image(&spec.image)
                    && hosts_services(other)
                    && room.fits(spec) > 0
                    && allowed(spec, &bin.machine_type, &bin.zone, bin.spot)
            });
            match room {
                Some((_, _, room)) => {
                    room.take(spec);
                    true
                }
                None => false,
            }
        })
    }

    /// Room that batch work must leave on other machines for the services of
    /// those being emptied: the fullest of services first.
    pub(super) fn reserved_for_moves(&self) -> HashMap<MachineId, Amounts> {
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

/// The services that may be on a machine.
fn live_services(
    machine: &Machine,
) -> impl Iterator<Item = (&(TaskId, u64), &Attempt, &Arc<JobSpec>)> {
    machine
        .attempts
        .iter()
        .filter(|(_, attempt)| !attempt.ended())
        .filter_map(|(key, attempt)| Some((key, attempt, attempt.spec.as_ref()?)))
        .filter(|(_, _, spec)| spec.kind == JobKind::Standing)
}

pub(super) fn hosts_services(machine: &Machine) -> bool {
    machine.tally.services().next().is_some()
}
