//! Node scoring: determines which of the eligible candidates is the best for a task.

use std::cmp::Ordering;
use std::time::Duration;

use super::candidates::{Candidate, ImageState, SchedulingPass};
use super::view::SchedulerView;
use crate::coordination::shard::Policy;
use crate::protocol::users::{JobKind, JobSpec};

/// An image pull may take up to this multiple of the image's size divided by the machine type's
/// pull rate.
const IMAGE_PULL_MARGIN: f64 = 1.35;

/// How tasks are distributed over the machines on which they fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlacementStrategy {
    /// On as few machines as possible, so that scale-in finds empty machines.
    BinPacking,
    /// Over many machines, so that the loss of one stops few tasks, and images are cached on many
    /// machines.
    Spreading,
}

impl PlacementStrategy {
    /// Spreads tasks if capacity is held for quota guarantees: scale-in does not release those
    /// machines anyway. Packs them otherwise.
    fn for_policy(policy: &Policy) -> Self {
        if policy.holds_capacity_for_quota() {
            Self::Spreading
        } else {
            Self::BinPacking
        }
    }

    /// The lowest state in which an image counts as present. With bin packing, a job's further
    /// tasks join the image pull that its first task started.
    fn sufficient_image(self) -> ImageState {
        match self {
            Self::BinPacking => ImageState::Pulling,
            Self::Spreading => ImageState::Cached,
        }
    }
}

/// The score of a candidate for a task; the smallest is the best. The fields are in the order of
/// their weight.
struct Score {
    lacks_image: bool,
    /// Whether the image pull may take longer than the start objective of the job's class.
    image_too_late: bool,
    outside_main_zone: bool,
    costs_extra: bool,
    on_demand: bool,
    /// The free cores with bin packing, and their negative with spreading or while the candidate
    /// lacks the image.
    free_cores: f64,
}

impl Score {
    fn compare(&self, other: &Self) -> Ordering {
        self.flags()
            .cmp(&other.flags())
            .then(self.free_cores.total_cmp(&other.free_cores))
    }

    /// The boolean criteria in the order of their weight.
    fn flags(&self) -> [bool; 5] {
        [
            self.lacks_image,
            self.image_too_late,
            self.outside_main_zone,
            self.costs_extra,
            self.on_demand,
        ]
    }
}

/// Scores the candidates for the tasks of one job.
struct Scorer<'a> {
    view: SchedulerView<'a>,
    spec: &'a JobSpec,
    strategy: PlacementStrategy,
    preferred_zone: Option<&'a str>,
    start_objective: Option<Duration>,
}

impl<'a> Scorer<'a> {
    fn new(view: SchedulerView<'a>, spec: &'a JobSpec) -> Self {
        Self {
            view,
            spec,
            strategy: PlacementStrategy::for_policy(view.policy),
            // During a network partition between zones, services in the main zone stay in contact
            // with a controller.
            preferred_zone: match spec.kind {
                JobKind::Service => view.main_zone,
                JobKind::Batch | JobKind::Gang => None,
            },
            start_objective: start_objective(view.policy, spec),
        }
    }

    fn score(&self, candidate: &Candidate, image: Option<&ImageState>) -> Score {
        let lacks_image = image.is_none_or(|state| *state < self.strategy.sufficient_image());
        let pull_exceeds = |objective| self.view.pull_exceeds(self.spec, candidate, objective);
        Score {
            lacks_image,
            image_too_late: lacks_image && self.start_objective.is_some_and(pull_exceeds),
            outside_main_zone: self
                .preferred_zone
                .is_some_and(|zone| *zone != *candidate.zone),
            costs_extra: candidate.costs_extra,
            on_demand: !candidate.is_spot,
            free_cores: match self.strategy {
                // The image is pulled on the machine where most of the job's further tasks fit, so
                // a candidate that lacks it is better the more free cores it has.
                PlacementStrategy::BinPacking if !lacks_image => candidate.free.cores,
                PlacementStrategy::BinPacking | PlacementStrategy::Spreading => {
                    -candidate.free.cores
                }
            },
        }
    }
}

impl SchedulerView<'_> {
    /// The index of the best candidate for a task among those that are eligible; the first one if
    /// several are equally good.
    pub(super) fn best_candidate(
        &self,
        spec: &JobSpec,
        pass: &SchedulingPass,
        eligible: impl Fn(&Candidate) -> bool,
    ) -> Option<usize> {
        let scorer = Scorer::new(*self, spec);
        let images = pass.image_states(spec);
        pass.candidates()
            .iter()
            .enumerate()
            .filter(|(_, candidate)| eligible(candidate))
            .map(|(index, candidate)| (scorer.score(candidate, images.get(index)), index))
            .min_by(|(score, _), (other, _)| score.compare(other))
            .map(|(_, index)| index)
    }

    /// Whether a task may miss the start objective of its class on a candidate, because the
    /// candidate has to pull the image first.
    pub(super) fn misses_start_objective(
        &self,
        spec: &JobSpec,
        pass: &SchedulingPass,
        index: usize,
    ) -> bool {
        pass.image_state(spec, index) < ImageState::Cached
            && start_objective(self.policy, spec).is_some_and(|objective| {
                self.pull_exceeds(spec, &pass.candidates()[index], objective)
            })
    }

    /// Whether a candidate may need longer than `limit` to pull a job's image.
    fn pull_exceeds(&self, spec: &JobSpec, candidate: &Candidate, limit: Duration) -> bool {
        let machine_type = self.machine_types.get(&*candidate.machine_type);
        machine_type.is_some_and(|machine_type| {
            machine_type.fetch_gb_per_s > 0.0
                && spec.image_gb / machine_type.fetch_gb_per_s * IMAGE_PULL_MARGIN
                    > limit.as_secs_f64()
        })
    }
}

/// The longest time from acceptance to start that the service-level objective of the job's class
/// allows; `None` without such an objective.
fn start_objective(policy: &Policy, spec: &JobSpec) -> Option<Duration> {
    policy.start_objectives.get(&spec.class).copied()
}
