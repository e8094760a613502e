//! The open machines as a placement pass sees them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use super::quota::Usage;
use crate::coordination::shard::machines::Amounts;
use crate::coordination::shard::{Machine, Shard};
use crate::protocol::MachineId;
use crate::protocol::users::{JobKind, JobSpec};

/// A machine that may get tasks, as a placement pass sees it.
#[derive(Debug, Clone)]
pub(in crate::coordination::shard) struct Slot {
    pub id: MachineId,
    pub machine_type: Arc<str>,
    pub zone: Arc<str>,
    pub spot: bool,
    /// Kept for batch work alone, at the full price.
    pub costly: bool,
    /// A service would keep it from being given back.
    pub barren: bool,
    pub free: Amounts,
    /// Of that, what batch work must leave.
    pub reserved: Amounts,
    /// Kept from batch work for a job that has waited for long.
    pub held: bool,
}

impl Slot {
    /// Whether one more task of a job fits.
    pub(super) fn fits(&self, spec: &JobSpec) -> bool {
        let mut free = self.free;
        if spec.kind != JobKind::Service {
            if self.held {
                return false;
            }
            free = free.less(&self.reserved);
        }
        free.holds(spec)
    }

    /// How many more tasks of a job fit.
    pub(in crate::coordination::shard) fn room_for(&self, spec: &JobSpec) -> u32 {
        if self.fits(spec) {
            self.free.less(&self.reserved).fits(spec)
        } else {
            0
        }
    }
}

/// What a machine has of an image.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Holding {
    Nothing,
    /// It fetches it, or is about to.
    Coming,
    There,
}

/// One placement pass: the open machines, and what is known of them so far.
pub(in crate::coordination::shard) struct Pass {
    pub slots: Vec<Slot>,
    pub usage: Usage,
    /// By image, what each slot's machine has of it.
    pub(super) images: HashMap<String, Vec<Holding>>,
}

impl Pass {
    /// What each slot's machine has of a job's image, once looked for.
    pub(super) fn holdings(&self, spec: &JobSpec) -> &[Holding] {
        self.images.get(&spec.image).map_or(&[], Vec::as_slice)
    }

    pub(super) fn holding(&self, spec: &JobSpec, at: usize) -> Holding {
        let holding = self.holdings(spec).get(at).copied();
        holding.unwrap_or(Holding::Nothing)
    }

    /// Whether a machine would have to fetch a job's image.
    pub(in crate::coordination::shard) fn lacks_image(&self, spec: &JobSpec, at: usize) -> bool {
        self.holding(spec, at) == Holding::Nothing
    }

    /// A task was placed on a slot.
    pub(in crate::coordination::shard) fn take(&mut self, spec: &JobSpec, at: usize) {
        self.slots[at].free.take(spec);
        self.usage.add(spec, 1);
        if let Some(holdings) = self.images.get_mut(&spec.image) {
            holdings[at] = holdings[at].max(Holding::Coming);
        }
    }
}

/// Whether a job may run on a machine of this type, zone and kind.
pub(in crate::coordination::shard) fn allowed(
    spec: &JobSpec,
    machine_type: &str,
    zone: &str,
    spot: bool,
) -> bool {
    (spec.spot || !spot)
        && spec
            .machine_types
            .as_ref()
            .is_none_or(|types| types.iter().any(|t| t == machine_type))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
}

impl Shard {
    pub(super) fn open_slots(&self, now: Instant) -> Vec<Slot> {
        let reserved = self.reserved_for_moves();
        self.machines
            .values()
            .filter(|m| m.open(now, &self.policy))
            .filter_map(|m| {
                let kind = self.types.get(&*m.machine_type)?;
                Some(Slot {
                    id: m.id.clone(),
                    machine_type: m.machine_type.clone(),
                    zone: m.zone.clone(),
                    spot: m.spot,
                    costly: self.costly(m, now),
                    barren: self.barren(m),
                    free: m.free(kind),
                    reserved: reserved.get(&m.id).copied().unwrap_or_default(),
                    held: false,
                })
            })
            .collect()
    }

    /// Looks once a pass which machines hold or fetch an image.
    pub(in crate::coordination::shard) fn look_for_image(&self, image: &str, pass: &mut Pass) {
        if pass.images.contains_key(image) {
            return;
        }
        let holdings = pass
            .slots
            .iter()
            .map(|slot| match self.machines.get(&slot.id) {
                Some(machine) if machine.has_image(image) => Holding::There,
                Some(machine) if fetches_image(machine, image) => Holding::Coming,
                _ => Holding::Nothing,
            })
            .collect();
        pass.images.insert(image.to_owned(), holdings);
    }
}

/// Whether a machine fetches an image, or is about to.
fn fetches_image(machine: &Machine, image: &str) -> bool {
    machine
        .load
        .tasks
        .iter()
        .any(|(spec, _)| spec.image == image)
}
