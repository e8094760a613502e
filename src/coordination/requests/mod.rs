//! Requests of users: submitting a job, querying its state and cancelling it.
//!
//! The [`crate::api`] layer passes in a request and writes out the response. Any controller
//! answers: from the key-value store or, while the store doesn't serve it, through a peer
//! (`routing`). A final state, and that a job was never accepted, are answered only from a
//! linearizable read of the store; the counts of an unfinished job's tasks come from the leader's
//! memory and are for display. The shard is notified of accepted and cancelled jobs, and is never
//! waited for.

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
