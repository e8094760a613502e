//! The settings that the process starts with: the platform's file and the operators' own.
//!
//! Both are read once, checked, and passed down; a running process never reads them again.

pub mod operator;
pub mod platform;

use std::fmt;
use std::path::Path;

use thiserror::Error;

pub use operator::Operator;
pub use platform::Platform;

/// Why the process can't start with the settings given.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A file can't be read.
    #[error("{file}: can't be read: {source}")]
    Unreadable {
        /// The file.
        file: String,
        /// What the operating system says.
        #[source]
        source: std::io::Error,
    },
    /// The platform's file is not the JSON that is expected.
    #[error("{file}: {source}")]
    Json {
        /// The file.
        file: String,
        /// What is wrong, and where.
        #[source]
        source: serde_json::Error,
    },
    /// The operators' file is not the S-expression that is expected.
    #[error("{file}: {location}{source}")]
    SExpression {
        /// The file.
        file: String,
        /// Where it is wrong.
        location: Location,
        /// What is wrong.
        #[source]
        source: serde_lexpr::Error,
    },
    /// A value is not allowed.
    #[error("{file}: field {field}: {why}")]
    Field {
        /// The file.
        file: String,
        /// The field.
        field: String,
        /// What the value has to be.
        why: String,
    },
}

/// A place in a file, to precede a message; nothing if it isn't known.
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

/// Both files, checked.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The platform's file.
    pub platform: Platform,
    /// The operators' own file, or its defaults.
    pub operator: Operator,
}

impl Settings {
    /// Reads and checks the platform's file and, if given, the operators' file.
    pub fn load(platform: &Path, operator: Option<&Path>) -> Result<Self, SettingsError> {
        Ok(Self {
            platform: Platform::parse(&platform.display().to_string(), &read(platform)?)?,
            operator: match operator {
                Some(path) => Operator::parse(&path.display().to_string(), &read(path)?)?,
                None => Operator::default(),
            },
        })
    }
}

fn read(path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        file: path.display().to_string(),
        source,
    })
}
