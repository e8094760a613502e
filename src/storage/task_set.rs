//! A set of task indices: a bitmap in memory, and a list of ranges in the store.

use std::iter::successors;
use std::ops::RangeInclusive;

use thiserror::Error;

const WORD_BITS: u32 = u64::BITS;

/// A set of task indices, with one bit for each index.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    len: u32,
}

/// Why a text is not a list of ranges of task indices.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RangeError {
    /// A part of the text is neither an index nor a range of two indices.
    #[error("{range:?} is not a range of task indices")]
    Malformed {
        /// The invalid part.
        range: String,
    },
    /// A range ends above the largest index.
    #[error("{range:?} exceeds the largest task index, {max}")]
    TooLarge {
        /// The range.
        range: String,
        /// The largest index.
        max: u32,
    },
}

impl TaskSet {
    /// How many indices the set contains.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Whether the set contains no index.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether the set contains this index.
    pub fn contains(&self, index: u32) -> bool {
        self.words
            .get((index / WORD_BITS) as usize)
            .is_some_and(|word| word >> (index % WORD_BITS) & 1 == 1)
    }

    /// Adds an index; returns false if the set already contained it.
    pub fn insert(&mut self, index: u32) -> bool {
        let word = (index / WORD_BITS) as usize;
        if word >= self.words.len() {
            self.words.resize(word + 1, 0);
        }
        let bit = 1 << (index % WORD_BITS);
        let is_new = self.words[word] & bit == 0;
        self.words[word] |= bit;
        self.len += u32::from(is_new);
        is_new
    }

    /// The indices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        let words = (0_u32..).zip(&self.words);
        words.flat_map(|(number, &word)| set_bits(word).map(move |bit| number * WORD_BITS + bit))
    }

    /// The indices as maximal ranges of consecutive indices, in ascending order.
    pub fn ranges(&self) -> Vec<RangeInclusive<u32>> {
        let mut ranges: Vec<RangeInclusive<u32>> = Vec::new();
        for index in self.iter() {
            match ranges.last_mut() {
                Some(last) if *last.end() + 1 == index => *last = *last.start()..=index,
                _ => ranges.push(index..=index),
            }
        }
        ranges
    }

    /// Adds ranges written as `0-4,7`, in which all indices have to be below `limit`. On an error,
    /// the ranges before the invalid one have been added.
    pub fn insert_ranges(&mut self, text: &str, limit: u32) -> Result<(), RangeError> {
        for range in text.split(',').filter(|range| !range.is_empty()) {
            let (first, last) = range.split_once('-').unwrap_or((range, range));
            let (Ok(first), Ok(last)) = (first.parse::<u32>(), last.parse::<u32>()) else {
                return Err(RangeError::Malformed {
                    range: range.to_owned(),
                });
            };
            if last >= limit {
                return Err(RangeError::TooLarge {
                    range: range.to_owned(),
                    max: limit.saturating_sub(1),
                });
            }
            for index in first..=last {
                self.insert(index);
            }
        }
        Ok(())
    }
}

/// The positions of the set bits of a word, in ascending order.
fn set_bits(word: u64) -> impl Iterator<Item = u32> {
    let without_lowest_bit = |rest: &u64| Some(rest & (rest - 1)).filter(|rest| *rest != 0);
    let remaining_words = successors(Some(word).filter(|word| *word != 0), without_lowest_bit);
    remaining_words.map(u64::trailing_zeros)
}

/// Formats a range in the notation that [`TaskSet::insert_ranges`] reads.
pub fn format_range(range: &RangeInclusive<u32>) -> String {
    let (first, last) = (range.start(), range.end());
    if first == last {
        first.to_string()
    } else {
        format!("{first}-{last}")
    }
}

#[cfg(test)]
mod tests;
