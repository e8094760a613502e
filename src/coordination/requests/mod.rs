//! User requests: submitting a job, querying its state and cancelling it.
//!
//! The [`crate::api`] layer decodes requests and encodes the responses. Every controller answers
//! users, either from the key-value store or, while the store doesn't serve it, through a peer
//! (`routing`). That a job is finished is answered only once the store has committed its final
//! record; that it was never accepted, only from a linearizable read of the store. The task counts
//! of an unfinished job come from the leader's memory and are for display only. The shard is
//! notified of accepted and cancelled jobs, but no request waits for the shard.

mod admission;
mod cancellation;
mod forwarding;
mod kv_access;
mod request;
mod response;
mod routing;
mod status_query;
mod submission;

pub use request::{RequestOrigin, UserRequest};
pub use response::UserResponse;
pub use routing::answer;
