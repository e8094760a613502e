//! Offers: what can be rented, and which offer is the best for a demand.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use super::boot_estimates::BOOT_MARGIN;
use super::demand::{Demand, OfferFilter};
use super::machine_kind::{MINIMUM_BILLED, MachineKind};
use super::view::AutoscalerView;
use crate::coordination::shard::machines::Resources;
use crate::coordination::shard::scheduler::allowed;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobSpec;

/// Factor on the cost of an offer that is too late for a gang: all of its tasks wait.
const LATE_GANG_FACTOR: f64 = 3.0;

/// Lateness that doubles the cost of an offer, in seconds.
const LATENESS_DOUBLING_S: f64 = 30.0;

/// Run time that is assumed where a job names none, in seconds.
const DEFAULT_RUN_S: f64 = 600.0;

/// A machine is expected to be used for this multiple of the job's run time.
const EXPECTED_RUNS: f64 = 2.0;

/// Factor on the cost of an offer that is taken only if there is no other.
const LAST_RESORT_FACTOR: f64 = 1e3;

/// Share of the cost that each machine of the same type and zone adds: equal offers are spread
/// over the zones.
const SPREAD_SHARE: f64 = 1e-4;

/// The number of machines of each type in each zone.
#[derive(Debug, Default)]
pub(super) struct MachineCounts {
    by_type: HashMap<Arc<str>, HashMap<Arc<str>, f64>>,
}

impl MachineCounts {
    /// Counts a machine.
    pub(super) fn add(&mut self, machine_type: &Arc<str>, zone: &Arc<str>) {
        let zones = self.by_type.entry(machine_type.clone()).or_default();
        *zones.entry(zone.clone()).or_default() += 1.0;
    }

    fn of(&self, machine_type: &str, zone: &str) -> f64 {
        let zones = self.by_type.get(machine_type);
        let count = zones.and_then(|zones| zones.get(zone));
        count.copied().unwrap_or(0.0)
    }
}

/// A machine that can be rented.
#[derive(Clone)]
pub(super) struct Offer {
    pub kind: Arc<MachineType>,
    pub zone: String,
    pub spot: bool,
    /// Seconds until it has booted, by the usual and the recent boot times.
    pub ready_in_s: f64,
}

impl Offer {
    /// Its current price; None if it is not available.
    fn price(&self) -> Option<f64> {
        let price = if self.spot {
            self.kind.spot_price
        } else {
            Some(self.kind.price)
        };
        price.filter(|price| *price > 0.0)
    }
}

impl From<&Offer> for MachineKind {
    fn from(offer: &Offer) -> Self {
        Self {
            machine_type: offer.kind.name.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
        }
    }
}

/// An offer with what it costs for one task of a demand.
struct PricedOffer {
    cost: f64,
    offer: Offer,
}

impl AutoscalerView<'_> {
    /// The cheapest offer for a demand, in one zone if one is named. `left` are the tasks that
    /// could use the machine: those of the demand without capacity and those that follow.
    pub(super) fn best_offer(
        &self,
        demand: &Demand,
        left: u32,
        only_zone: Option<&str>,
        machine_counts: &MachineCounts,
        now: Instant,
    ) -> Option<Offer> {
        let mut best: Option<PricedOffer> = None;
        for offer in self.offers(only_zone, now) {
            let Some(cost) = self.cost_per_task(&offer, demand, left, machine_counts, now) else {
                continue;
            };
            if best.as_ref().is_none_or(|best| cost < best.cost) {
                best = Some(PricedOffer { cost, offer });
            }
        }
        best.map(|best| best.offer)
    }

    /// Every type in every zone that is reachable, on-demand before spot.
    fn offers(&self, only_zone: Option<&str>, now: Instant) -> impl Iterator<Item = Offer> {
        self.machine_types
            .values()
            .flat_map(move |kind| zones_of(kind, only_zone))
            .filter(|(_, zone)| !self.delegations.is_partitioned(zone))
            .flat_map(move |(kind, zone)| {
                let ready_in_s = self.expected_boot_s(kind, zone, now);
                [false, true].map(|spot| Offer {
                    kind: kind.clone(),
                    zone: zone.clone(),
                    spot,
                    ready_in_s,
                })
            })
    }

    /// What an offer costs for one task of a demand, increased by what speaks against it; None
    /// if it cannot be used.
    fn cost_per_task(
        &self,
        offer: &Offer,
        demand: &Demand,
        left: u32,
        machine_counts: &MachineCounts,
        now: Instant,
    ) -> Option<f64> {
        let spec = &demand.spec;
        let price = offer.price()?;
        let fits = Resources::of_machine_type(&offer.kind).fitting_tasks(spec);
        if fits == 0
            || !allowed(spec, &offer.kind.name, &offer.zone, offer.spot)
            || self
                .autoscaler
                .backoff
                .is_active(&MachineKind::from(offer), now)
        {
            return None;
        }
        let run = expected_use_s(spec);
        // A machine is paid for while it boots and fetches the image.
        let start = offer.ready_in_s / BOOT_MARGIN + fetch_s(&offer.kind, spec);
        let mut cost = price * (start + run) / run / f64::from(fits.min(left));
        match demand.filter {
            OfferFilter::SpotOnly if !offer.spot => return None,
            OfferFilter::OnDemandFirst if offer.spot => cost *= LAST_RESORT_FACTOR,
            _ => {}
        }
        if let Some(slack) = demand.slack_s {
            let lateness = (start * BOOT_MARGIN - slack).max(0.0);
            cost *= 1.0 + lateness / LATENESS_DOUBLING_S;
            if lateness > 0.0 && spec.is_gang() {
                cost *= LATE_GANG_FACTOR;
            }
        }
        Some(cost * (1.0 + machine_counts.of(&offer.kind.name, &offer.zone) * SPREAD_SHARE))
    }
}

/// A machine type with each of its zones, or with the one that is named.
fn zones_of<'a>(
    kind: &'a Arc<MachineType>,
    only_zone: Option<&str>,
) -> impl Iterator<Item = (&'a Arc<MachineType>, &'a String)> {
    kind.zones
        .iter()
        .filter(move |zone| only_zone.is_none_or(|only| only == **zone))
        .map(move |zone| (kind, zone))
}

/// Seconds for which a new machine is expected to be used by a job.
fn expected_use_s(spec: &JobSpec) -> f64 {
    if spec.duration_s > 0.0 {
        spec.duration_s.max(MINIMUM_BILLED.as_secs_f64()) * EXPECTED_RUNS
    } else {
        DEFAULT_RUN_S
    }
}

/// Seconds that a new machine usually takes to fetch a job's image.
fn fetch_s(kind: &MachineType, spec: &JobSpec) -> f64 {
    if kind.fetch_gb_per_s > 0.0 {
        spec.image_gb / kind.fetch_gb_per_s
    } else {
        0.0
    }
}
