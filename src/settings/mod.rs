//! The settings of the process: the platform's file and the operators' file.
//!
//! Both files are read and validated once, when the process starts, and the values are passed to
//! the components. A running process never reads the files again.

pub mod operator;
pub mod platform;

use std::fmt;
use std::path::Path;

use thiserror::Error;

pub use operator::Operator;
pub use platform::Platform;

/// Why the settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A settings file can't be read.
    #[error("{file}: can't be read: {source}")]
    Unreadable {
        /// The file.
        file: String,
        /// The error of the operating system.
        #[source]
        source: std::io::Error,
    },
    /// The platform's file is not valid JSON or doesn't have the expected structure.
    #[error("{file}: {source}")]
    Json {
        /// The file.
        file: String,
        /// What is wrong, with the line and column.
        #[source]
        source: serde_json::Error,
    },
    /// The operators' file is not a valid S-expression or doesn't have the expected structure.
    #[error("{file}: {location}{source}")]
    SExpression {
        /// The file.
        file: String,
        /// The position of the error in the file.
        location: Location,
        /// What is wrong.
        #[source]
        source: serde_lexpr::Error,
    },
    /// A field has a value that is not allowed.
    #[error("{file}: field {field}: {why}")]
    Field {
        /// The file.
        file: String,
        /// The name of the field as in the file.
        field: String,
        /// The requirement that the value doesn't meet.
        why: String,
    },
}

/// A position in a file. It is displayed as the prefix of a message, and as nothing if the position
/// is unknown.
#[derive(Debug, Clone, Copy, Default)]
pub struct Location(Option<LineColumn>);

#[derive(Debug, Clone, Copy)]
struct LineColumn {
    line: usize,
    column: usize,
}

impl From<&serde_lexpr::Error> for Location {
    fn from(error: &serde_lexpr::Error) -> Self {
        Self(error.location().map(|location| LineColumn {
            line: location.line(),
            column: location.column(),
        }))
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(LineColumn { line, column }) => write!(f, "line {line}, column {column}: "),
            None => Ok(()),
        }
    }
}

/// The validated settings from both files.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The settings from the platform's file.
    pub platform: Platform,
    /// The settings from the operators' file, or the defaults if no file was given.
    pub operator: Operator,
}

impl Settings {
    /// Reads and validates the platform's file and, if given, the operators' file.
    pub fn load(platform: &Path, operator: Option<&Path>) -> Result<Self, SettingsError> {
        Ok(Self {
            platform: Platform::parse(&platform.display().to_string(), &read_file(platform)?)?,
            operator: match operator {
                Some(path) => Operator::parse(&path.display().to_string(), &read_file(path)?)?,
                None => Operator::default(),
            },
        })
    }
}

fn read_file(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        file: path.display().to_string(),
        source,
    })
}
