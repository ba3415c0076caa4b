//! Counts the open items of each group of a job.
//!
//! A trainer can only use complete groups, that is, groups whose items are all listed. The counts are derived
//! from the ledger; the caller reports each item once, when it is listed.

use std::collections::HashMap;

use super::ledger::JobState;

/// Item counts of the groups of one job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupTally {
    /// Group number of each item, by the item's position; `None` for an item without a group.
    groups: Vec<Option<usize>>,
    /// Number of items of each group that are not listed yet.
    remaining: Vec<u32>,
    /// Number of items of each group.
    sizes: Vec<u32>,
    names: Vec<String>,
    /// Whether the trainer waits for each group, whichever others are complete.
    required: Vec<bool>,
    complete_groups: usize,
}

/// A group that has become complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteGroup {
    /// Name of the group.
    pub name: String,
    /// Number of complete groups of the job, including this one.
    pub complete_groups: usize,
    /// Number of groups of the job.
    pub groups: usize,
}

impl GroupTally {
    /// Counts the groups of a job from its state in the ledger.
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
                tally.remaining.push(0);
                tally.sizes.push(0);
                tally.required.push(false);
                tally.remaining.len() - 1
            });
            tally.groups.push(Some(number));
            tally.remaining[number] += u32::from(!kept.is_listed);
            tally.sizes[number] += 1;
        }
        tally.complete_groups = tally.remaining.iter().filter(|remaining| **remaining == 0).count();
        tally
    }

    /// Returns the number of an item's group.
    pub(crate) fn group(&self, item: u32) -> Option<usize> {
        *self.groups.get(item as usize)?
    }

    /// Returns the number of items of a group that are not listed yet.
    pub(crate) fn remaining(&self, group: usize) -> u32 {
        self.remaining.get(group).copied().unwrap_or(0)
    }

    /// Returns whether an item of a group is listed.
    pub(crate) fn has_listed(&self, group: usize) -> bool {
        self.sizes.get(group).is_some_and(|size| self.remaining(group) < *size)
    }

    /// Returns the number of complete groups.
    pub(crate) const fn complete_groups(&self) -> usize {
        self.complete_groups
    }

    /// Marks a group as one that the trainer waits for, whichever others are complete.
    pub fn mark_required(&mut self, group: usize) {
        if let Some(is_required) = self.required.get_mut(group) {
            *is_required = true;
        }
    }

    /// Returns whether the trainer waits for a group, whichever others are complete.
    pub fn is_required(&self, group: usize) -> bool {
        self.required.get(group).copied().unwrap_or(false)
    }

    /// Returns the number of groups.
    pub(crate) fn groups(&self) -> usize {
        self.remaining.len()
    }

    /// Counts an item that was listed and returns its group if that is now complete. Must be called once per
    /// item.
    pub(crate) fn listed(&mut self, item: u32) -> Option<CompleteGroup> {
        let group = self.group(item)?;
        let remaining = self.remaining.get_mut(group).filter(|remaining| **remaining > 0)?;
        *remaining -= 1;
        if *remaining > 0 {
            return None;
        }
        self.complete_groups += 1;
        Some(CompleteGroup {
            name: self.names[group].clone(),
            complete_groups: self.complete_groups,
            groups: self.groups(),
        })
    }
}
