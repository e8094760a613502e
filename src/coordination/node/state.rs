//! What a controller knows, behind the one lock of its [`Node`](super::Node).

use crate::protocol::FencingToken;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use crate::coordination::leadership::lease::ShardLease;
use crate::coordination::peering::reach::UnreachableWorkers;
use crate::coordination::shard::{Shard, TaskCounts};
use crate::coordination::worker_leases::advance_delegation::{AdvanceDelegation, AdvanceGrants};
use crate::coordination::worker_leases::cancellation_freshness::CancellationFreshness;
use crate::protocol::cloud::MachineType;
use crate::protocol::peers::PeerHeartbeat;
use crate::storage::inventory::PendingHeartbeats;
use crate::storage::records::LeaderRecord;
use crate::telemetry::Activities;

/// Another controller as last heard.
#[derive(Debug, Clone)]
pub struct PeerView {
    /// What it said of itself.
    pub heartbeat: PeerHeartbeat,
    /// When that was heard.
    pub at: Instant,
}

/// A shard that this controller runs.
pub struct Leadership {
    /// The lease by which it is run.
    pub lease: Arc<ShardLease>,
    /// The shard's state machine.
    pub shard: Shard,
    /// The advance delegations that this lease's heartbeats gave.
    pub advance_grants: AdvanceGrants,
    /// How much of what is over the shard was told, by the job index's count.
    pub finished_notified: Option<u64>,
    /// What the shard's events cost.
    pub activities: Activities,
}

/// The right to answer workers that the leader can't hear.
#[derive(Debug, Clone, Copy)]
pub struct Delegation {
    /// The leader's fencing token.
    pub fencing_token: FencingToken,
    /// When the right ends.
    pub until: Instant,
    /// The leader asks what they hold.
    pub inventory: bool,
}

/// What a controller knows.
#[derive(Default)]
pub struct NodeState {
    /// The shard, if this controller runs it.
    pub leadership: Option<Leadership>,
    /// A lease whose shard is not loaded yet.
    pub recovering: Option<Arc<ShardLease>>,
    /// The leadership record as last read.
    pub observed_leader: Option<LeaderRecord>,
    /// The cloud's machine types, once they are known.
    pub types: Option<Vec<MachineType>>,
    /// Workers that tried to send heartbeats here, and when.
    pub workers: HashMap<String, Instant>,
    /// What the other controllers say.
    pub peers: Peers,
    /// What decides whether it may campaigns for the shard.
    pub candidacy: Candidacy,
    /// Its part as a delegate of the leader.
    pub delegate: DelegateRole,
    /// Up to when cancellations are known here.
    pub cancellations: CancellationFreshness,
    /// Workers are not answered, since too little is known of cancellations.
    pub renewals_suspended: bool,
}

/// What the other controllers say.
#[derive(Default)]
pub struct Peers {
    /// Their last heartbeats, by node id.
    pub views: HashMap<String, PeerView>,
    /// Unfinished jobs with their tasks, as the leader last said.
    pub progress: HashMap<String, TaskCounts>,
    /// The zone that holds most machines, as the leader last said.
    pub main_zone: Option<String>,
    /// The highest fencing token that a heartbeat named, and when one last did. A heartbeat
    /// without a fencing token, late or of a leader past its deadline, changes nothing:
    /// the leader counts on its having been heard.
    pub leader_contact: Option<LeaderContact>,
    /// Controllers of an older version, which know no other frames than their
    /// own, and when they last showed it.
    pub older: HashMap<String, Instant>,
}

/// That a leader was heard.
#[derive(Debug, Clone, Copy)]
pub struct LeaderContact {
    /// The leader's fencing token.
    pub fencing_token: FencingToken,
    /// When it was heard.
    pub at: Instant,
}

/// What decides whether a controller may campaigns for the shard, and grant extensions.
#[derive(Default)]
pub struct Candidacy {
    /// An attempt to acquire the shard is under way, or its outcome unknown.
    pub acquiring: bool,
    /// The latest fencing token that this run has acquired.
    pub latest_fencing_token: FencingToken,
    /// The last leader was an earlier run of this process, which is dead.
    pub previous_run_ended: bool,
    /// Until when this node leaves the shard to its leader, as it granted.
    pub extension_granted_until: Option<Instant>,
    /// Until when this node should rather not lead the shard.
    pub ineligible_until: Option<Instant>,
    /// The workers that it couldn't hear when it last led the shard, while they don't
    /// answer it.
    pub unreachable_workers: Option<UnreachableWorkers>,
}

/// A controller's part as a delegate of the leader.
#[derive(Default)]
pub struct DelegateRole {
    /// The leader's fencing token under which this node may answer workers that the
    /// leader can't hear, and until when.
    pub delegation: Option<Delegation>,
    /// What the leader's last answer to a heartbeat entitles to.
    pub advance: Option<AdvanceDelegation>,
    /// When a worker was last answered by an advance delegation.
    pub answered_by_advance_delegation: Option<Instant>,
    /// What delegated workers reported under the leader's fencing token, to be written.
    pub unwritten_heartbeats: PendingHeartbeats,
    /// The largest inventory page that the key-value store has not refused, if it is
    /// less than its limits say.
    pub inventory_bytes: Option<usize>,
}
