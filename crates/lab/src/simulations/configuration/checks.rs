//! What must hold in every schedule (brief point 9).

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use lichenpulley_core::configuration::path::LevelPath;
use lichenpulley_core::configuration::register::AppliedChange;
use lichenpulley_core::configuration::tree::SettingsTree;
use lichenpulley_core::identity::Revision;

use super::history;
use super::operator::{ChangeEnd, ChangeRecord};
use super::platform::Platform;

/// Something that must never happen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A node put a lower revision in force than before.
    WentBack {
        /// The node.
        node: usize,
        /// The revision before.
        from: Revision,
        /// The revision after.
        to: Revision,
        /// Whether it had been restarted between the two.
        restarted: bool,
    },
    /// An accepted change was not in force on a running, connected node in time.
    NotInForce {
        /// The node.
        node: usize,
        /// The change's revision.
        revision: Revision,
        /// What was in force there.
        in_force: Option<Revision>,
    },
    /// A change did not take effect as often as its operator was answered.
    TookEffect {
        /// The change.
        change_id: String,
        /// What the operator was answered.
        end: ChangeEnd,
        /// How often it took effect.
        times: usize,
    },
    /// A change that was accepted is not in the final document, and no later one replaced it.
    Reverted {
        /// The change.
        change_id: String,
    },
    /// What the operators were answered can't be explained by changes one after the other.
    NotLinearizable,
    /// More nodes of a region read the platform than may, though the members had not changed for a while.
    Readers {
        /// The region.
        region: String,
        /// How many.
        count: usize,
    },
    /// A node did not hold the platform's final document at the end.
    NotConverged {
        /// The node.
        node: usize,
        /// What was in force there.
        in_force: Option<Revision>,
        /// The platform's revision.
        expected: Revision,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// Compares what operators were answered with what the platform holds at the end.
pub fn check_changes(records: &[ChangeRecord], platform: &Platform) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut times: BTreeMap<&str, usize> = BTreeMap::new();
    for AppliedChange { change_id, .. } in platform.committed() {
        *times.entry(change_id).or_default() += 1;
    }
    for record in records {
        let times = times.get(record.change.change_id.as_str()).copied().unwrap_or(0);
        let right = match record.end {
            ChangeEnd::Accepted(_) => times == 1,
            ChangeEnd::Conflict(_) | ChangeEnd::NotWritten => times == 0,
            ChangeEnd::Unknown => times <= 1,
        };
        if !right {
            let change_id = record.change.change_id.clone();
            violations.push(Violation::TookEffect { change_id, end: record.end, times });
        }
    }
    violations.extend(find_reverted(records, platform));
    let committed: BTreeSet<String> =
        platform.committed().iter().map(|applied| applied.change_id.clone()).collect();
    if !history::is_linearizable(records, &committed) {
        violations.push(Violation::NotLinearizable);
    }
    violations
}

/// For each setting, the accepted change of the highest revision must be what the document holds, unless a change
/// whose operator does not know came later.
fn find_reverted(records: &[ChangeRecord], platform: &Platform) -> Vec<Violation> {
    let mut last: BTreeMap<String, (Revision, &ChangeRecord)> = BTreeMap::new();
    for record in records {
        let revision = match record.end {
            ChangeEnd::Accepted(revision) => revision,
            ChangeEnd::Unknown => record.change.base_revision.next(),
            ChangeEnd::Conflict(_) | ChangeEnd::NotWritten => continue,
        };
        let Ok(path) = LevelPath::parse(&record.change.path) else { continue };
        let key = SettingsTree::entry_key(&path, &record.change.key);
        let newest = last.get(&key).is_none_or(|(newest, _)| *newest < revision);
        if newest && took_effect(record, platform) {
            last.insert(key, (revision, record));
        }
    }
    let (_, register) = platform.register();
    let differs = |(key, (_, record)): &(&String, &(Revision, &ChangeRecord))| {
        let value = record.change.value.as_ref().map(ToString::to_string);
        register.document().get(key) != value.as_deref()
    };
    let reverted = last.iter().filter(differs);
    reverted
        .map(|(_, (_, record))| Violation::Reverted { change_id: record.change.change_id.clone() })
        .collect()
}

fn took_effect(record: &ChangeRecord, platform: &Platform) -> bool {
    matches!(record.end, ChangeEnd::Accepted(_))
        || platform.committed().iter().any(|applied| applied.change_id == record.change.change_id)
}
