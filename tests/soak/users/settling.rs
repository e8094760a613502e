//! After the troubles: whether each job comes to be as its user wants it.

use std::time::Instant;

use hyper::{Method, StatusCode};
use serde_json::Value;

use super::{ANSWER_TIMEOUT, JobKind, RETRY_PAUSE, Request, Users};
use crate::history::Violation;

impl Users {
    /// Once the troubles are over: asks for each job until it is as it should be, at the latest until
    /// `end`. A batch job is done, a service runs, and a job that its user wants to cancel is
    /// cancelled or done. If the team has a limit, which its services may use up, they are cancelled
    /// first.
    pub(crate) async fn wait_until_settled(&self, end: Instant) {
        if self.has_quota {
            self.request_cancellation_of_services();
        }
        let jobs: Vec<String> = {
            let jobs = self.jobs.lock().expect("jobs");
            let accepted = jobs.iter().filter(|(_, facts)| facts.is_accepted);
            accepted.map(|(id, _)| id.clone()).collect()
        };
        for (index, job) in jobs.iter().enumerate() {
            let mut stage = "not answered".to_owned();
            while !self.is_settled(job, index, &mut stage).await {
                if Instant::now() > end {
                    let job = job.clone();
                    self.report(Violation::LeftWaiting { job, stage });
                    break;
                }
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    fn request_cancellation_of_services(&self) {
        let mut jobs = self.jobs.lock().expect("jobs");
        let services = jobs
            .values_mut()
            .filter(|facts| facts.kind == JobKind::Service);
        services.for_each(|facts| facts.cancel_requested = true);
    }

    async fn is_settled(&self, job: &str, index: usize, stage: &mut String) -> bool {
        let Some(facts) = self.facts(job) else {
            return true;
        };
        let index = index % self.deployment.user_addresses.len();
        if facts.cancel_requested {
            let request = Request::Cancel(job.to_owned());
            return facts.told_final.is_some() || self.send(&request, index).await;
        }
        let request = Request::Poll(job.to_owned());
        self.send(&request, index).await;
        if facts.kind == JobKind::Batch {
            *stage = "not done".to_owned();
            return self
                .facts(job)
                .is_some_and(|facts| facts.told_final.is_some());
        }
        *stage = "not running".to_owned();
        self.running_count(job, index).await >= facts.tasks as u64
    }

    async fn running_count(&self, job: &str, index: usize) -> u64 {
        let address = self.deployment.user_addresses[index];
        let path = format!("/v1/jobs/{job}");
        let call = self
            .client
            .call(Method::GET, address, &path, Vec::new(), ANSWER_TIMEOUT);
        let answer = call
            .await
            .ok()
            .filter(|answer| answer.status == StatusCode::OK);
        let value = answer.and_then(|answer| serde_json::from_slice::<Value>(&answer.body).ok());
        value
            .and_then(|value| value["running"].as_u64())
            .unwrap_or(0)
    }
}
