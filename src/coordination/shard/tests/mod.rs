//! The shard's state machine on a fake clock: with scripted events, one failure at a
//! time, and in a simulated cluster with random faults ([`simulation`]).

mod failures;
mod fixtures;
mod gang_troubles;
mod gangs;
mod guests;
mod idle;
mod late_machines;
mod limits;
mod meetings;
mod random;
mod scale;
mod script;
mod scripted;
mod simulation;
mod standstill;
mod zones;
