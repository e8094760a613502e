//! Logging to standard error, with the level taken from `LOG_LEVEL`, and what
//! the processor's time goes into.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use tracing_subscriber::filter::{LevelFilter, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Installs the subscriber; an unknown or missing level means `info`.
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
    // Libraries speak only of what goes wrong.
    let filter = Targets::new()
        .with_default(level.min(LevelFilter::WARN))
        .with_target(env!("CARGO_CRATE_NAME"), level);
    // A second subscriber can only be installed by a test; the first one stays.
    let _ = tracing_subscriber::registry()
        .with(lines)
        .with(filter)
        .try_init();
}

/// Time spent in each activity since the start.
#[derive(Debug, Default)]
pub struct Activities(BTreeMap<&'static str, (u64, Duration)>);

impl Activities {
    /// Notes that an activity took so long.
    pub fn note(&mut self, activity: &'static str, took: Duration) {
        let (count, total) = self.0.entry(activity).or_default();
        *count += 1;
        *total += took;
    }
}

impl fmt::Display for Activities {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, (activity, (count, total))) in self.0.iter().enumerate() {
            let comma = if at > 0 { ", " } else { "" };
            let millis = total.as_millis();
            write!(f, "{comma}{activity} {count} in {millis} ms")?;
        }
        Ok(())
    }
}
