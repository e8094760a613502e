//! Large clusters. Work is counted, not timed, so that the results do not depend on the machine.

mod cluster;
mod fleet;
mod records;
