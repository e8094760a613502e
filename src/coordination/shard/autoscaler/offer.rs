//! Offers: the machines that can be rented, and the choice of the best one for a demand.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use super::boot_estimates::BOOT_MARGIN_FACTOR;
use super::demand::{Demand, OfferFilter};
use super::machine_kind::{MIN_BILLED_TIME, MachineKind};
use super::view::AutoscalerView;
use crate::coordination::shard::machines::Resources;
use crate::coordination::shard::scheduler::is_machine_allowed;
use crate::protocol::cloud::MachineType;
use crate::protocol::users::JobSpec;

/// Cost factor for an offer that would be ready too late for a gang: all tasks of the gang wait for
/// the last machine.
const LATE_GANG_COST_FACTOR: f64 = 3.0;

/// Lateness in seconds that doubles the cost of an offer.
const COST_DOUBLING_LATENESS_S: f64 = 30.0;

/// Seconds for which a machine is expected to be used if the job states no run time.
const DEFAULT_USE_S: f64 = 600.0;

/// A machine is expected to be used for this many runs of the job.
const EXPECTED_RUNS_PER_MACHINE: f64 = 2.0;

/// Cost factor for an offer that is used only if there is no other.
const LAST_RESORT_COST_FACTOR: f64 = 1e3;

/// Each existing machine of the same type and zone raises an offer's cost by this share, so that
/// offers of equal cost are spread over the zones.
const SPREAD_COST_SHARE: f64 = 1e-4;

/// The number of machines of each type in each zone.
#[derive(Debug, Default)]
pub(super) struct MachineCounts {
    by_type: HashMap<Arc<str>, HashMap<Arc<str>, f64>>,
}

impl MachineCounts {
    /// Adds one machine to the count of its type and zone.
    pub(super) fn add(&mut self, machine_type: &Arc<str>, zone: &Arc<str>) {
        let zones = self.by_type.entry(machine_type.clone()).or_default();
        *zones.entry(zone.clone()).or_default() += 1.0;
    }

    fn count(&self, machine_type: &str, zone: &str) -> f64 {
        let zones = self.by_type.get(machine_type);
        let count = zones.and_then(|zones| zones.get(zone));
        count.copied().unwrap_or(0.0)
    }
}

/// A machine of a certain type, zone and pricing that can be rented.
#[derive(Clone)]
pub(super) struct Offer {
    pub machine_type: Arc<MachineType>,
    pub zone: String,
    pub spot: bool,
    /// Expected seconds until the machine has booted, by its usual and the recent boot times.
    pub ready_in_s: f64,
}

impl Offer {
    /// Current price per hour; None if the offer is not available.
    fn price(&self) -> Option<f64> {
        let price = if self.spot {
            self.machine_type.spot_price
        } else {
            Some(self.machine_type.price)
        };
        price.filter(|price| *price > 0.0)
    }
}

impl From<&Offer> for MachineKind {
    fn from(offer: &Offer) -> Self {
        Self {
            machine_type: offer.machine_type.name.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
        }
    }
}

/// An offer and its cost for one task of a demand.
struct PricedOffer {
    cost_per_task: f64,
    offer: Offer,
}

impl AutoscalerView<'_> {
    /// The cheapest offer for a demand, restricted to `only_zone` if it is given. `usable_tasks` is
    /// how many tasks could use the new machine: those of the demand that have no capacity, and
    /// later tasks of the same class.
    pub(super) fn best_offer(
        &self,
        demand: &Demand,
        usable_tasks: u32,
        only_zone: Option<&str>,
        machine_counts: &MachineCounts,
        now: Instant,
    ) -> Option<Offer> {
        let mut best: Option<PricedOffer> = None;
        for offer in self.offers(only_zone, now) {
            let Some(cost_per_task) =
                self.cost_per_task(&offer, demand, usable_tasks, machine_counts, now)
            else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|best| cost_per_task < best.cost_per_task)
            {
                best = Some(PricedOffer {
                    cost_per_task,
                    offer,
                });
            }
        }
        best.map(|best| best.offer)
    }

    /// An on-demand and a spot offer, in this order, for each machine type in each zone that is not
    /// partitioned.
    fn offers(&self, only_zone: Option<&str>, now: Instant) -> impl Iterator<Item = Offer> {
        self.machine_types
            .values()
            .flat_map(move |machine_type| zones_of(machine_type, only_zone))
            .filter(|(_, zone)| !self.delegations.is_partitioned(zone))
            .flat_map(move |(machine_type, zone)| {
                let ready_in_s = self.expected_boot_s(machine_type, zone, now);
                [false, true].map(|spot| Offer {
                    machine_type: machine_type.clone(),
                    zone: zone.clone(),
                    spot,
                    ready_in_s,
                })
            })
    }

    /// Cost of an offer for one task of a demand, increased if the offer is late, a last resort or
    /// in a zone that has many such machines; None if the offer cannot be used.
    fn cost_per_task(
        &self,
        offer: &Offer,
        demand: &Demand,
        usable_tasks: u32,
        machine_counts: &MachineCounts,
        now: Instant,
    ) -> Option<f64> {
        let spec = &demand.spec;
        let price = offer.price()?;
        let fitting_tasks = Resources::of_machine_type(&offer.machine_type).fitting_tasks(spec);
        if fitting_tasks == 0
            || !is_machine_allowed(spec, &offer.machine_type.name, &offer.zone, offer.spot)
            || self
                .autoscaler
                .backoff
                .is_active(&MachineKind::from(offer), now)
        {
            return None;
        }
        let use_s = expected_use_s(spec);
        // The machine is billed while it boots and fetches the image.
        let startup_s =
            offer.ready_in_s / BOOT_MARGIN_FACTOR + image_fetch_s(&offer.machine_type, spec);
        let mut cost =
            price * (startup_s + use_s) / use_s / f64::from(fitting_tasks.min(usable_tasks));
        match demand.filter {
            OfferFilter::SpotOnly if !offer.spot => return None,
            OfferFilter::OnDemandFirst if offer.spot => cost *= LAST_RESORT_COST_FACTOR,
            _ => {}
        }
        if let Some(slack_s) = demand.slack_s {
            let lateness_s = (startup_s * BOOT_MARGIN_FACTOR - slack_s).max(0.0);
            cost *= 1.0 + lateness_s / COST_DOUBLING_LATENESS_S;
            if lateness_s > 0.0 && spec.is_gang() {
                cost *= LATE_GANG_COST_FACTOR;
            }
        }
        Some(
            cost * (1.0
                + machine_counts.count(&offer.machine_type.name, &offer.zone) * SPREAD_COST_SHARE),
        )
    }
}

/// Pairs a machine type with each of its zones, or only with `only_zone` if it is given.
fn zones_of<'a>(
    machine_type: &'a Arc<MachineType>,
    only_zone: Option<&str>,
) -> impl Iterator<Item = (&'a Arc<MachineType>, &'a String)> {
    machine_type
        .zones
        .iter()
        .filter(move |zone| only_zone.is_none_or(|only| only == **zone))
        .map(move |zone| (machine_type, zone))
}

/// Seconds for which a job is expected to use a new machine.
fn expected_use_s(spec: &JobSpec) -> f64 {
    if spec.duration_s > 0.0 {
        spec.duration_s.max(MIN_BILLED_TIME.as_secs_f64()) * EXPECTED_RUNS_PER_MACHINE
    } else {
        DEFAULT_USE_S
    }
}

/// Seconds that a new machine usually takes to fetch a job's image; 0 if the speed is unknown.
fn image_fetch_s(machine_type: &MachineType, spec: &JobSpec) -> f64 {
    if machine_type.fetch_gb_per_s > 0.0 {
        spec.image_gb / machine_type.fetch_gb_per_s
    } else {
        0.0
    }
}
