//! Node scoring: which of the candidates that fit is best for a task.

use std::cmp::Ordering;
use std::time::Duration;

use super::candidates::{Candidate, ImageState, SchedulingPass};
use super::view::SchedulerView;
use crate::coordination::shard::Policy;
use crate::protocol::users::{JobKind, JobSpec};

/// An image pull may take this multiple of the time that the machine type's rate gives.
const IMAGE_PULL_MARGIN: f64 = 1.35;

/// How tasks are distributed over the machines that fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlacementStrategy {
    /// On as few machines as possible, so that scale-in finds empty ones.
    BinPacking,
    /// Over many machines, so that losing one stops few tasks and images are cached in many
    /// places.
    Spreading,
}

impl PlacementStrategy {
    /// Machines whose capacity is held for quota guarantees are not released anyway.
    fn of(policy: &Policy) -> Self {
        if policy.holds_capacity() {
            Self::Spreading
        } else {
            Self::BinPacking
        }
    }

    /// The state from which on an image counts as present. When packing, the tasks that
    /// follow the first join its image pull.
    fn sufficient_image(self) -> ImageState {
        match self {
            Self::BinPacking => ImageState::Pulling,
            Self::Spreading => ImageState::Cached,
        }
    }
}

/// How bad a candidate is for a task; the least is best. The fields stand in the order
/// of their weight.
struct Score {
    lacks_image: bool,
    /// The image would be pulled for longer than the class's start objective.
    image_too_late: bool,
    outside_main_zone: bool,
    costs_extra: bool,
    on_demand: bool,
    /// Free cores when bin packing, and their negative when spreading.
    free_cores: f64,
}

impl Score {
    fn compare(&self, other: &Self) -> Ordering {
        self.flags()
            .cmp(&other.flags())
            .then(self.free_cores.total_cmp(&other.free_cores))
    }

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
            strategy: PlacementStrategy::of(view.policy),
            // A network partition leaves services there in contact with a controller.
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
            on_demand: !candidate.spot,
            free_cores: match self.strategy {
                // An image is pulled where most of the tasks that follow will fit.
                PlacementStrategy::BinPacking if !lacks_image => candidate.free.cores,
                PlacementStrategy::BinPacking | PlacementStrategy::Spreading => {
                    -candidate.free.cores
                }
            },
        }
    }
}

impl SchedulerView<'_> {
    /// The best candidate for a task among those that are eligible, by index; the first
    /// of equals.
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

    /// Whether a task would miss its class's start objective on a candidate for want of
    /// its image.
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

    /// Whether a candidate may need longer than this to pull a job's image.
    fn pull_exceeds(&self, spec: &JobSpec, candidate: &Candidate, longest: Duration) -> bool {
        let machine_type = self.machine_types.get(&*candidate.machine_type);
        machine_type.is_some_and(|machine_type| {
            machine_type.fetch_gb_per_s > 0.0
                && spec.image_gb / machine_type.fetch_gb_per_s * IMAGE_PULL_MARGIN
                    > longest.as_secs_f64()
        })
    }
}

/// The longest wait for a start that the class's service-level objective allows.
fn start_objective(policy: &Policy, spec: &JobSpec) -> Option<Duration> {
    policy.wait_within.get(&spec.class).copied()
}
