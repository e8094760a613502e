//! Logging to standard error, and the processor time of each activity.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Installs the subscriber with the level of `LOG_LEVEL`; an unknown or missing one means `info`.
pub fn init() {
    let level = std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|text| text.parse::<LevelFilter>().ok())
        .unwrap_or(LevelFilter::INFO);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time();
    // Of libraries, only warnings and errors are logged.
    let filter = Targets::new()
        .with_default(level.min(LevelFilter::WARN))
        .with_target(env!("CARGO_CRATE_NAME"), level);
    // Only tests call this twice in a process; the first subscriber stays.
    let _ = tracing_subscriber::registry()
        .with(lines)
        .with(filter)
        .try_init();
}

/// How often an activity took place, and its time altogether.
#[derive(Debug, Default)]
struct ActivityTotal {
    count: u64,
    time: Duration,
}

/// The totals of each activity since the start, for display to operators.
#[derive(Debug, Default)]
pub struct Activities(BTreeMap<&'static str, ActivityTotal>);

impl Activities {
    /// Adds one execution of an activity, which took so long.
    pub fn note(&mut self, activity: &'static str, took: Duration) {
        let total = self.0.entry(activity).or_default();
        total.count += 1;
        total.time += took;
    }
}

impl fmt::Display for Activities {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (activity, ActivityTotal { count, time })) in self.0.iter().enumerate() {
            let comma = if index > 0 { ", " } else { "" };
            let millis = time.as_millis();
            write!(f, "{comma}{activity} {count} in {millis} ms")?;
        }
        Ok(())
    }
}
