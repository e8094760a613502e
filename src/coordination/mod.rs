//! Who owns what, and what an owner does with it.

pub mod answering;
pub mod awareness;
pub mod drift;
pub mod io;
pub mod lease;
pub mod loading;
pub mod node;
pub mod ownership;
pub mod peering;
pub mod requests;
pub mod shard;
pub mod standing;

#[cfg(test)]
mod tests;
