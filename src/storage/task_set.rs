//! A set of task numbers, stored as ranges.

/// A growing set of numbers below 100,000, one bit each.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TaskSet {
    words: Vec<u64>,
    len: u32,
}

impl TaskSet {
    /// How many numbers it holds.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether it holds a number.
    pub fn contains(&self, n: u32) -> bool {
        self.words
            .get(n as usize / 64)
            .is_some_and(|word| word >> (n % 64) & 1 == 1)
    }

    /// Adds a number; false if it was there.
    pub fn insert(&mut self, n: u32) -> bool {
        let at = n as usize / 64;
        if at >= self.words.len() {
            self.words.resize(at + 1, 0);
        }
        let bit = 1 << (n % 64);
        let new = self.words[at] & bit == 0;
        self.words[at] |= bit;
        self.len += u32::from(new);
        new
    }

    /// The numbers as inclusive ranges.
    pub fn ranges(&self) -> Vec<(u32, u32)> {
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for (at, &word) in self.words.iter().enumerate() {
            let mut left = word;
            while left != 0 {
                let n = at as u32 * 64 + left.trailing_zeros();
                left &= left - 1;
                match ranges.last_mut() {
                    Some((_, end)) if *end + 1 == n => *end = n,
                    _ => ranges.push((n, n)),
                }
            }
        }
        ranges
    }

    /// Adds ranges written as `0-4,7`; false if the text is not that.
    pub fn read_ranges(&mut self, text: &str, below: u32) -> bool {
        for range in text.split(',').filter(|range| !range.is_empty()) {
            let (from, to) = range.split_once('-').unwrap_or((range, range));
            let (Ok(from), Ok(to)) = (from.parse::<u32>(), to.parse::<u32>()) else {
                return false;
            };
            if to >= below {
                return false;
            }
            for n in from..=to {
                self.insert(n);
            }
        }
        true
    }
}

/// Writes one range as [`TaskSet::read_ranges`] reads it.
pub fn write_range((from, to): (u32, u32)) -> String {
    if from == to {
        from.to_string()
    } else {
        format!("{from}-{to}")
    }
}

#[cfg(test)]
mod tests;
