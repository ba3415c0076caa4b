//! Calls to the platform that one holder makes at a time: usage by tenant, and replicas ordered.
//!
//! This is the half without I/O: what a call is, and which plans decide when one is due. The daemon's
//! `duties` makes the calls.

use crate::scaling::{ScaleOrder, ScalePlan, ScalingPolicy};
use crate::usage::account::TenantCounts;
use crate::usage::reporter::{ReporterConfig, UsageReporter};
use crate::usage::window::WindowNumber;

/// The subject of usage: all windows together.
pub(crate) const USAGE_SUBJECT: &str = "duty/usage";

/// A call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyCall {
    /// Tells what a window holds.
    Usage {
        /// The window.
        window: WindowNumber,
        /// Requests by tenant.
        counts: TenantCounts,
    },
    /// Orders replicas.
    Scale(ScaleOrder),
}

impl DutyCall {
    /// What no two holders call about at a time: all windows together, or a service in a zone.
    pub fn subject(&self) -> String {
        match self {
            Self::Usage { .. } => USAGE_SUBJECT.to_owned(),
            Self::Scale(order) => format!("duty/scale/{}/{}", order.service, order.zone),
        }
    }
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyOutcome {
    /// The platform took it.
    Taken,
    /// The platform has heard of a later holder.
    Superseded,
    /// The platform refused it for now, or gave no answer.
    Missed,
}

impl DutyOutcome {
    /// The name used in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Superseded => "superseded",
            Self::Missed => "missed",
        }
    }
}

/// Which duties there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DutyConfig {
    /// Usage, where the platform asks for it.
    pub usage: Option<ReporterConfig>,
    /// Replicas, where they can be ordered.
    pub scaling: Option<ScalingPolicy>,
}

/// The duties of a holder.
#[derive(Clone, Debug, Default)]
pub struct DutyPlan {
    /// Usage.
    pub usage: Option<UsageReporter>,
    /// Replicas.
    pub scaling: Option<ScalePlan>,
}

impl DutyPlan {
    /// A plan that has called nobody.
    pub(crate) fn new(config: DutyConfig) -> Self {
        Self { usage: config.usage.map(UsageReporter::new), scaling: config.scaling.map(ScalePlan::new) }
    }
}
