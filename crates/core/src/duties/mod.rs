//! Duties: calls to the platform that only one holder makes at a time, to report usage by tenant and to order
//! replicas.
//!
//! This module defines the calls and the plans that decide when one is due. The daemon's `duties` performs
//! them.

use crate::scaling::{ScaleOrder, ScalePlan, ScalingPolicy};
use crate::usage::account::TenantCounts;
use crate::usage::reporter::{ReporterConfig, UsageReporter};
use crate::usage::window::WindowNumber;

/// Subject of all usage reports.
pub(crate) const USAGE_SUBJECT: &str = "duty/usage";

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyCall {
    /// Reports the usage of a window.
    Usage {
        /// The window.
        window: WindowNumber,
        /// Number of requests by tenant.
        counts: TenantCounts,
    },
    /// Orders replicas.
    Scale(ScaleOrder),
}

impl DutyCall {
    /// Returns the subject on which only one holder may call at a time: all usage, or a service in a zone.
    pub fn subject(&self) -> String {
        match self {
            Self::Usage { .. } => USAGE_SUBJECT.to_owned(),
            Self::Scale(order) => format!("duty/scale/{}/{}", order.service, order.zone),
        }
    }
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyOutcome {
    /// The platform accepted the call.
    Taken,
    /// The platform knows a later holder.
    Superseded,
    /// The platform refused the call for now, or did not answer.
    Missed,
}

impl DutyOutcome {
    /// Returns the stable name used in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Superseded => "superseded",
            Self::Missed => "missed",
        }
    }
}

/// Configuration of the duties.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DutyConfig {
    /// Usage reports, if the platform requires them.
    pub usage: Option<ReporterConfig>,
    /// Autoscaling, if replicas can be ordered.
    pub scaling: Option<ScalingPolicy>,
}

/// State of the duties of a holder.
#[derive(Clone, Debug, Default)]
pub struct DutyPlan {
    /// Usage reports.
    pub usage: Option<UsageReporter>,
    /// Autoscaling.
    pub scaling: Option<ScalePlan>,
}

impl DutyPlan {
    /// Creates a plan that has made no call.
    pub(crate) fn new(config: DutyConfig) -> Self {
        Self { usage: config.usage.map(UsageReporter::new), scaling: config.scaling.map(ScalePlan::new) }
    }
}
