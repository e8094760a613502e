//! The state machine on a fake clock, with scripted peers and in a random
//! world.

mod random;
mod scripted;
mod world;
