//! Renewal of worker leases by controllers other than the leader.
//!
//! In a network partition the leader may miss the heartbeats of workers that still reach
//! another controller. The leader then delegates the renewal of these workers' leases to that
//! controller, the delegate. The delegate answers the heartbeats with the leader's fencing
//! token, so that the workers' tasks keep running, and stops only tasks of finished jobs. In
//! addition, an advance delegation lets a controller answer heartbeats for a limited time while
//! it can't reach the store.
//!
//! While another controller may renew leases, the leader treats no worker's lease as expired.
//! Whenever a delegation has ended, every lease counts as renewed at that moment, since the
//! delegate may have answered heartbeats until then.
//!
//! A delegate keeps a worker's agent epoch and fencing token as they are, so a launch that the partition
//! holds back stays effective. The leader records those whose attempts are to be stopped
//! (`revoked_launches`), and the delegate makes them ineffective.
//!
//! [`Delegations`] owns the state of the delegations; the other modules connect it to
//! the shard. The peering code determines which controllers are unreachable and calls these
//! functions; this module does no I/O.

mod grants;
mod inventories;
mod revoked_launches;
mod table;

pub(in crate::coordination::shard) use table::{AdvanceRenewals, Delegations};

#[cfg(test)]
mod tests;
