//! HTTP status and error body of a failed request, for callers of the project's own interface.
//!
//! The time after which callers retry is part of the outcome: it follows from a pool's drain rate or from the
//! core's `retry::retry_after`. Callers on the platform's path get another form, see `ingress::refusal`.

use hyper::StatusCode;
use lichenpulley_core::request::outcome::{GiveUpReason, RefusalReason};
use lichenpulley_core::time::whole_millis;
use lichenpulley_protocol::error::{ErrorBody, Execution};
use std::time::Duration;

/// Returns the status and body for a request that did not run.
pub fn not_run(reason: RefusalReason, retry_after: Option<Duration>) -> (StatusCode, ErrorBody) {
    let body = ErrorBody {
        execution: Some(Execution::NotRun),
        retry_after_ms: retry_after.map(whole_millis),
        ..ErrorBody::new(reason.as_str(), reason.to_string(), remedy_of_refusal(reason))
    };
    (status_of_refusal(reason), body)
}

/// Returns the status and body for a request that may have run.
pub fn unknown(reason: GiveUpReason, retry_after: Option<Duration>) -> (StatusCode, ErrorBody) {
    let body = ErrorBody {
        execution: Some(Execution::Unknown),
        retry_after_ms: retry_after.map(whole_millis),
        ..ErrorBody::new(reason.as_str(), reason.to_string(), remedy_of_failure(reason))
    };
    (status_of_failure(reason), body)
}

fn status_of_refusal(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::UnknownPool => StatusCode::NOT_FOUND,
        RefusalReason::ConcurrencyLimit => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::DeadlineTooNear => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::DirectoryUnknown
        | RefusalReason::NoEligibleReplica
        | RefusalReason::RetryBudgetExhausted
        | RefusalReason::EnginesRefused
        | RefusalReason::NodeDraining => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn status_of_failure(reason: GiveUpReason) -> StatusCode {
    match reason {
        GiveUpReason::AlreadyClaimed | GiveUpReason::ClaimExpired => StatusCode::CONFLICT,
        GiveUpReason::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        GiveUpReason::NotRepeatable | GiveUpReason::AnswerNotWhole => StatusCode::BAD_GATEWAY,
        GiveUpReason::RetryBudgetExhausted
        | GiveUpReason::NoEligibleReplica
        | GiveUpReason::ClaimUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        GiveUpReason::Unclaimed(refusal) => status_of_refusal(refusal),
    }
}

const fn remedy_of_refusal(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::UnknownPool => "name a pool that `lichenpulley pool list` shows",
        RefusalReason::DirectoryUnknown => {
            "come back after the time given; if it lasts, bring up the machine list"
        }
        RefusalReason::NoEligibleReplica => {
            "come back later; `lichenpulley pool list` shows why none takes work"
        }
        RefusalReason::ConcurrencyLimit => "come back after the time given, or add replicas",
        RefusalReason::RetryBudgetExhausted | RefusalReason::EnginesRefused => {
            "come back after the time given; do not repeat it sooner"
        }
        RefusalReason::DeadlineTooNear => "send it with a longer deadline",
        RefusalReason::NodeDraining => "send it to another gateway",
    }
}

const fn remedy_of_failure(reason: GiveUpReason) -> &'static str {
    match reason {
        GiveUpReason::NotRepeatable => "find out whether it took effect before you send it under a new id",
        GiveUpReason::AnswerNotWhole => "send it again where it may be repeated; report the engine",
        GiveUpReason::DeadlineExceeded => "send it with a longer deadline, where it may be repeated",
        GiveUpReason::RetryBudgetExhausted | GiveUpReason::NoEligibleReplica => {
            "come back after the time given, where it may be repeated"
        }
        GiveUpReason::AlreadyClaimed => {
            "wait for the answer to the earlier submission; use a new id for a new request"
        }
        GiveUpReason::ClaimExpired => "find out whether it took effect, then send it under a new id",
        GiveUpReason::ClaimUnavailable => {
            "restore a majority of the store nodes, then send it under a new id"
        }
        GiveUpReason::Unclaimed(reason) => remedy_of_refusal(reason),
    }
}
