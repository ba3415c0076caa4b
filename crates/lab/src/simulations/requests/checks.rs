//! What must hold at the end of every schedule.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use lichenpulley_core::identity::ReplicaId;
use lichenpulley_core::request::answer::Answer;
use lichenpulley_core::request::outcome::RequestOutcome;
use lichenpulley_core::routing::eligibility::DEFAULT_CONFIRMATION_VALIDITY;
use lichenpulley_core::time::Timestamp;

use super::engine::Admission;
use super::submission::{CallerAnswer, SentWork, Submission};
use crate::engine::answer::is_whole_answer;

/// A promise that a schedule broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An answer is not the whole answer to its own request (brief point 4).
    NotTheWholeAnswer {
        /// The submission.
        submission: usize,
    },
    /// The versions named for an answer don't cover its tokens (brief point 1).
    UncoveredTokens {
        /// The submission.
        submission: usize,
    },
    /// A request answered as not run was admitted (brief point 5).
    RanThoughNotRun {
        /// The submission.
        submission: usize,
    },
    /// A request that may run at most once was admitted more often (brief point 6).
    RanTwice {
        /// The prompt, one for each request.
        prompt: String,
        /// How often it was admitted.
        admissions: usize,
    },
    /// New work was sent to a replica that had long ceased to take it (brief point 7).
    SentToGoneReplica {
        /// The replica.
        replica: ReplicaId,
        /// How long after it ceased.
        after: Duration,
    },
    /// A request got no outcome though its gateway lives and its deadline has passed.
    NeverAnswered {
        /// How many.
        requests: usize,
    },
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// What schedules did, so that a run without violations can be seen to have tried something.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutcomeTally {
    /// Requests submitted.
    pub submitted: u64,
    /// Answered whole.
    pub completed: u64,
    /// Of these, in more than one attempt.
    pub completed_in_many_attempts: u64,
    /// Answered "not run".
    pub not_run: u64,
    /// Answered "unknown".
    pub unknown: u64,
    /// Never answered: their gateway died.
    pub gateway_died: u64,
    /// Streams that engines admitted.
    pub admissions: u64,
    /// Faults that fell.
    pub faults: u64,
}

impl OutcomeTally {
    /// Adds the figures of another schedule.
    pub fn add(&mut self, other: &Self) {
        self.submitted += other.submitted;
        self.completed += other.completed;
        self.completed_in_many_attempts += other.completed_in_many_attempts;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.gateway_died += other.gateway_died;
        self.admissions += other.admissions;
        self.faults += other.faults;
    }

    /// The figures by name.
    pub(super) fn counts(&self) -> Vec<(&'static str, u64)> {
        vec![
            ("requests", self.submitted),
            ("answered whole", self.completed),
            ("of these in several attempts", self.completed_in_many_attempts),
            ("not run", self.not_run),
            ("unknown", self.unknown),
            ("lost with their gateway", self.gateway_died),
            ("streams admitted", self.admissions),
            ("faults", self.faults),
        ]
    }

    pub(super) fn count_outcome(&mut self, outcome: &RequestOutcome) {
        match outcome {
            RequestOutcome::Completed { attempts, .. } => {
                self.completed += 1;
                self.completed_in_many_attempts += u64::from(*attempts > 1);
            }
            RequestOutcome::NotRun { .. } => self.not_run += 1,
            RequestOutcome::Unknown { .. } => self.unknown += 1,
        }
    }
}

/// Checks what one caller was answered.
pub(super) fn check_answered(
    answered: &CallerAnswer,
    submission: &Submission,
    admissions: &[Admission],
    violations: &mut Vec<Violation>,
) {
    match &*answered.outcome {
        RequestOutcome::Completed { answer, .. } => check_answer(answered, answer, submission, violations),
        RequestOutcome::NotRun { .. } => {
            // The attempts of this submission bear its number; a claimed id belongs to this submission alone, so
            // that no other may have run it either.
            let own = format!("-{}.", submission.number);
            let ran = admissions.iter().any(|admission| {
                let is_own = admission.attempt.as_str().contains(&own);
                is_own || (!submission.repeatable && admission.prompt == submission.stream.prompt)
            });
            if ran {
                violations.push(Violation::RanThoughNotRun { submission: answered.number });
            }
        }
        RequestOutcome::Unknown { .. } => {}
    }
}

fn check_answer(
    answered: &CallerAnswer,
    answer: &Answer,
    submission: &Submission,
    violations: &mut Vec<Violation>,
) {
    let stream = &submission.stream;
    let whole = |tokens: &[u32]| is_whole_answer(&stream.prompt, stream.seed, stream.max_tokens, tokens);
    if !whole(&answer.tokens) || !whole(&answered.streamed) {
        violations.push(Violation::NotTheWholeAnswer { submission: answered.number });
    }
    let mut next = 0;
    for span in &answer.spans {
        if span.first_token != next {
            break;
        }
        next += span.token_count;
    }
    if next as usize != answer.tokens.len() {
        violations.push(Violation::UncoveredTokens { submission: answered.number });
    }
}

/// Checks that requests which may run at most once were admitted at most once.
pub(super) fn check_at_most_once(
    submissions: &[Submission],
    admissions: &[Admission],
    violations: &mut Vec<Violation>,
) {
    let mut by_prompt: BTreeMap<&str, usize> = BTreeMap::new();
    for admission in admissions {
        *by_prompt.entry(&admission.prompt).or_default() += 1;
    }
    let mut checked: Vec<&str> = Vec::new();
    for submission in submissions.iter().filter(|submission| !submission.repeatable) {
        let prompt = submission.stream.prompt.as_str();
        let count = by_prompt.get(prompt).copied().unwrap_or_default();
        if count > 1 && !checked.contains(&prompt) {
            checked.push(prompt);
            violations.push(Violation::RanTwice { prompt: prompt.to_owned(), admissions: count });
        }
    }
}

/// How long new work may still be sent to a replica after it ceased to take it.
const NEW_WORK_CEASES: Duration = DEFAULT_CONFIRMATION_VALIDITY;

/// When a replica took no new work: from, and until, if that has ended.
#[derive(Clone, Debug)]
pub(super) struct Absence {
    pub(super) replica: ReplicaId,
    pub(super) from: Timestamp,
    pub(super) until: Option<Timestamp>,
}

/// Checks that no new work went to a replica that had ceased to take it a few seconds before.
pub(super) fn check_leaving(sent: &[SentWork], absences: &[Absence], violations: &mut Vec<Violation>) {
    for work in sent {
        let late = absences.iter().find(|absence| {
            let is_away = work.at >= absence.from && absence.until.is_none_or(|until| work.at < until);
            absence.replica == work.replica && is_away && work.at > absence.from + NEW_WORK_CEASES
        });
        if let Some(absence) = late {
            violations.push(Violation::SentToGoneReplica {
                replica: work.replica.clone(),
                after: work.at.saturating_since(absence.from),
            });
            return;
        }
    }
}
