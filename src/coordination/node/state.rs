//! What a controller knows, behind the one lock of its [`Node`](super::Node).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::shard::{Shard, TaskCounts};
use crate::coordination::worker_leases::advance_delegation::{AdvanceDelegation, AdvanceGrants};
use crate::coordination::worker_leases::cancellation_freshness::CancellationFreshness;
use crate::protocol::FencingToken;
use crate::protocol::cloud::MachineType;
use crate::protocol::peers::PeerHeartbeat;
use crate::storage::inventory::PendingHeartbeats;
use crate::storage::records::LeaderRecord;
use crate::telemetry::Activities;

/// What a controller knows.
#[derive(Default)]
pub struct NodeState {
    /// The shard, if this controller leads it.
    pub leadership: Option<Leadership>,
    /// The lease of a shard that this controller acquired and has not recovered yet.
    pub recovering: Option<Arc<ShardLease>>,
    /// The leader record as last read.
    pub observed_leader: Option<LeaderRecord>,
    /// The cloud's machine types, once they have been read.
    pub types: Option<Vec<MachineType>>,
    /// When each worker last sent a heartbeat here, whether or not it was answered.
    pub workers: HashMap<String, Instant>,
    /// What the other controllers say.
    pub peers: Peers,
    /// What decides whether this controller may campaign for the shard.
    pub candidacy: Candidacy,
    /// This controller's part as a delegate of the leader.
    pub delegate: DelegateRole,
    /// Up to when this controller knows of all cancellations.
    pub cancellations: CancellationFreshness,
    /// This controller renews no worker's lease, since cancellations may be unknown to it.
    pub renewals_suspended: bool,
}

/// A shard that this controller leads.
pub struct Leadership {
    /// The lease under which it is led.
    pub lease: Arc<ShardLease>,
    /// The shard's state machine.
    pub shard: Shard,
    /// The advance delegations that were granted under this lease.
    pub advance_grants: AdvanceGrants,
    /// The job index's count of finished jobs when the shard was last notified of them.
    pub finished_notified: Option<u64>,
    /// The time spent on the shard's events.
    pub activities: Activities,
}

/// Another controller, by its last heartbeat.
#[derive(Debug, Clone)]
pub struct PeerView {
    /// The heartbeat.
    pub heartbeat: PeerHeartbeat,
    /// When it was received.
    pub at: Instant,
}

impl PeerView {
    /// Whether the heartbeat was received less than `time` ago.
    pub fn is_fresher_than(&self, time: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < time
    }
}

/// What the other controllers say.
#[derive(Default)]
pub struct Peers {
    /// Their last heartbeats, by node id.
    pub views: HashMap<String, PeerView>,
    /// Unfinished jobs with the counts of their tasks, by the leader's last heartbeat.
    pub progress: HashMap<String, TaskCounts>,
    /// The zone that holds most machines, by the leader's last heartbeat.
    pub main_zone: Option<String>,
    /// The highest fencing token that a heartbeat named, and when one last did. A
    /// heartbeat without a fencing token, one that is late or comes from a leader past
    /// its deadline, changes nothing here: the leader counts on the earlier contact.
    pub leader_contact: Option<LeaderContact>,
    /// When each controller of an older version last failed to understand a frame that
    /// this version added.
    pub older: HashMap<String, Instant>,
}

/// The last contact with a leader.
#[derive(Debug, Clone, Copy)]
pub struct LeaderContact {
    /// The leader's fencing token.
    pub fencing_token: FencingToken,
    /// When its heartbeat was received.
    pub at: Instant,
}

/// Workers that a former leader couldn't reach.
#[derive(Debug, Clone)]
pub struct UnreachableWorkers {
    /// Some of their addresses, to be probed.
    pub(in crate::coordination) addresses: Vec<SocketAddr>,
    /// When they were unreachable.
    pub(in crate::coordination) since: Instant,
}

/// What decides whether a controller may campaign for the shard, and may grant another
/// leader an extension.
#[derive(Default)]
pub struct Candidacy {
    /// An attempt to acquire the shard is in progress, or its outcome is unknown.
    pub acquiring: bool,
    /// The fencing token that this process acquired last.
    pub latest_fencing_token: FencingToken,
    /// The last leader was an earlier process of this controller, which has ended.
    pub previous_incarnation_ended: bool,
    /// Until when this node must not campaign, by the extension that it granted.
    pub extension_granted_until: Option<Instant>,
    /// Until when this node should leave the shard to others, since it didn't reach
    /// enough workers.
    pub ineligible_until: Option<Instant>,
    /// The workers that it didn't reach when it last led the shard, while they don't
    /// answer it.
    pub unreachable_workers: Option<UnreachableWorkers>,
}

/// The right to renew the leases of workers that the leader doesn't reach.
#[derive(Debug, Clone, Copy)]
pub struct Delegation {
    /// The leader's fencing token.
    pub fencing_token: FencingToken,
    /// When the right ends.
    pub until: Instant,
    /// The leader asks for an inventory of what the workers run.
    pub inventory: bool,
}

/// A controller's part as a delegate of the leader.
#[derive(Default)]
pub struct DelegateRole {
    /// The delegation that the leader gave in the store, if there is one.
    pub delegation: Option<Delegation>,
    /// The delegation that the leader granted in advance, by its last answer to a
    /// heartbeat of this node.
    pub advance: Option<AdvanceDelegation>,
    /// When a worker's lease was last renewed by a delegation granted in advance.
    pub last_advance_renewal: Option<Instant>,
    /// Heartbeats of delegated workers under the leader's fencing token, which are to be
    /// written as an inventory.
    pub unwritten_heartbeats: PendingHeartbeats,
    /// The largest inventory page, in bytes, that the store has not refused, if that is
    /// less than its limits say.
    pub inventory_bytes: Option<usize>,
}
