//! The action executor: carries out the actions that the shard decided on, and reports each
//! outcome back to the shard as an event.
//!
//! This module owns how an action is sent and retried, and what a lost or ambiguous answer
//! means. [`Node::with_shard`] spawns [`execute`] for each action that results from an event.
//! The executor sends commands and rents or deletes machines only while the leader's lease is
//! live. Its writes are conditional on the leader record, so that the store refuses them once
//! another controller leads. All decisions are made by [`super::shard`].

mod commands;
mod fencing;
mod jobs;
mod shard_write;

use std::sync::Arc;

use tracing::{debug, warn};

use self::commands::CommandDelivery;
use self::shard_write::WriteOutcome;
use super::cloud::client::CloudError;
use super::leadership::lease::ShardLease;
use super::node::Node;
use super::shard::{Action, RentalOutcome, ShardWrite};
use crate::protocol::MachineId;
use crate::protocol::cloud::Rental;

/// Carries out one action of the shard. `lease` is the one that the shard was led under when it
/// decided on the action.
pub async fn execute(node: Arc<Node>, lease: Arc<ShardLease>, action: Action) {
    match action {
        Action::Command {
            machine,
            addr,
            agent_epoch,
            token,
            number,
            commands,
        } => {
            let batch = CommandDelivery {
                machine,
                addr,
                agent_epoch,
                token,
                number,
                commands,
            };
            batch.deliver(&node, &lease).await;
        }
        Action::Write(write) => apply_write(&node, &lease, &write).await,
        Action::Finish { job, mod_revision } => {
            jobs::finish(&node, &lease, &job, mod_revision).await;
        }
        Action::ReadFinal { job } => jobs::read_final_record(&node, &lease, &job).await,
        Action::Rent(rental) => rent(&node, &lease, &rental).await,
        Action::Delete(machines) => delete(&node, &lease, &machines).await,
        Action::Fenced { seen } => fencing::handle_higher_token(&node, &lease, seen).await,
    }
}

async fn apply_write(node: &Arc<Node>, lease: &Arc<ShardLease>, write: &ShardWrite) {
    let outcome = shard_write::write(node, lease, write).await;
    node.with_shard(lease, "written", |shard, now| match outcome {
        WriteOutcome::Applied { revision } => shard.write_applied(write, revision, now),
        WriteOutcome::TooLarge => shard.write_refused(write, now),
        WriteOutcome::LeaseEnded => {}
    });
}

async fn rent(node: &Arc<Node>, lease: &Arc<ShardLease>, rental: &Rental) {
    let outcome = if lease.is_live(node.now()) {
        let result = node.clients.cloud.rent(rental).await;
        log_rental_failure(rental, result.as_ref().err());
        rental_outcome(result)
    } else {
        RentalOutcome::Unknown
    };
    node.with_shard(lease, "cloud", |shard, now| {
        shard.rental_answered(&rental.request, outcome, now);
    });
}

fn log_rental_failure(rental: &Rental, error: Option<&CloudError>) {
    let request = &rental.request;
    match error {
        Some(error @ CloudError::Malformed) => {
            warn!(request, %error, "scale-out request rejected");
        }
        Some(error) => debug!(request, %error, "scale-out request failed"),
        None => {}
    }
}

/// Converts the cloud's answer to the outcome that the shard needs. `Unknown` means that the
/// request may have been carried out, or may still be.
fn rental_outcome(result: Result<Vec<String>, CloudError>) -> RentalOutcome {
    match result {
        Ok(machines) => RentalOutcome::Rented(machines),
        Err(CloudError::NoCapacity) => RentalOutcome::NoCapacity,
        Err(CloudError::Malformed | CloudError::Unencodable(_)) => RentalOutcome::Rejected,
        Err(CloudError::Unavailable(_) | CloudError::Call(_) | CloudError::Unreadable(_)) => {
            RentalOutcome::Unknown
        }
    }
}

async fn delete(node: &Arc<Node>, lease: &Arc<ShardLease>, machines: &[MachineId]) {
    let deleted = lease.is_live(node.now()) && delete_machines(node, machines).await;
    node.with_shard(lease, "cloud", |shard, now| {
        shard.deletion_answered(machines, deleted, now);
    });
}

/// Deletes machines and returns whether that succeeded. The shard repeats a failed deletion,
/// whatever the reason of the failure.
async fn delete_machines(node: &Node, machines: &[MachineId]) -> bool {
    node.clients
        .cloud
        .delete(machines)
        .await
        .inspect_err(
            |error| debug!(machines = machines.len(), %error, "deletion of machines failed"),
        )
        .is_ok()
}
