//! Logging to standard error, with the level taken from `LOG_LEVEL`.

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
