//! Set of indices, such as those of the units of a step.

use std::ops::Range;

/// Number of indices in one word of a set.
pub(crate) const WORD_BITS: u32 = u64::BITS;

/// Set of indices, with one bit each.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct TaskSet {
    words: Vec<u64>,
    count: u32,
}

impl TaskSet {
    /// Returns the number of indices in the set.
    pub(crate) fn len(&self) -> u32 {
        self.count
    }

    pub(crate) fn contains(&self, index: u32) -> bool {
        self.word(index / WORD_BITS) & (1 << (index % WORD_BITS)) != 0
    }

    pub(crate) fn insert(&mut self, index: u32) {
        let word = index / WORD_BITS;
        self.set_word(word, self.word(word) | (1 << (index % WORD_BITS)));
    }

    /// Returns the words of the set up to the last one that is not zero.
    pub(crate) fn into_words(self) -> Vec<u64> {
        self.words
    }

    /// Returns the bits of the indices from `index * WORD_BITS` on.
    pub(crate) fn word(&self, index: u32) -> u64 {
        self.words.get(index as usize).copied().unwrap_or(0)
    }

    pub(crate) fn set_word(&mut self, index: u32, bits: u64) {
        let index = index as usize;
        if self.words.len() <= index {
            if bits == 0 {
                return;
            }
            self.words.resize(index + 1, 0);
        }
        let before = std::mem::replace(&mut self.words[index], bits);
        self.count = self.count + bits.count_ones() - before.count_ones();
    }

    /// Returns the indices below `end` that are not in the set, as ranges in ascending order.
    pub(crate) fn absent_ranges(&self, end: u32) -> AbsentRanges<'_> {
        AbsentRanges {
            set: self,
            next: 0,
            end,
        }
    }

    /// Returns the first index from `from` on whose membership is `is_member`, `end` at most.
    fn find(&self, from: u32, end: u32, is_member: bool) -> u32 {
        let mut index = from;
        while index < end {
            let word = self.word(index / WORD_BITS);
            let wanted = if is_member { word } else { !word };
            let rest = wanted >> (index % WORD_BITS);
            if rest != 0 {
                return (index + rest.trailing_zeros()).min(end);
            }
            index = (index / WORD_BITS + 1) * WORD_BITS;
        }
        end
    }
}

/// Iterator of [`TaskSet::absent_ranges`].
pub(crate) struct AbsentRanges<'a> {
    set: &'a TaskSet,
    next: u32,
    end: u32,
}

impl Iterator for AbsentRanges<'_> {
    type Item = Range<u32>;

    fn next(&mut self) -> Option<Range<u32>> {
        let start = self.set.find(self.next, self.end, false);
        if start >= self.end {
            return None;
        }
        self.next = self.set.find(start, self.end, true);
        Some(start..self.next)
    }
}
