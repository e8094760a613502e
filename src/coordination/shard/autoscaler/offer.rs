//! What can be rented, and which offer is worth most for a demand.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use super::boot_estimates::BOOT_MARGIN;
use super::demand::{Demand, OfferFilter};
use super::machine_kind::{MINIMUM_BILLED, MachineKind};
use crate::coordination::shard::Shard;
use crate::coordination::shard::machines::Amounts;
use crate::coordination::shard::scheduler::allowed;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobSpec;

/// One that comes too late for a gang is worth so much less: all its tasks wait.
const LATE_GANG: f64 = 3.0;

/// A machine that comes this much too late is worth half as much.
const LATE_DOUBLES_S: f64 = 30.0;

/// A run time to reckon with where none is given.
const LONG_RUN_S: f64 = 600.0;

/// Machines are reckoned to be used for so many times the estimated run time.
const RUNS: f64 = 2.0;

/// By how much an offer that is taken only for want of others is dearer.
const LAST_RESORT: f64 = 1e3;

/// By how much each machine of a type in a zone makes one more there dearer: equal
/// offers are spread over the zones.
const CROWDING: f64 = 1e-4;

/// How many machines of a type are in a zone.
#[derive(Debug, Default)]
pub(super) struct MachineCounts(HashMap<Arc<str>, HashMap<Arc<str>, f64>>);

impl MachineCounts {
    /// Counts a machine.
    pub(super) fn add(&mut self, machine_type: &Arc<str>, zone: &Arc<str>) {
        let zones = self.0.entry(machine_type.clone()).or_default();
        *zones.entry(zone.clone()).or_default() += 1.0;
    }

    fn of(&self, machine_type: &str, zone: &str) -> f64 {
        let zones = self.0.get(machine_type);
        let count = zones.and_then(|zones| zones.get(zone));
        count.copied().unwrap_or(0.0)
    }
}

/// Something that can be rented.
#[derive(Clone)]
pub(super) struct Offer {
    pub kind: Arc<MachineType>,
    pub zone: String,
    pub spot: bool,
    /// Seconds until it is up, if it takes as long as it often does.
    pub ready_in_s: f64,
}

impl Offer {
    /// Its price now; None if it isn't to be had.
    fn price(&self) -> Option<f64> {
        let price = if self.spot {
            self.kind.spot_price
        } else {
            Some(self.kind.price)
        };
        price.filter(|price| *price > 0.0)
    }
}

impl Shard {
    /// The offer that is worth most for a demand of which so many tasks, with those
    /// that follow, have no room; in one zone alone, if one is named.
    pub(super) fn best_offer(
        &self,
        demand: &Demand,
        left: u32,
        only: Option<&str>,
        machine_counts: &MachineCounts,
        now: Instant,
    ) -> Option<Offer> {
        let mut best: Option<(f64, Offer)> = None;
        for kind in self.types.values() {
            let zones = kind.zones.iter();
            let open = zones.filter(|zone| !self.delegations.is_partitioned(zone));
            for zone in open.filter(|zone| only.is_none_or(|only| only == **zone)) {
                let ready_in_s = self.expected_boot_s(kind, zone, now);
                for spot in [false, true] {
                    let offer = Offer {
                        kind: kind.clone(),
                        zone: zone.clone(),
                        spot,
                        ready_in_s,
                    };
                    let Some(cost) = self.cost_of(&offer, demand, left, machine_counts, now) else {
                        continue;
                    };
                    if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                        best = Some((cost, offer));
                    }
                }
            }
        }
        best.map(|(_, offer)| offer)
    }

    /// What an offer costs for a task of a demand, with what speaks against it; None if
    /// it is out of the question.
    fn cost_of(
        &self,
        offer: &Offer,
        demand: &Demand,
        left: u32,
        machine_counts: &MachineCounts,
        now: Instant,
    ) -> Option<f64> {
        let spec = &demand.spec;
        let price = offer.price()?;
        let fits = Amounts::of_type(&offer.kind).fits(spec);
        let kind = MachineKind {
            machine_type: offer.kind.name.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
        };
        if fits == 0
            || !allowed(spec, &offer.kind.name, &offer.zone, offer.spot)
            || self.autoscaler.backoff.is_active(&kind, now)
        {
            return None;
        }
        let run = run_s(spec);
        // A machine is paid for while it boots and fetches.
        let start = offer.ready_in_s / BOOT_MARGIN + fetch_s(&offer.kind, spec);
        let mut cost = price * (start + run) / run / f64::from(fits.min(left));
        match demand.filter {
            OfferFilter::SpotOnly if !offer.spot => return None,
            OfferFilter::OrdinaryFirst if offer.spot => cost *= LAST_RESORT,
            _ => {}
        }
        if let Some(slack) = demand.slack_s {
            let late = (start * BOOT_MARGIN - slack).max(0.0);
            cost *= 1.0 + late / LATE_DOUBLES_S;
            if late > 0.0 && spec.is_gang() {
                cost *= LATE_GANG;
            }
        }
        Some(cost * (1.0 + machine_counts.of(&offer.kind.name, &offer.zone) * CROWDING))
    }
}

/// Seconds for which a machine is reckoned to be of use to a job.
fn run_s(spec: &JobSpec) -> f64 {
    if spec.duration_s > 0.0 {
        spec.duration_s.max(MINIMUM_BILLED.as_secs_f64()) * RUNS
    } else {
        LONG_RUN_S
    }
}

/// Seconds for which a new machine usually fetches a job's image.
fn fetch_s(kind: &MachineType, spec: &JobSpec) -> f64 {
    if kind.fetch_gb_per_s > 0.0 {
        spec.image_gb / kind.fetch_gb_per_s
    } else {
        0.0
    }
}
