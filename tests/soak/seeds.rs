//! The seeds to play.

use std::num::ParseIntError;

use thiserror::Error;

/// The environment variable that names the seeds to play: `FIRST..END`.
pub(crate) const SEEDS_VARIABLE: &str = "VALEGAP_SOAK_SEEDS";

/// The seeds from `first` to the one before `end`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SeedRange {
    pub(crate) first: u64,
    pub(crate) end: u64,
}

#[derive(Debug, PartialEq, Eq, Error)]
pub(crate) enum SeedRangeError {
    #[error("{SEEDS_VARIABLE}={0}: not of the form FIRST..END")]
    NoRange(String),
    #[error("{SEEDS_VARIABLE}={text}: {source}")]
    NoNumber { text: String, source: ParseIntError },
    #[error("{SEEDS_VARIABLE}={0}: contains no seed")]
    Empty(String),
}

impl SeedRange {
    pub(crate) fn parse(text: &str) -> Result<Self, SeedRangeError> {
        let number = |part: &str| {
            part.parse().map_err(|source| SeedRangeError::NoNumber {
                text: text.to_owned(),
                source,
            })
        };
        let Some((first, end)) = text.split_once("..") else {
            return Err(SeedRangeError::NoRange(text.to_owned()));
        };
        let range = Self {
            first: number(first)?,
            end: number(end)?,
        };
        if range.first >= range.end {
            return Err(SeedRangeError::Empty(text.to_owned()));
        }
        Ok(range)
    }

    pub(crate) fn iter(self) -> impl Iterator<Item = u64> {
        self.first..self.end
    }
}

#[test]
fn a_malformed_seed_range_is_refused_with_a_message() {
    assert_eq!(SeedRange::parse("3..9"), Ok(SeedRange { first: 3, end: 9 }));
    for text in [
        "", "7", "a..9", "3..b", "-1..4", "3..", "9..9", "9..3", "1..2..3",
    ] {
        let error = SeedRange::parse(text).expect_err(text);
        assert!(error.to_string().contains(SEEDS_VARIABLE), "{error}");
    }
}
