//! A replica's side of changing the replica set: seal, hand out pages, take pages, install.
//!
//! Owns nothing: it works on the group record and the storage that the acceptor hands it.

use super::acceptor::AcceptorChecks;
use super::claims;
use super::entry::{IndexedEntry, LogIndex};
use super::group::{AcceptedRange, CopyProgress, GroupPhase, GroupRecord, LogPosition, SourceProgress};
use super::message::{
    CopiedSource, CopyPage, Install, InstallBasis, PagePosition, ReplicaAnswer, StatePage, StoreRefusal,
    TransferId,
};
use super::replica_set::{ReplicaSet, StoreId};
use super::storage::ShardStorage;
use crate::identity::ShardId;

/// Bytes of log entries in a page; one larger entry makes a page of its own. Chosen, not measured. On a grown
/// deployment small requests behind such pages waited 460 ms in place of 4 ms: larger pages hold up what
/// waits behind them for longer, smaller ones cost more round trips.
pub(super) const PAGE_BYTES: usize = 1 << 20;
/// Claims in a page. Chosen, not measured: too many make an answer outlast the call timeout, too few cost
/// calls.
const PAGE_CLAIMS: usize = 4_096;
/// Copyings of which a member remembers how far they have come. Chosen, not measured: with fewer, copyings
/// that run side by side push each other out and begin again.
const MAX_COPYINGS: usize = 8;

/// Stops the replica in its generation, for good.
pub(super) fn seal<S: ShardStorage>(
    storage: &mut S,
    shard: &ShardId,
    mut record: GroupRecord,
    next: ReplicaSet,
) -> Result<ReplicaAnswer, S::Error> {
    if next.generation != record.set.generation.next() {
        return Ok(ReplicaAnswer::Refused(StoreRefusal::OutOfOrder));
    }
    if record.phase == GroupPhase::Active {
        record.phase = GroupPhase::Sealed { next };
        storage.put_group(shard, &record)?;
    }
    Ok(match record.phase {
        GroupPhase::Sealed { next } => ReplicaAnswer::Sealed { next, position: record.position },
        GroupPhase::Active | GroupPhase::Joining => ReplicaAnswer::Refused(StoreRefusal::NotInstalled),
    })
}

/// Hands out a page of a replica's state: first its log, then its claims.
pub(super) fn read_state<S: ShardStorage>(
    storage: &S,
    shard: &ShardId,
    position: &LogPosition,
    from: PagePosition,
) -> Result<ReplicaAnswer, S::Error> {
    let position = position.clone();
    let page = match &from {
        PagePosition::Entries(first) => {
            let entries = storage.entries_from(shard, *first, PAGE_BYTES)?;
            let after = entries.last().map(|last| PagePosition::Entries(last.index.next()));
            let next = Some(after.unwrap_or(PagePosition::Claims(None)));
            StatePage { position, entries, claims: Vec::new(), next }
        }
        PagePosition::Claims(after) => {
            let claims = storage.claims_after(shard, after.as_ref(), PAGE_CLAIMS)?;
            let next = claims.last().map(|last| PagePosition::Claims(Some(last.request.clone())));
            StatePage { position, entries: Vec::new(), claims, next }
        }
    };
    Ok(ReplicaAnswer::StatePage { from, page })
}

/// Takes a page into a member of the next generation that doesn't take part in it yet.
///
/// Entries of the sealed generation are only added to, and only by others accepted in it under a higher
/// epoch, so a copying that stops halfway leaves a state that can itself be copied from.
pub(super) fn copy<S: ShardStorage>(
    storage: &mut S,
    shard: &ShardId,
    record: Option<GroupRecord>,
    copy: CopyPage,
) -> Result<ReplicaAnswer, S::Error> {
    let mut record = match joining_record(record, &copy.set) {
        Ok(record) => record,
        Err(outcome) => return Ok(*outcome),
    };
    let progress = progress_of(&mut record, &copy.transfer, &copy.source);
    if copy.number > progress.next {
        return Ok(ReplicaAnswer::Refused(StoreRefusal::OutOfOrder));
    }
    if copy.number == progress.next {
        progress.next += 1;
        store_page(storage, shard, &copy.page)?;
    }
    let next = progress.next;
    storage.put_group(shard, &record)?;
    Ok(ReplicaAnswer::Copied { transfer: copy.transfer, source: copy.source, next })
}

/// Makes the member take part in the next generation, if it has every page from a majority of the last one.
pub(super) fn install<S: ShardStorage>(
    storage: &mut S,
    shard: &ShardId,
    store: &StoreId,
    record: Option<GroupRecord>,
    install: Install,
    checks: AcceptorChecks,
) -> Result<ReplicaAnswer, S::Error> {
    let mut record = match joining_record(record, &install.set) {
        Ok(record) => record,
        Err(outcome) => return Ok(*outcome),
    };
    if checks.check_copied && !has_all_pages(&record, store, &install) {
        return Ok(ReplicaAnswer::Refused(StoreRefusal::OutOfOrder));
    }
    let generation = install.set.generation;
    let promised = record.position.promised.clone();
    record.position = record.position.merged(install.position);
    if !checks.carry_promise {
        record.position.promised = promised.clone();
    }
    // What was accepted under a ballot that is still the highest one stays what its owner proposed.
    if record.position.promised != promised {
        record.run = AcceptedRange { from: LogIndex::FIRST, through: LogIndex::ZERO };
    }
    record.set = install.set;
    record.phase = GroupPhase::Active;
    record.copying.clear();
    storage.remove_entries_before(shard, record.position.first())?;
    storage.remove_claims_issued_before(shard, record.position.claims_removed_before_unix_ms)?;
    storage.put_group(shard, &record)?;
    Ok(ReplicaAnswer::Installed(generation))
}

/// The record into which state of a later generation may be copied. That generation `n` is pending says that
/// `n - 1` was installed, so that every earlier one is sealed for good; and its state is copied only once a
/// majority of `n - 1` is sealed. So a replica that missed its sealing may make up for it here.
fn joining_record(record: Option<GroupRecord>, set: &ReplicaSet) -> Result<GroupRecord, Box<ReplicaAnswer>> {
    let Some(mut record) = record else {
        return Ok(GroupRecord::joining(set.clone()));
    };
    if record.set.generation > set.generation {
        return Err(Box::new(ReplicaAnswer::Refused(StoreRefusal::NewerGeneration { current: record.set })));
    }
    if &record.set == set {
        return match record.phase {
            GroupPhase::Joining => Ok(record),
            GroupPhase::Active | GroupPhase::Sealed { .. } => {
                Err(Box::new(ReplicaAnswer::Installed(set.generation)))
            }
        };
    }
    let takes_part_until_now =
        record.set.generation.next() == set.generation && record.phase != GroupPhase::Joining;
    if takes_part_until_now {
        record.phase = GroupPhase::Sealed { next: set.clone() };
    } else {
        record.set = set.clone();
        record.phase = GroupPhase::Joining;
    }
    Ok(record)
}

fn progress_of<'a>(
    record: &'a mut GroupRecord,
    transfer: &TransferId,
    source: &StoreId,
) -> &'a mut SourceProgress {
    let known = record.copying.iter().position(|copying| &copying.transfer == transfer);
    let position = known.unwrap_or_else(|| {
        // Several may copy at a time, each all that there is: none undoes what another has brought.
        if record.copying.len() >= MAX_COPYINGS {
            record.copying.remove(0);
        }
        record.copying.push(CopyProgress { transfer: transfer.clone(), sources: Vec::new() });
        record.copying.len() - 1
    });
    let copying = &mut record.copying[position];
    let known = copying.sources.iter().position(|progress| &progress.store == source);
    let position = known.unwrap_or_else(|| {
        copying.sources.push(SourceProgress { store: source.clone(), next: 0 });
        copying.sources.len() - 1
    });
    &mut copying.sources[position]
}

fn store_page<S: ShardStorage>(storage: &mut S, shard: &ShardId, page: &StatePage) -> Result<(), S::Error> {
    for IndexedEntry { index, entry } in &page.entries {
        let present = storage.entry(shard, *index)?;
        if present.is_none_or(|present| present.epoch < entry.epoch) {
            storage.put_entry(shard, *index, entry)?;
        }
    }
    for claimed in &page.claims {
        claims::copy(storage, shard, &claimed.request, &claimed.record)?;
    }
    Ok(())
}

/// Whether everything that was to be copied is here. A sealed replica has its own pages.
fn has_all_pages(record: &GroupRecord, store: &StoreId, install: &Install) -> bool {
    let arrived = |source: &CopiedSource| {
        let copying = record.copying.iter().filter(|copying| copying.transfer == install.transfer);
        let mut pages = copying.flat_map(|copying| &copying.sources);
        pages.any(|progress| progress.store == source.store && progress.next >= source.pages)
    };
    let is_self = |source: &CopiedSource| &source.store == store && record.phase != GroupPhase::Joining;
    let complete = install.sources.iter().all(|source| is_self(source) || arrived(source));
    let needed = match install.basis {
        // A set that grows has a greater majority than the one before, of which a majority was sealed.
        InstallBasis::SealedMajority => install.old_members / 2 + 1,
        InstallBasis::InstalledMember => 1,
    };
    complete && install.sources.len() as u64 >= needed
}
