//! Who owns what, and what an owner does with it.

pub mod advance_delegation;
pub mod answering;
pub mod cancellation_knowledge;
pub mod drift;
pub mod io;
pub mod lease;
pub mod loading;
pub mod node;
pub mod ownership;
pub mod peering;
pub mod requests;
pub mod shard;

#[cfg(test)]
mod tests;
