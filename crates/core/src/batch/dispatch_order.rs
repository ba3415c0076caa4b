//! Order of the groups of a job under a shortage.
//!
//! Load pattern: a job has more waiting items than can start soon. A trainer can only use complete groups, so starting
//! the longest items of all groups first would complete nearly all groups late. Instead, the items of one group are
//! started together, and groups that can no longer be in time never delay groups that can.

use std::cmp::Reverse;

/// What can still become of an incomplete group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GroupState {
    /// The trainer needs it, and it can be complete when the job is due.
    InTime,
    /// The trainer needs it, but it can't be complete when the job is due.
    Late,
    /// It exceeds the number of groups that the trainer waits for.
    Surplus,
}

impl GroupState {
    /// All states, in the order in which groups are served.
    pub const ALL: [Self; 3] = [Self::InTime, Self::Late, Self::Surplus];
}

/// An item that waits to be started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingItem {
    /// Its position in the job.
    pub item: u32,
    /// Its estimated work in slot-seconds.
    pub work_s: f64,
    /// Its class: items of one class can use the same replicas. `None` if no replica has capacity for it.
    pub class: Option<usize>,
}

/// An incomplete group, or an item without a group.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IncompleteGroup {
    /// Whether it is a group; an item without one does not count towards the number that the trainer waits for.
    pub is_group: bool,
    /// Whether the trainer waits for it, whichever others are complete.
    pub is_required: bool,
    /// Whether one of its items was started or listed.
    pub is_started: bool,
    /// Time until its longest unfinished item can be listed, in seconds.
    pub finish_s: f64,
    /// Its items that wait to be started.
    pub waiting: Vec<WaitingItem>,
}

impl IncompleteGroup {
    /// Returns the estimated work of the waiting items in slot-seconds.
    pub fn waiting_s(&self) -> f64 {
        self.waiting.iter().map(|waiting| waiting.work_s).sum()
    }

    /// Removes and returns a waiting item.
    fn take(&mut self, pick: Pick) -> Option<WaitingItem> {
        let order = |(_, one): &(usize, &WaitingItem), (_, other): &(usize, &WaitingItem)| {
            one.work_s.total_cmp(&other.work_s).then(other.item.cmp(&one.item))
        };
        let waiting = self.waiting.iter().enumerate();
        let (position, _) = match pick {
            Pick::Longest => waiting.max_by(order),
            Pick::Shortest => waiting.min_by(order),
        }?;
        Some(self.waiting.swap_remove(position))
    }
}

/// Returns the state of each group of a job. `missing` is the number of groups that must still become complete,
/// `None` if the trainer waits for all; `left_s` is the time until the job is due, in seconds.
///
/// Required and started groups are needed even beyond `missing`. The others are needed in the order of their
/// positions, those that can be in time first, until there are enough. A started group that can't be in time does not
/// count: one straggler must not keep a trainer waiting while another group could be complete before it.
pub fn group_states(groups: &[IncompleteGroup], missing: Option<u64>, left_s: f64) -> Vec<GroupState> {
    let is_fixed = |group: &IncompleteGroup| !group.is_group || group.is_required || group.is_started;
    let is_in_time = |group: &IncompleteGroup| group.finish_s <= left_s;
    let counts = |group: &&IncompleteGroup| group.is_group && (group.is_required || is_in_time(group));
    let fixed = groups.iter().filter(|group| is_fixed(group)).filter(counts).count();
    let mut open = missing.map_or(usize::MAX, |missing| usize::try_from(missing).unwrap_or(usize::MAX));
    open = open.saturating_sub(fixed);
    let needed_state = |group| if is_in_time(group) { GroupState::InTime } else { GroupState::Late };
    let initial = |group| if is_fixed(group) { needed_state(group) } else { GroupState::Surplus };
    let mut states: Vec<GroupState> = groups.iter().map(initial).collect();
    for is_pass_in_time in [true, false] {
        for (group, state) in groups.iter().zip(&mut states) {
            if open > 0 && !is_fixed(group) && is_in_time(group) == is_pass_in_time {
                *state = needed_state(group);
                open -= 1;
            }
        }
    }
    states
}

/// Sorts the groups of a job in the order in which they are served: required ones, started ones, those with the least
/// slack, and then by position.
pub fn sort_groups(groups: &mut [IncompleteGroup]) {
    groups.sort_by(|one, other| {
        let key = |group: &IncompleteGroup| (!group.is_required, !group.is_started);
        key(one).cmp(&key(other)).then(other.finish_s.total_cmp(&one.finish_s))
    });
}

/// Which item of a group is next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// The longest one, which determines when the group is complete.
    Longest,
    /// The shortest one. Suits a slow replica, where a long item would delay its group.
    Shortest,
}

/// The waiting items of a trainer's groups in one state, generated one by one: groups and items are sorted only when
/// their turn comes, because far fewer items can start in one pass than wait.
#[derive(Clone, Debug, Default)]
pub struct Lane {
    /// Jobs that are still to come, in reverse order.
    jobs: Vec<LaneJob>,
}

/// The waiting groups of one job in a lane.
#[derive(Clone, Debug)]
struct LaneJob {
    accepted_at_ms: u64,
    /// Index of the job, as given by the caller.
    job: usize,
    /// Its groups in the order of their positions until they are sorted, and in reverse order of service then.
    groups: Vec<IncompleteGroup>,
    is_sorted: bool,
}

impl Lane {
    /// Adds the groups of a job in the order of their positions. Older jobs are served first.
    pub fn add(&mut self, accepted_at_ms: u64, job: usize, groups: Vec<IncompleteGroup>) {
        self.jobs.push(LaneJob { accepted_at_ms, job, groups, is_sorted: false });
        self.jobs.sort_by_key(|one| Reverse((one.accepted_at_ms, one.job)));
    }

    /// Returns the estimated work of all items, in slot-seconds.
    pub fn work_s(&self) -> f64 {
        self.jobs.iter().flat_map(|job| &job.groups).map(IncompleteGroup::waiting_s).sum()
    }

    /// Removes and returns the next item, with the index of its job.
    pub fn next_item(&mut self, pick: Pick) -> Option<(usize, WaitingItem)> {
        loop {
            let job = self.jobs.last_mut()?;
            job.sort();
            let Some(group) = job.groups.last_mut() else {
                self.jobs.pop();
                continue;
            };
            match group.take(pick) {
                Some(waiting) => return Some((job.job, waiting)),
                None => drop(job.groups.pop()),
            }
        }
    }
}

impl LaneJob {
    /// Sorts the groups, once, in reverse order of service, so that the next one is removed from the end.
    fn sort(&mut self) {
        if self.is_sorted {
            return;
        }
        sort_groups(&mut self.groups);
        self.groups.reverse();
        self.is_sorted = true;
    }
}
