//! Logging to standard error, with the level taken from `LOG_LEVEL`.

use tracing_subscriber::filter::LevelFilter;

/// Installs the subscriber; an unknown or missing level means `info`.
pub fn init() {
    let level = std::env::var("LOG_LEVEL")
        .ok()
        .and_then(|text| text.parse::<LevelFilter>().ok())
        .unwrap_or(LevelFilter::INFO);
    // A second subscriber can only be installed by a test; the first one stays.
    let _ = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .try_init();
}
