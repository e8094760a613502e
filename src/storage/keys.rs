//! The layout of the key-value store's keys.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `j/open/JOB` | [`JobRecord`](super::records::JobRecord) | any controller, when a job is submitted |
//! | `j/over/JOB` | [`FinalRecord`](super::records::FinalRecord) | the leader, or any controller when a job is cancelled |
//! | `o/SHARD/owner` | [`LeaderRecord`](super::records::LeaderRecord) | the controller that becomes leader |
//! | `o/SHARD/keep/NODE` | [`DelegateRecord`](super::records::DelegateRecord) | the leader |
//! | `o/SHARD/revoked/PAGE` | [`RevokedLaunchesRecord`](super::records::RevokedLaunchesRecord) | the leader |
//! | `k/SHARD/NODE/PAGE` | [`InventoryRecord`](super::records::InventoryRecord) | the delegate |
//! | `s/SHARD/seq` | [`SequenceRecord`](super::records::SequenceRecord) | the leader, with each of its writes |
//! | `s/SHARD/snap/BUCKET/PART` | a chunk of the [snapshot](super::snapshot) | the leader |
//! | `m/SHARD/PAGE` | a page of the [roster](super::roster) | the leader |
//! | `b/SHARD/REQUEST` | [`RentalRecord`](super::records::RentalRecord) | the leader |
//! | `h/SHARD/NODE` | [`ReachabilityRecord`](super::records::ReachabilityRecord) | a controller that can't reach the leader |

use super::records::SHARD;

/// Prefix of the records of all jobs.
pub const ALL_JOBS: &str = "j/";

/// Prefix of the records of open jobs.
pub const JOBS: &str = "j/open/";

/// Prefix of the records of jobs in a final state.
pub const FINAL_JOBS: &str = "j/over/";

/// Key of an open job's record.
pub fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// Key of the record of a job in its final state.
pub fn final_job(id: &str) -> String {
    format!("{FINAL_JOBS}{id}")
}

/// Prefix of the shard's leader record and of its delegations, so that one watch covers both.
pub fn leader_prefix() -> String {
    format!("o/{SHARD}/")
}

/// Key of the shard's leader record, which is attached to the leader's lease.
pub fn leader() -> String {
    format!("o/{SHARD}/owner")
}

/// Key of the delegation to a controller that workers reach while they can't reach the leader. It
/// shares a prefix with the leader record, so that one read returns both.
pub fn delegate(node_id: &str) -> String {
    format!("o/{SHARD}/keep/{node_id}")
}

/// Prefix of the launches that the leader has revoked. It shares a prefix with the delegations, so that
/// one read returns both.
pub fn revoked_launches_prefix() -> String {
    format!("o/{SHARD}/revoked/")
}

/// Key of one page of the launches that the leader has revoked.
pub fn revoked_launches(page: usize) -> String {
    format!("o/{SHARD}/revoked/{page:04}")
}

/// Prefix of all delegates' inventories.
pub fn inventory_prefix() -> String {
    format!("k/{SHARD}/")
}

/// Key of one page of a delegate's inventory.
pub fn inventory(node_id: &str, page: u32) -> String {
    format!("k/{SHARD}/{node_id}/{page:04}")
}

/// Key of the shard's sequence record.
pub fn sequence() -> String {
    format!("s/{SHARD}/seq")
}

/// Prefix of the shard's snapshot.
pub fn snapshot_prefix() -> String {
    format!("s/{SHARD}/snap/")
}

/// Key of one chunk of the shard's snapshot.
pub fn chunk(bucket: usize, part: usize) -> String {
    format!("s/{SHARD}/snap/{bucket:02}/{part:03}")
}

/// Prefix of the roster: the machines that may have tasks.
pub fn roster_prefix() -> String {
    format!("m/{SHARD}/")
}

/// Key of one page of the roster.
pub fn roster_page(page: u32) -> String {
    format!("m/{SHARD}/{page:04}")
}

/// Prefix of the records of pending rentals: scale-out requests whose answer isn't known yet.
pub fn rental_prefix() -> String {
    format!("b/{SHARD}/")
}

/// Key of a pending rental's record.
pub fn pending_rental(request: &str) -> String {
    format!("b/{SHARD}/{request}")
}

/// Prefix of the reachability records.
pub fn reachability_prefix() -> String {
    format!("h/{SHARD}/")
}

/// Key of a reachability record: how many workers reach a controller that can't reach the leader.
pub fn reachability(node_id: &str) -> String {
    format!("h/{SHARD}/{node_id}")
}
