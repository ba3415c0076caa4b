//! Limits the early moves of a gateway's plain requests: moves that keep a request within the target of its route
//! ([`super::attempt_timeout::early_move_at`]).
//!
//! Load pattern: one replica of several is silent or much slower than the others. Its requests move to another replica,
//! which repeats their work there. If all replicas are slow instead, every request exceeds the timeout, and repeats
//! would take slots from first attempts. Three limits apply to each service:
//!
//! - A [`RetryBudget`]: a tenth of this gateway's requests plus one a second.
//! - No early moves while recent answers of the service show waiting requests ([`EarlyMoves::is_short`]).
//! - No early moves for some seconds after one that was answered late ([`EarlyMoves::is_futile`]): the other replicas
//!   are slow too. This limits gateways with few requests, which the budget of one a second does not.
//!
//! The state is a hint of one gateway and is lost with it. A new gateway begins with the budget of one second. A gateway
//! that is cut off from the others keeps its own state.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::backoff::Backoff;
use super::budget::{BudgetConfig, RetryBudget};
use crate::time::Timestamp;

/// The budget of one service. The window is shorter than that of a pool: with the ten retries saved in 10 s, 59
/// gateways could repeat 590 requests at once, which is the load of 49 s (12 requests a second).
const BUDGET: BudgetConfig = BudgetConfig {
    deposit_ratio: 0.1,
    minimum_per_second: 1.0,
    window: Duration::from_secs(1),
    max_saved: 20.0,
};
/// Maximum number of answers of a service from which a shortage is determined.
const MAX_ANSWERS: usize = 8;
/// Time for which an answer counts. A gateway sees one answer in five seconds where 59 gateways share 12 requests a
/// second; with a shorter time it would know of no shortage.
const ANSWER_VALIDITY: Duration = Duration::from_secs(10);
/// There is a shortage if at least one in this many recent answers shows waiting requests. Each replica is slowed down
/// for 15 % of the time and then has waiting requests without a shortage; a third is twice that share.
const SHORTAGE_DIVISOR: usize = 3;

/// Time without early moves after one that was answered late, by the number of such moves in a row. A gateway may see
/// one request in five seconds; after a shorter time, each of its requests would move.
const FUTILE_MOVE_PAUSE: Backoff = Backoff::new(Duration::from_secs(5), Duration::from_secs(40));

/// Why a request does not move early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyMoveDenial {
    /// No replica of the service has reported a pace to this node.
    NoPace,
    /// Recent answers of the service show waiting requests.
    Shortage,
    /// An early move was answered late a short time ago.
    Futile,
    /// No other replica may be sent the request.
    NoCandidate,
    /// No other replica is expected to answer within the target.
    NoneInTime,
    /// The budget of the service is exhausted.
    BudgetExhausted,
}

impl EarlyMoveDenial {
    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoPace => "no_pace",
            Self::Shortage => "shortage",
            Self::Futile => "futile",
            Self::NoCandidate => "no_candidate",
            Self::NoneInTime => "none_in_time",
            Self::BudgetExhausted => "budget_exhausted",
        }
    }
}

/// How a request that moved early ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EarlyMoveResult {
    /// It was answered within the target of its route.
    InTarget,
    /// It was answered later.
    Late,
    /// It was given up.
    Failed,
}

impl EarlyMoveResult {
    /// Returns the result for a request that was answered after `elapsed`, or given up (`None`).
    pub fn of(elapsed: Option<Duration>, target: Duration) -> Self {
        match elapsed {
            None => Self::Failed,
            Some(elapsed) if elapsed <= target => Self::InTarget,
            Some(_) => Self::Late,
        }
    }

    /// Returns the name used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InTarget => "in_target",
            Self::Late => "late",
            Self::Failed => "failed",
        }
    }
}

/// What an answer showed.
#[derive(Clone, Debug)]
struct RecentAnswer {
    at: Timestamp,
    /// Id of the replica.
    replica: String,
    has_waiting: bool,
}

/// The limits of one service.
#[derive(Clone, Debug)]
struct ServiceLimits {
    budget: RetryBudget,
    /// The recent answers, newest last.
    answers: VecDeque<RecentAnswer>,
    /// Early moves in a row that were not answered within the target.
    late_moves: u32,
    /// No early moves before this time.
    paused_until: Timestamp,
}

impl ServiceLimits {
    fn new(now: Timestamp) -> Self {
        Self {
            budget: RetryBudget::new(BUDGET, now),
            answers: VecDeque::with_capacity(MAX_ANSWERS),
            late_moves: 0,
            paused_until: Timestamp::ORIGIN,
        }
    }

    fn is_short(&self, tried: &[String], now: Timestamp) -> bool {
        let recent = self.answers.iter().filter(|answer| {
            now.saturating_since(answer.at) < ANSWER_VALIDITY && !tried.contains(&answer.replica)
        });
        let (answers, waiting) = recent.fold((0, 0), |(answers, waiting), answer| {
            (answers + 1, waiting + usize::from(answer.has_waiting))
        });
        waiting > 0 && waiting * SHORTAGE_DIVISOR >= answers
    }
}

/// The limits on early moves of one gateway, by service.
#[derive(Clone, Debug, Default)]
pub struct EarlyMoves {
    services: BTreeMap<String, ServiceLimits>,
}

impl EarlyMoves {
    /// Records a plain request to a service. Must not be called for its repeats.
    pub fn record_request(&mut self, service: &str, now: Timestamp) {
        self.service(service, now).budget.deposit(now);
    }

    /// Records the number of waiting requests that a replica of a service reported with an answer.
    pub fn record_answer(&mut self, service: &str, replica: &str, waiting: u32, now: Timestamp) {
        let answers = &mut self.service(service, now).answers;
        if answers.len() == MAX_ANSWERS {
            answers.pop_front();
        }
        answers.push_back(RecentAnswer { at: now, replica: replica.to_owned(), has_waiting: waiting > 0 });
    }

    /// Whether recent answers of a service show waiting requests. The answers of the `tried` replicas, which the request
    /// can't move to, do not count: waiting requests at one slow replica are a reason to leave it.
    pub fn is_short(&self, service: &str, tried: &[String], now: Timestamp) -> bool {
        self.services.get(service).is_some_and(|limits| limits.is_short(tried, now))
    }

    /// Records how a request that moved early ended.
    pub fn record_result(&mut self, service: &str, result: EarlyMoveResult, now: Timestamp) {
        let limits = self.service(service, now);
        if result == EarlyMoveResult::InTarget {
            limits.late_moves = 0;
            return;
        }
        limits.late_moves = limits.late_moves.saturating_add(1);
        limits.paused_until = now + FUTILE_MOVE_PAUSE.pause(limits.late_moves);
    }

    /// Whether an early move of a service was answered late a short time ago.
    pub fn is_futile(&self, service: &str, now: Timestamp) -> bool {
        self.services.get(service).is_some_and(|limits| now < limits.paused_until)
    }

    /// Withdraws one early move from the budget of a service; returns `false` if it is exhausted.
    pub fn withdraw(&mut self, service: &str, now: Timestamp) -> bool {
        self.service(service, now).budget.withdraw(now)
    }

    /// Drops the services that are no longer configured.
    pub fn retain_services(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.services.retain(|service, _| is_configured(service));
    }

    fn service(&mut self, service: &str, now: Timestamp) -> &mut ServiceLimits {
        self.services.entry(service.to_owned()).or_insert_with(|| ServiceLimits::new(now))
    }
}
