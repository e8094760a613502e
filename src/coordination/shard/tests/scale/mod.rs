//! Tests of large clusters. They count operations instead of measuring time, so that their results
//! do not depend on the speed of the computer.

mod cluster;
mod fleet;
mod records;
