//! Set of occurrences of a job.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::Occurrence;

/// Set of occurrences, kept as ranges. Occurrences finish nearly in order, so there are few ranges however often a job
/// recurs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OccurrenceSet {
    /// End (exclusive) of each range, by its start. The ranges neither overlap nor touch.
    ranges: BTreeMap<Occurrence, Occurrence>,
}

impl OccurrenceSet {
    /// Returns whether the set is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns the number of ranges.
    #[must_use]
    pub fn range_count(&self) -> usize {
        self.ranges.len()
    }

    /// Returns whether the set contains `occurrence`.
    #[must_use]
    pub fn contains(&self, occurrence: Occurrence) -> bool {
        self.range_with(occurrence).is_some()
    }

    /// Returns the first occurrence from `from` on that is not in the set.
    #[must_use]
    pub fn first_absent(&self, from: Occurrence) -> Occurrence {
        self.range_with(from).map_or(from, |(_, end)| end)
    }

    /// Adds an occurrence.
    pub fn insert(&mut self, occurrence: Occurrence) {
        if self.contains(occurrence) {
            return;
        }
        let mut start = occurrence;
        let mut end = occurrence.saturating_add(1);
        if let Some((before, _)) = occurrence
            .checked_sub(1)
            .and_then(|before| self.range_with(before))
        {
            start = before;
        }
        if let Some(after) = self.ranges.remove(&end) {
            end = after;
        }
        self.ranges.insert(start, end);
    }

    /// Returns the end (exclusive) of the last range; 0 for an empty set.
    #[must_use]
    pub fn end(&self) -> Occurrence {
        self.ranges.last_key_value().map_or(0, |(_, end)| *end)
    }

    /// Returns the range that contains `occurrence`, as start and end (exclusive).
    fn range_with(&self, occurrence: Occurrence) -> Option<(Occurrence, Occurrence)> {
        let (start, end) = self.ranges.range(..=occurrence).next_back()?;
        (occurrence < *end).then_some((*start, *end))
    }
}

impl Serialize for OccurrenceSet {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(&self.ranges)
    }
}

impl<'de> Deserialize<'de> for OccurrenceSet {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let rows = Vec::<(Occurrence, Occurrence)>::deserialize(deserializer)?;
        let mut ranges = BTreeMap::new();
        let mut previous_end = None;
        for (start, end) in rows {
            if start >= end || previous_end.is_some_and(|previous| start <= previous) {
                return Err(serde::de::Error::custom("the ranges are not in order"));
            }
            previous_end = Some(end);
            ranges.insert(start, end);
        }
        Ok(Self { ranges })
    }
}
