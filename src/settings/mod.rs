//! What valegap is told at start: the platform's file and the operators' own.

pub mod operator;
pub mod platform;

use std::path::Path;

use thiserror::Error;

pub use operator::Operator;
pub use platform::Platform;

/// Why the process can't start with the settings given.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: can't be read: {why}")]
    Unreadable {
        /// The file.
        file: String,
        /// What the system says.
        why: String,
    },
    /// The file isn't in its format.
    #[error("{file}: {why}")]
    Syntax {
        /// The file.
        file: String,
        /// What is wrong, and where.
        why: String,
    },
    /// A value is out of its range.
    #[error("{file}: field {field}: {why}")]
    Field {
        /// The file.
        file: String,
        /// The field.
        field: String,
        /// What is wrong with it.
        why: String,
    },
}

/// Both files, checked.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The platform's file.
    pub platform: Platform,
    /// The operators' own file.
    pub operator: Operator,
}

impl Settings {
    /// Reads and checks the platform's file and, if given, the operators' file.
    pub fn load(platform: &Path, operator: Option<&Path>) -> Result<Self, SettingsError> {
        let settings = Self {
            platform: Platform::parse(&platform.display().to_string(), &read(platform)?)?,
            operator: match operator {
                Some(path) => Operator::parse(&path.display().to_string(), &read(path)?)?,
                None => Operator::default(),
            },
        };
        Ok(settings)
    }
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        file: path.display().to_string(),
        why: error.to_string(),
    })
}
