//! The simulated users, who submit and cancel jobs. In an outage of the key-value store their
//! requests are refused.

use std::sync::Arc;

use super::network::Message;
use super::{Simulation, is_fault_active};
use crate::coordination::shard::tests::fixtures::record;
use crate::protocol::users::{JobSpec, JobStage};

impl Simulation {
    pub(crate) fn submit(&mut self, id: &str, spec: JobSpec) {
        if is_fault_active(self.store.outage_until, self.now) {
            return;
        }
        let record = record(spec);
        let spec = Arc::new(record.spec.clone());
        self.truth.specs.insert(id.to_owned(), spec);
        let mod_revision = self.store.create_job(id, record.clone());
        let now = self.now;
        self.apply_to_leader(|shard| shard.job_accepted(id, mod_revision, record, now));
    }

    pub(crate) fn cancel(&mut self, id: &str) {
        if is_fault_active(self.store.outage_until, self.now) {
            return;
        }
        if self.store.finish_job(id, JobStage::Cancelled).is_none() {
            return;
        }
        self.confirm_cancellation(id);
        self.send(Message::JobFinished {
            job: id.to_owned(),
            stage: JobStage::Cancelled,
        });
    }

    pub(crate) fn open_jobs(&self) -> Vec<String> {
        self.store.open_jobs().map(|(id, _)| id.clone()).collect()
    }

    /// Cancels the first job of which all tasks have completed but the final record is not written
    /// yet, if there is such a job.
    pub(crate) fn cancel_completed_job(&mut self) {
        let completed = self
            .store
            .open_jobs()
            .find(|(id, record)| self.truth.all_completed(id, record.spec.tasks))
            .map(|(id, _)| id.clone());
        if let Some(id) = completed {
            self.cancel(&id);
        }
    }

    /// Cancels all services, since they never end by themselves; returns their number.
    pub(crate) fn cancel_services(&mut self) -> usize {
        let services = self.store.open_services();
        for id in &services {
            self.cancel(id);
        }
        services.len()
    }
}
