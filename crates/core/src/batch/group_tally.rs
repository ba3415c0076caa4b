//! How much is left of each group of a job's items.
//!
//! A trainer is served by whole groups: a group counts once every item of it is listed.
//! Owns the counts of one job, which follow from its ledger; relies on its caller to note each item once, when it is listed.

use std::collections::HashMap;

use super::ledger::JobState;

/// The groups of one job, by number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupTally {
    /// The number of each item's group, by the item's position; none for an item without a group.
    groups: Vec<Option<usize>>,
    /// Items of each group that are not listed yet.
    left: Vec<u32>,
    names: Vec<String>,
    whole: usize,
}

/// A group that became whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteGroup {
    /// The group.
    pub name: String,
    /// Whole groups of the job so far, this one included.
    pub whole: usize,
    /// Groups of the job.
    pub groups: usize,
}

impl GroupTally {
    /// The groups of a job as its ledger stands.
    pub(crate) fn of(state: &JobState) -> Self {
        let mut tally = Self::default();
        let mut numbers: HashMap<&str, usize> = HashMap::new();
        for (item, kept) in state.job.items.iter().zip(&state.items) {
            let Some(name) = item.group.as_deref() else {
                tally.groups.push(None);
                continue;
            };
            let number = *numbers.entry(name).or_insert_with(|| {
                tally.names.push(name.to_owned());
                tally.left.push(0);
                tally.left.len() - 1
            });
            tally.groups.push(Some(number));
            tally.left[number] += u32::from(!kept.is_listed);
        }
        tally.whole = tally.left.iter().filter(|left| **left == 0).count();
        tally
    }

    /// The number of an item's group.
    pub(crate) fn group(&self, item: u32) -> Option<usize> {
        *self.groups.get(item as usize)?
    }

    /// Items of a group that are not listed yet.
    pub(crate) fn left(&self, group: usize) -> u32 {
        self.left.get(group).copied().unwrap_or(0)
    }

    /// How many groups there are.
    pub(crate) fn groups(&self) -> usize {
        self.left.len()
    }

    /// An item was listed; the group that this makes whole. To be called once for each item.
    pub(crate) fn listed(&mut self, item: u32) -> Option<CompleteGroup> {
        let group = self.group(item)?;
        let left = self.left.get_mut(group).filter(|left| **left > 0)?;
        *left -= 1;
        if *left > 0 {
            return None;
        }
        self.whole += 1;
        Some(CompleteGroup { name: self.names[group].clone(), whole: self.whole, groups: self.groups() })
    }
}
