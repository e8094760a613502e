//! A controller's state, which is behind the one lock of its [`Node`](super::Node).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::counters::Counters;
use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::shard::{Shard, TaskCounts};
use crate::coordination::worker_leases::advance_delegation::{AdvanceDelegation, AdvanceGrants};
use crate::coordination::worker_leases::cancellation_freshness::CancellationFreshness;
use crate::coordination::worker_leases::command_tokens::CommandTokens;
use crate::coordination::worker_leases::revoked_launches::RevokedLaunches;
use crate::protocol::FencingToken;
use crate::protocol::cloud::MachineType;
use crate::protocol::peers::PeerHeartbeat;
use crate::storage::inventory::PendingHeartbeats;
use crate::storage::records::LeaderRecord;
use crate::telemetry::Activities;

/// A controller's state.
#[derive(Default)]
pub struct NodeState {
    /// The shard, if this controller leads it.
    pub leadership: Option<Leadership>,
    /// The lease of the shard, if this controller has acquired the shard and not yet recovered its
    /// state.
    pub recovering: Option<Arc<ShardLease>>,
    /// The leader record as last read.
    pub observed_leader: Option<LeaderRecord>,
    /// The cloud's machine types, once they have been read.
    pub machine_types: Option<Vec<MachineType>>,
    /// By worker: when it last sent a heartbeat to this controller, whether or not the heartbeat
    /// was answered.
    pub worker_heartbeats: HashMap<String, Instant>,
    /// What the other controllers state in their heartbeats.
    pub peers: Peers,
    /// What decides whether this controller may campaign for the shard.
    pub candidacy: Candidacy,
    /// This controller's part as a delegate of the leader.
    pub delegate: DelegateRole,
    /// Up to which moment this controller knows of all cancellations.
    pub cancellations: CancellationFreshness,
    /// Whether this controller renews no worker's lease, as it may not know of all cancellations.
    pub renewals_suspended: bool,
    /// Counts for the status page.
    pub counters: Counters,
}

/// A shard that this controller leads.
pub struct Leadership {
    /// The lease under which it is led.
    pub lease: Arc<ShardLease>,
    /// The shard's state machine.
    pub shard: Shard,
    /// The advance delegations that were granted under this lease.
    pub advance_grants: AdvanceGrants,
    /// The job index's change count when the shard was last notified of finished jobs.
    pub notified_change_count: Option<u64>,
    /// The time spent on the shard's events, by activity.
    pub activities: Activities,
}

/// Another controller, by its last heartbeat.
#[derive(Debug, Clone)]
pub struct PeerView {
    /// The heartbeat.
    pub heartbeat: PeerHeartbeat,
    /// When it was received.
    pub received_at: Instant,
}

impl PeerView {
    /// Whether the heartbeat was received less than `time` ago.
    pub fn is_fresher_than(&self, time: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.received_at) < time
    }
}

/// What the other controllers state in their heartbeats.
#[derive(Default)]
pub struct Peers {
    /// Their last heartbeats, by node id.
    pub views: HashMap<String, PeerView>,
    /// Unfinished jobs with the counts of their tasks, as stated by the leader's last heartbeat.
    pub progress: HashMap<String, TaskCounts>,
    /// The zone that holds most machines: as determined by this controller if it leads the shard,
    /// otherwise as stated by the leader's last heartbeat.
    pub main_zone: Option<String>,
    /// The highest fencing token that a heartbeat has named, and when a heartbeat last named it. A
    /// late heartbeat of an earlier leader changes nothing here, and neither does a heartbeat
    /// without a fencing token, whose sender is past its deadline: the leader relies on the
    /// earlier contact.
    pub leader_contact: Option<LeaderContact>,
    /// By controller that runs an older version: when it last failed to understand a frame that
    /// this version added.
    pub older_versions: HashMap<String, Instant>,
}

/// The last heartbeat with the fencing token of a leader.
#[derive(Debug, Clone, Copy)]
pub struct LeaderContact {
    /// The leader's fencing token.
    pub fencing_token: FencingToken,
    /// When the heartbeat was received.
    pub received_at: Instant,
}

/// Workers that this controller couldn't reach when it last led the shard.
#[derive(Debug, Clone)]
pub struct UnreachableWorkers {
    /// The addresses of some of these workers, to be probed.
    pub(in crate::coordination) addresses: Vec<SocketAddr>,
    /// When this controller recorded that it couldn't reach them.
    pub(in crate::coordination) since: Instant,
}

/// What decides whether a controller may campaign for the shard, and may grant another
/// leader an extension.
#[derive(Default)]
pub struct Candidacy {
    /// Whether an attempt to acquire the shard is in progress, or its outcome is unknown.
    pub acquiring: bool,
    /// The fencing token that this process last acquired.
    pub latest_fencing_token: FencingToken,
    /// Whether the leader record that this process found was that of an earlier process of this
    /// controller. As that process led the shard itself, no leader holds its lease by its vote.
    pub earlier_incarnation_led: bool,
    /// Until when this node must not campaign, by the extension that it granted.
    pub extension_granted_until: Option<Instant>,
    /// Until when this node should leave the shard to other controllers, since it didn't reach
    /// enough workers.
    pub ineligible_until: Option<Instant>,
    /// The workers that this node didn't reach when it last led the shard, for as long as most of
    /// them don't answer its probes.
    pub unreachable_workers: Option<UnreachableWorkers>,
}

/// The right, given by the leader, to renew the leases of workers that the leader can't reach.
#[derive(Debug, Clone, Copy)]
pub struct Delegation {
    /// The tokens of the leader's commands, as far as they are known to be its own.
    pub tokens: CommandTokens,
    /// When the right ends.
    pub until: Instant,
    /// Whether the leader asks for an inventory of what the workers run.
    pub wants_inventory: bool,
}

/// A controller's part as a delegate of the leader.
#[derive(Default)]
pub struct DelegateRole {
    /// The delegation that the leader gave in the store, if there is one.
    pub delegation: Option<Delegation>,
    /// The launches that the leader has revoked, as last read together with a delegation.
    pub revoked_launches: RevokedLaunches,
    /// The delegation that the leader granted in advance by its last answer to a heartbeat of this
    /// node.
    pub advance: Option<AdvanceDelegation>,
    /// When this controller last renewed a worker's lease by an advance delegation.
    pub last_advance_renewal: Option<Instant>,
    /// Heartbeats of delegated workers under the leader's fencing token that are still to be
    /// written to the inventory.
    pub unwritten_heartbeats: PendingHeartbeats,
    /// Largest size of an inventory page, in bytes, since the store refused pages that its stated
    /// limits allow; `None` while it has refused none.
    pub max_inventory_page_bytes: Option<usize>,
}
