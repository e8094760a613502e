//! The layout of the key-value store's keys.

use super::records::SHARD;

/// Prefix of all jobs.
pub const ALL_JOBS: &str = "j/";

/// Prefix of the jobs that are neither done nor cancelled.
pub const JOBS: &str = "j/open/";

/// Prefix of the finished and cancelled jobs.
pub const FINAL_JOBS: &str = "j/over/";

/// An unfinished job.
pub fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// A finished or cancelled job.
pub fn final_job(id: &str) -> String {
    format!("{FINAL_JOBS}{id}")
}

/// Prefix of what says who runs a shard.
pub fn leader_prefix() -> String {
    format!("o/{SHARD}/")
}

/// The shard's leadership record, attached to its leader's lease.
pub fn leader() -> String {
    format!("o/{SHARD}/owner")
}

/// That a controller may keep workers which the leader can't hear. It stands
/// beside the leadership record, so that one read tells of both.
pub fn delegate(node_id: &str) -> String {
    format!("o/{SHARD}/keep/{node_id}")
}

/// Prefix of what delegates say that their workers hold.
pub fn inventory_prefix() -> String {
    format!("k/{SHARD}/")
}

/// One page of what a delegate says that its workers hold.
pub fn inventory(node_id: &str, page: u32) -> String {
    format!("k/{SHARD}/{node_id}/{page:04}")
}

/// The shard's sequence number.
pub fn sequence() -> String {
    format!("s/{SHARD}/seq")
}

/// Prefix of the shard's snapshot.
pub fn snapshot_prefix() -> String {
    format!("s/{SHARD}/snap/")
}

/// One chunk of the shard's snapshot.
pub fn chunk(bucket: usize, part: usize) -> String {
    format!("s/{SHARD}/snap/{bucket:02}/{part:03}")
}

/// Prefix of the machines that may hold tasks.
pub fn roster_prefix() -> String {
    format!("m/{SHARD}/")
}

/// One page of the machines that may hold tasks.
pub fn roster_page(page: u32) -> String {
    format!("m/{SHARD}/{page:04}")
}

/// Prefix of the rentals that are not yet answered.
pub fn rental_prefix() -> String {
    format!("b/{SHARD}/")
}

/// A rental that is not yet answered.
pub fn pending_rental(request: &str) -> String {
    format!("b/{SHARD}/{request}")
}

/// Prefix of what controllers that can't reach the leader say of the workers.
pub fn reachability_prefix() -> String {
    format!("h/{SHARD}/")
}

/// What one controller says of the workers that it hears.
pub fn reachability(node_id: &str) -> String {
    format!("h/{SHARD}/{node_id}")
}
