//! The state machine on a fake clock, with scripted peers and in a random
//! world.

mod failures;
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
mod standstill;
mod world;
mod zones;
