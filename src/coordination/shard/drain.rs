//! Emptying machines that are little used, one at a time: their services move
//! to machines that hold the image already, and what is empty goes back.

use std::time::{Duration, Instant};

use super::fleet::Bin;
use super::placement::allowed;
use super::{Machine, Phase, Shard};
use crate::protocol::MachineId;
use crate::protocol::users::JobKind;

/// A machine is used at least this long before it is emptied.
const LEAST_AGE: Duration = Duration::from_secs(60);
/// Machines fuller than this are left alone.
const MOST_FILL: f64 = 0.6;

impl Shard {
    /// Goes on with the machine being emptied, or picks one.
    pub(super) fn consolidate(&mut self, bins: &[Bin], now: Instant) {
        let current = self
            .machines
            .values()
            .find(|m| m.draining && !m.deleting)
            .map(|m| m.id.clone());
        match current {
            Some(id) => self.move_one_service(&id),
            None => {
                if let Some(id) = self.emptiest(bins, now) {
                    if let Some(machine) = self.machines.get_mut(&id) {
                        tracing::info!(machine = %id, "emptying a little used machine");
                        machine.draining = true;
                    }
                    self.move_one_service(&id);
                } else if self.policy.holds_capacity() {
                    self.bring_one_near(bins);
                }
            }
        }
    }

    /// Moves a service to the main zone, where a controller hears it through
    /// a cut, if a machine with its image has room there.
    fn bring_one_near(&mut self, bins: &[Bin]) {
        let Some(main) = &self.main_zone else {
            return;
        };
        let restless = self.machines.values().any(|machine| {
            machine.attempts.values().any(|a| {
                is_standing(a) && !a.ended() && (a.stop.is_some() || a.phase != Phase::Running)
            })
        });
        if restless {
            return;
        }
        let far = self
            .machines
            .values()
            .filter(|m| m.zone != *main && m.synced && !m.deleting)
            .find_map(|machine| {
                let (key, _) = machine.attempts.iter().find(|(_, attempt)| {
                    let Some(spec) = attempt.spec.as_ref() else {
                        return false;
                    };
                    is_standing(attempt)
                        && !attempt.ended()
                        && spec.tasks == 1
                        && bins.iter().any(|bin| {
                            bin.zone == *main
                                && bin.free.fits(spec) > 0
                                && allowed(spec, &bin.machine_type, &bin.zone, bin.spot)
                                && self.is_open_holder(bin, &spec.image)
                        })
                })?;
                Some((machine.id.clone(), key.clone()))
            });
        if let Some((id, key)) = far
            && let Some(attempt) = self
                .machines
                .get_mut(&id)
                .and_then(|m| m.attempts.get_mut(&key))
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
        for machine in self.machines.values_mut() {
            any |= std::mem::take(&mut machine.draining) && !machine.deleting;
        }
        self.restless |= any;
        any
    }

    /// Stops the next service there; its replacement starts as soon as the
    /// worker says that it has ended.
    fn move_one_service(&mut self, id: &MachineId) {
        let waits = self
            .jobs
            .values()
            .any(|job| job.spec.kind == JobKind::Standing && job.waiting() > 0);
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let moving = machine
            .attempts
            .values()
            .any(|a| !a.ended() && a.stop.is_some());
        if waits || moving {
            return;
        }
        let next = machine
            .attempts
            .values_mut()
            .find(|a| !a.ended() && is_standing(a));
        if let Some(attempt) = next {
            attempt.want_stop(Duration::ZERO);
            self.restless = true;
        }
    }

    /// The machine that is worth most to empty, if its services fit elsewhere.
    fn emptiest(&self, bins: &[Bin], now: Instant) -> Option<MachineId> {
        let mut best: Option<(f64, MachineId)> = None;
        for bin in bins.iter().filter(|bin| !bin.used && bin.rank < 2) {
            let Some(machine) = bin.machine.as_ref().and_then(|id| self.machines.get(id)) else {
                continue;
            };
            let Some(kind) = self.types.get(&machine.machine_type) else {
                continue;
            };
            let used = kind.cores - machine.free(kind).cores;
            let fill = used / kind.cores.max(1e-9);
            let settled = machine.open(now, self.policy.suspect)
                && now.saturating_duration_since(machine.rented) >= LEAST_AGE;
            if !settled || machine.spot || !machine.busy() || fill > MOST_FILL {
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
            .map(|bin| (bin, bin.free))
            .collect();
        machine
            .attempts
            .values()
            .filter(|a| !a.ended() && is_standing(a))
            .all(|attempt| {
                let Some(spec) = &attempt.spec else {
                    return false;
                };
                let room = rooms.iter_mut().find(|(bin, free)| {
                    let holds = bin
                        .machine
                        .as_ref()
                        .and_then(|id| self.machines.get(id))
                        .is_some_and(|m| m.has_image(&spec.image));
                    holds
                        && free.fits(spec) > 0
                        && allowed(spec, &bin.machine_type, &bin.zone, bin.spot)
                });
                match room {
                    Some((_, free)) => {
                        free.take(spec);
                        true
                    }
                    None => false,
                }
            })
    }
}

fn is_standing(attempt: &super::Attempt) -> bool {
    attempt
        .spec
        .as_ref()
        .is_some_and(|spec| spec.kind == JobKind::Standing)
}
