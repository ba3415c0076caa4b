//! A replica's part in a reconfiguration: sealing, reading pages of state, storing pages, and installing.
//!
//! These functions work on the group record and storage passed by the acceptor, and keep no state of their
//! own.

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

/// Maximum size of the log entries in a page, in bytes; a larger entry is sent alone. Small requests queue behind
/// pages, so larger pages increase their latency. On one deployment small requests behind larger pages waited 460 ms
/// instead of 4 ms.
pub(super) const PAGE_BYTES: usize = 1 << 20;
/// Maximum number of claims in a page, which keeps a response within the call timeout.
const MAX_PAGE_CLAIMS: usize = 4_096;
/// Maximum number of concurrent transfers whose progress a member records. Further ones evict the oldest,
/// which then has to start again.
const MAX_TRANSFERS: usize = 8;

/// Permanently stops the replica in its generation.
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

/// Reads a page of a replica's state. The pages of the log come first, then those of the claims.
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
            let claims = storage.claims_after(shard, after.as_ref(), MAX_PAGE_CLAIMS)?;
            let next = claims.last().map(|last| PagePosition::Claims(Some(last.request.clone())));
            StatePage { position, entries: Vec::new(), claims, next }
        }
    };
    Ok(ReplicaAnswer::StatePage { from, page })
}

/// Stores a page on a member of the next generation that is not active in it yet.
///
/// An entry is only added or replaced by one accepted under a higher epoch in the sealed generation. An
/// interrupted transfer therefore leaves a state that can itself be copied from.
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

/// Activates the member in the next generation if it has all pages of the sources.
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
    // The accepted range stays valid only while the ballot under which it was accepted is the highest one.
    if record.position.promised != promised {
        record.accepted = AcceptedRange { from: LogIndex::FIRST, through: LogIndex::ZERO };
    }
    record.set = install.set;
    record.phase = GroupPhase::Active;
    record.transfers.clear();
    storage.remove_entries_before(shard, record.position.first())?;
    storage.remove_claims_issued_before(shard, record.position.claims_removed_before_unix_ms)?;
    storage.put_group(shard, &record)?;
    Ok(ReplicaAnswer::Installed(generation))
}

/// Returns the record to copy the state of a later generation into, or the answer if that is not possible.
///
/// Generation `n` can only be pending if `n - 1` was installed, so all earlier generations are sealed. Its
/// state is copied only once a majority of `n - 1` is sealed. A replica of `n - 1` that missed its sealing
/// can therefore be sealed here.
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
    let is_previous_member =
        record.set.generation.next() == set.generation && record.phase != GroupPhase::Joining;
    if is_previous_member {
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
    let known = record.transfers.iter().position(|copy_progress| &copy_progress.transfer == transfer);
    let position = known.unwrap_or_else(|| {
        // Several reconfigurers may copy the complete state at the same time. Their progress is kept apart.
        if record.transfers.len() >= MAX_TRANSFERS {
            record.transfers.remove(0);
        }
        record.transfers.push(CopyProgress { transfer: transfer.clone(), sources: Vec::new() });
        record.transfers.len() - 1
    });
    let copy_progress = &mut record.transfers[position];
    let known = copy_progress.sources.iter().position(|progress| &progress.store == source);
    let position = known.unwrap_or_else(|| {
        copy_progress.sources.push(SourceProgress { store: source.clone(), next: 0 });
        copy_progress.sources.len() - 1
    });
    &mut copy_progress.sources[position]
}

fn store_page<S: ShardStorage>(storage: &mut S, shard: &ShardId, page: &StatePage) -> Result<(), S::Error> {
    for IndexedEntry { index, entry } in &page.entries {
        let present = storage.entry(shard, *index)?;
        if present.is_none_or(|present| present.epoch < entry.epoch) {
            storage.put_entry(shard, *index, entry)?;
        }
    }
    for claimed in &page.claims {
        claims::merge_copied(storage, shard, &claimed.request, &claimed.record)?;
    }
    Ok(())
}

/// Returns whether all pages of all sources are stored. A sealed replica that is itself a source has its own
/// pages.
fn has_all_pages(record: &GroupRecord, store: &StoreId, install: &Install) -> bool {
    let arrived = |source: &CopiedSource| {
        let transfers =
            record.transfers.iter().filter(|copy_progress| copy_progress.transfer == install.transfer);
        let mut pages = transfers.flat_map(|copy_progress| &copy_progress.sources);
        pages.any(|progress| progress.store == source.store && progress.next >= source.pages)
    };
    let is_self = |source: &CopiedSource| &source.store == store && record.phase != GroupPhase::Joining;
    let complete = install.sources.iter().all(|source| is_self(source) || arrived(source));
    let needed = match install.basis {
        // The majority of the old set, which is smaller than that of the next set if the set grows.
        InstallBasis::SealedMajority => install.old_members / 2 + 1,
        InstallBasis::InstalledMember => 1,
    };
    complete && install.sources.len() as u64 >= needed
}
