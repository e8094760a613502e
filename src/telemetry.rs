//! Logging to standard error, and counters of the time spent on each activity.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Installs the log subscriber. Its level is the value of the environment variable `LOG_LEVEL`, or
/// `info` if the variable is missing or has an unknown value.
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
    // From libraries only warnings and errors are logged.
    let filter = Targets::new()
        .with_default(level.min(LevelFilter::WARN))
        .with_target(env!("CARGO_CRATE_NAME"), level);
    // Only tests call this more than once in a process. The first subscriber stays installed, so
    // the error is ignored.
    let _ = tracing_subscriber::registry()
        .with(lines)
        .with(filter)
        .try_init();
}

/// The number of executions of an activity, and the total time that they took.
#[derive(Debug, Default)]
struct ActivityTotal {
    count: u64,
    total_time: Duration,
}

/// The totals of each activity since this value was created, for display to operators.
#[derive(Debug, Default)]
pub struct Activities(BTreeMap<&'static str, ActivityTotal>);

impl Activities {
    /// Adds one execution of an activity and the time that it took.
    pub fn record(&mut self, activity: &'static str, elapsed: Duration) {
        let total = self.0.entry(activity).or_default();
        total.count += 1;
        total.total_time += elapsed;
    }
}

impl fmt::Display for Activities {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (activity, ActivityTotal { count, total_time })) in self.0.iter().enumerate() {
            let comma = if index > 0 { ", " } else { "" };
            let millis = total_time.as_millis();
            write!(f, "{comma}{activity} {count} in {millis} ms")?;
        }
        Ok(())
    }
}
