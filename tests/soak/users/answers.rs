//! What the answers tell users, checked against what they were told before.

use std::collections::BTreeMap;
use std::time::Instant;

use hyper::StatusCode;
use serde_json::Value;
use valegap::transport::client::Answer;

use super::{JobFacts, Request, Users};
use crate::history::Violation;

impl Users {
    /// Checks an answer against what was known when the request was sent, and notes what it says.
    pub(super) fn note_answer(
        &self,
        request: &Request,
        known: Option<&JobFacts>,
        answer: &Answer,
    ) -> bool {
        let job = request.job().to_owned();
        let value: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let stage = value["Stage"].as_str().unwrap_or_default().to_owned();
        let was_accepted = known.is_some_and(|facts| facts.is_accepted);
        match answer.status {
            StatusCode::OK | StatusCode::CREATED => {}
            StatusCode::NOT_FOUND | StatusCode::BAD_REQUEST | StatusCode::UNPROCESSABLE_ENTITY => {
                if was_accepted {
                    let answer = answer.status.to_string();
                    self.report(Violation::Forgotten { job, answer });
                }
                return true;
            }
            _ => return false,
        }
        let Some(known) = known else {
            self.report(Violation::Invented { job });
            return true;
        };
        if let Some((before, _)) = &known.told_final
            && *before != stage
        {
            self.report(Violation::WentBack {
                job: job.clone(),
                before: before.clone(),
                after: stage.clone(),
            });
        }
        if stage == "cancelled" && !self.facts(&job).is_some_and(|facts| facts.cancel_requested) {
            self.report(Violation::WentBack {
                job: job.clone(),
                before: "not cancelled by its user".to_owned(),
                after: stage.clone(),
            });
        }
        self.note_stage(&job, known.tasks, &stage);
        let is_final = stage == "cancelled" || stage == "done";
        is_final || !matches!(request, Request::Cancel(_))
    }

    fn note_stage(&self, job: &str, tasks: u32, stage: &str) {
        let now = Instant::now();
        let mut jobs = self.jobs.lock().expect("jobs");
        let Some(facts) = jobs.get_mut(job) else {
            return;
        };
        facts.is_accepted = true;
        if facts.told_final.is_some() || !matches!(stage, "done" | "cancelled") {
            return;
        }
        facts.told_final = Some((stage.to_owned(), now));
        if stage == "done" {
            let not_done = self.history.tasks_not_done(job, tasks, now);
            let violations = not_done.into_iter().map(|task| Violation::NotDone {
                job: job.to_owned(),
                task,
            });
            violations.for_each(|violation| self.report(violation));
        }
    }

    pub(super) fn report(&self, violation: Violation) {
        self.violations.lock().expect("violations").push(violation);
    }

    pub(crate) fn violations(&self) -> Vec<Violation> {
        self.violations.lock().expect("violations").clone()
    }

    /// By job, when its user was told that it is cancelled.
    pub(crate) fn confirmed_cancellations(&self) -> BTreeMap<String, Instant> {
        let jobs = self.jobs.lock().expect("jobs");
        let confirmed = jobs.iter().filter_map(|(id, facts)| {
            let (stage, at) = facts.told_final.as_ref()?;
            (stage == "cancelled").then(|| (id.clone(), *at))
        });
        confirmed.collect()
    }

    pub(crate) fn accepted_count(&self) -> usize {
        let jobs = self.jobs.lock().expect("jobs");
        jobs.values().filter(|facts| facts.is_accepted).count()
    }
}
