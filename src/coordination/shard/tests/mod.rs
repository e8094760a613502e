//! The state machine on a fake clock, with scripted peers and in a random
//! world.

mod gangs;
mod limits;
mod meetings;
mod random;
mod script;
mod scripted;
mod world;
mod zones;
