//! The history of the register as operators saw it, checked for linearizability by `todc-utils`.

use std::collections::BTreeSet;

use lichenpulley_core::time::Timestamp;
use todc_utils::Specification;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};

use super::operator::{ChangeEnd, ChangeRecord};

/// A change of the register by what its operator was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegisterOperation {
    /// Took effect on top of `base` and made `revision`.
    Changed {
        /// The revision that it was based on.
        base: u64,
        /// The revision that it made.
        revision: u64,
    },
    /// Lost against `current`.
    Conflicted {
        /// The revision that it was based on.
        base: u64,
        /// The revision that was current.
        current: u64,
    },
}

/// A register whose revision goes up by one with each change, and which refuses a change on an old revision.
#[derive(Debug)]
pub struct RegisterSpecification;

impl Specification for RegisterSpecification {
    type State = u64;
    type Operation = RegisterOperation;

    fn init() -> Self::State {
        0
    }

    fn apply(operation: &Self::Operation, state: &Self::State) -> (bool, Self::State) {
        match *operation {
            RegisterOperation::Changed { base, revision } => {
                (*state == base && revision == base + 1, revision)
            }
            RegisterOperation::Conflicted { base, current } => (*state == current && base != current, *state),
        }
    }
}

/// Whether what the operators were answered can be explained by changes that took effect one after the other, each
/// between its call and its answer. A change whose operator does not know counts as one that may take effect until
/// the end, if the platform shows that it did, and as none otherwise.
pub fn is_linearizable(records: &[ChangeRecord], committed: &BTreeSet<String>) -> bool {
    let mut actions: Vec<(Timestamp, usize, Action<RegisterOperation>)> = Vec::new();
    let never = Timestamp::from_micros(u64::MAX);
    for (process, record) in records.iter().enumerate() {
        let base = record.change.base_revision.0;
        let (operation, ended) = match record.end {
            ChangeEnd::Accepted(revision) => {
                (RegisterOperation::Changed { base, revision: revision.0 }, record.ended)
            }
            ChangeEnd::Conflict(current) => {
                (RegisterOperation::Conflicted { base, current: current.0 }, record.ended)
            }
            ChangeEnd::NotWritten => continue,
            ChangeEnd::Unknown if committed.contains(&record.change.change_id) => {
                (RegisterOperation::Changed { base, revision: base + 1 }, never)
            }
            ChangeEnd::Unknown => continue,
        };
        actions.push((record.called, process, Action::Call(operation)));
        actions.push((ended, process, Action::Response(operation)));
    }
    actions.sort_by_key(|(at, ..)| *at);
    let actions: Vec<(usize, Action<RegisterOperation>)> =
        actions.into_iter().map(|(_, process, action)| (process, action)).collect();
    actions.is_empty() || WGLChecker::<RegisterSpecification>::is_linearizable(History::from_actions(actions))
}
