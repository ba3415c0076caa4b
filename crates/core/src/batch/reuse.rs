//! Decides what a new job can use of the texts and scores of earlier jobs.
//!
//! A trainer submits the groups that were incomplete at the end of a job again, under the same item ids. The
//! log retains ended jobs for a while, so that their texts need not be generated and scored again.
//!
//! Invariants: only the same request of the same tenant, route and host is used; the versions of a result are
//! exactly those that generated its text; no text contains a version below the new job's minimum.

use super::job::{BatchItem, ItemResult, OutputEvent};
use super::ledger::{ItemState, JobState, Ledger};

/// What is known of an item of an earlier job.
#[derive(Clone, Copy, Debug)]
pub(super) struct EarlierItem<'a> {
    /// The item as submitted then.
    item: &'a BatchItem,
    state: &'a ItemState,
    /// Its result, if it is listed.
    result: Option<&'a ItemResult>,
    accepted_at_ms: u64,
}

/// Requirements of the new job on the versions of a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct VersionRule {
    /// The oldest version allowed.
    pub(super) min_version: u64,
    /// Whether one version must generate the whole text.
    pub(super) needs_single_version: bool,
}

impl VersionRule {
    /// Returns whether a text may consist of events of these versions.
    fn allows(self, mut versions: impl Iterator<Item = u64>) -> bool {
        let Some(first) = versions.next() else { return true };
        let is_allowed = |version| version >= self.min_version;
        is_allowed(first)
            && versions.all(|version| is_allowed(version) && (!self.needs_single_version || version == first))
    }
}

/// How an item of a new job uses the state of an earlier one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Reuse {
    /// The result is listed at once.
    Listed(ItemResult),
    /// The text is complete and goes to scoring.
    Generated(Vec<OutputEvent>),
    /// The text continues after these events.
    Partial(Vec<OutputEvent>),
}

impl Reuse {
    /// Orders the kinds by the work that they save.
    fn rank(&self) -> (u8, usize) {
        match self {
            Self::Listed(_) => (2, 0),
            Self::Generated(_) => (1, 0),
            Self::Partial(events) => (0, events.len()),
        }
    }
}

/// Returns the states of an item's request in the jobs accepted before `job`.
pub(super) fn earlier_items<'a>(
    ledger: &'a Ledger,
    job: &'a JobState,
    item: &'a BatchItem,
) -> impl Iterator<Item = EarlierItem<'a>> {
    let jobs = ledger.item_index().jobs(item).filter_map(|batch| ledger.job(batch));
    jobs.filter(|earlier| is_before(earlier, job) && has_same_target(earlier, job))
        .filter_map(|earlier| earlier_item(earlier, item))
        .filter(|earlier| is_same_request(earlier.item, item))
}

fn is_before(earlier: &JobState, job: &JobState) -> bool {
    (earlier.accepted_at_ms, &earlier.job.id) < (job.accepted_at_ms, &job.job.id)
}

fn has_same_target(earlier: &JobState, job: &JobState) -> bool {
    let (earlier, job) = (&earlier.job, &job.job);
    (&earlier.tenant, &earlier.route, &earlier.host) == (&job.tenant, &job.route, &job.host)
}

fn is_same_request(earlier: &BatchItem, item: &BatchItem) -> bool {
    (&earlier.path, &earlier.model, &earlier.body) == (&item.path, &item.model, &item.body)
}

fn earlier_item<'a>(job: &'a JobState, item: &BatchItem) -> Option<EarlierItem<'a>> {
    let position = *job.positions.get(&item.id)?;
    let state = job.items.get(position as usize)?;
    let listed = || job.results.iter().find(|result| result.item == position);
    Some(EarlierItem {
        item: job.job.items.get(position as usize)?,
        state,
        result: state.is_listed.then(listed).flatten(),
        accepted_at_ms: job.accepted_at_ms,
    })
}

/// Chooses the earlier state that saves the most work; among equals, that of the latest job.
pub(super) fn choose<'a>(
    position: u32,
    item: &BatchItem,
    earlier: impl Iterator<Item = EarlierItem<'a>>,
    rule: VersionRule,
) -> Option<Reuse> {
    let usable = earlier.filter_map(|earlier| {
        let reuse = decide(position, item, &earlier, rule)?;
        Some((reuse.rank(), earlier.accepted_at_ms, reuse))
    });
    usable.max_by_key(|(rank, accepted_at_ms, _)| (*rank, *accepted_at_ms)).map(|(_, _, reuse)| reuse)
}

/// Decides how the item at `position` of a new job uses one earlier state. Returns `None` if it starts anew.
fn decide(position: u32, item: &BatchItem, earlier: &EarlierItem<'_>, rule: VersionRule) -> Option<Reuse> {
    // The texts of outlined events have not been read yet.
    if earlier.state.is_outlined {
        return None;
    }
    if earlier.state.is_listed {
        return decide_listed(position, item, earlier, rule);
    }
    let events = &earlier.state.events;
    if !rule.allows(events.iter().map(|event| event.version)) {
        return None;
    }
    match (earlier.state.is_generated, &item.scorer) {
        (true, Some(_)) => Some(Reuse::Generated(events.clone())),
        (true, None) => Some(Reuse::Listed(ItemResult::complete(position, events, None))),
        (false, _) => Some(events.clone()).filter(|events| !events.is_empty()).map(Reuse::Partial),
    }
}

fn decide_listed(
    position: u32,
    item: &BatchItem,
    earlier: &EarlierItem<'_>,
    rule: VersionRule,
) -> Option<Reuse> {
    let result = earlier.result.filter(|result| result.is_complete)?;
    if !rule.allows(result.versions.iter().copied()) {
        return None;
    }
    // The signature of an answer belongs to one score request.
    let score = match &item.scorer {
        None => None,
        Some(request) => match &result.score {
            Some(score) if earlier.item.scorer.as_ref() == Some(request) => Some(score.clone()),
            _ => return equivalent_events(result).map(Reuse::Generated),
        },
    };
    Some(Reuse::Listed(ItemResult { item: position, score, ..result.clone() }))
}

/// Returns events with the text and versions of a result whose own events are no longer known. With several
/// versions it is unknown which one generated which part of the text.
fn equivalent_events(result: &ItemResult) -> Option<Vec<OutputEvent>> {
    match result.versions[..] {
        [version] => Some(vec![OutputEvent { number: 0, version, data: result.text.clone() }]),
        _ => None,
    }
}
