//! The table `[duties]`: usage reports and replica scaling, each performed for the platform by one node at a time.

use std::net::SocketAddr;
use std::time::Duration;

use lichenpulley_core::scaling::ScalingPolicy;
use lichenpulley_core::usage::reporter::ReporterConfig;
use lichenpulley_core::usage::window::WindowLength;
use lichenpulley_platform::cloud::{Duty, parse_duty};

use super::reader::SettingsReader;

/// Default length of a usage window, in seconds.
const DEFAULT_USAGE_WINDOW_S: f64 = 60.0;
/// Default time after the end of a usage window at which its report is due, in seconds.
const DEFAULT_USAGE_DUE_S: f64 = 60.0;
/// Usage window of tests and demonstrations; short, so that several end within one run.
const LOOPBACK_USAGE_WINDOW: Duration = Duration::from_secs(1);

/// Which duties are enabled, and their parameters.
#[derive(Clone, Copy, Debug)]
pub struct DutySettings {
    /// Address of the platform's service that receives the calls; `None` disables all duties.
    pub platform: Option<SocketAddr>,
    reports_usage: bool,
    orders_replicas: bool,
    usage: ReporterConfig,
    scaling: ScalingPolicy,
}

impl DutySettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        let (reports_usage, orders_replicas) = read_enabled_duties(reader);
        let window = reader.float("duties.usage_window_s", DEFAULT_USAGE_WINDOW_S, 1.0..=86_400.0);
        let due_after = reader.float("duties.usage_due_s", DEFAULT_USAGE_DUE_S, 0.1..=86_400.0);
        let margin_percent = reader.number_u32("duties.replica_margin_percent", 100, 50..=400);
        Self {
            platform: reader.service_address("duties.platform"),
            reports_usage,
            orders_replicas,
            usage: ReporterConfig {
                window: WindowLength::new(Duration::from_secs_f64(window)),
                due_after: Duration::from_secs_f64(due_after),
            },
            scaling: ScalingPolicy {
                margin_percent,
                hold: reader.milliseconds("duties.replica_hold_ms", 60_000, 1_000..=86_400_000),
            },
        }
    }

    /// Returns settings with both duties enabled and usage windows of one second, for tests and demonstrations.
    pub fn on_loopback(platform: SocketAddr) -> Self {
        Self {
            platform: Some(platform),
            reports_usage: true,
            orders_replicas: true,
            usage: ReporterConfig {
                window: WindowLength::new(LOOPBACK_USAGE_WINDOW),
                due_after: LOOPBACK_USAGE_WINDOW,
            },
            scaling: ScalingPolicy::default(),
        }
    }

    /// Returns whether a duty is enabled without the address of the platform's service.
    pub(super) const fn lacks_platform(&self) -> bool {
        self.platform.is_none() && (self.reports_usage || self.orders_replicas)
    }

    /// Returns the parameters of usage reports; `None` when they are disabled.
    pub fn usage(&self) -> Option<ReporterConfig> {
        self.platform.filter(|_| self.reports_usage).map(|_| self.usage)
    }

    /// Returns the scaling policy; `None` when scaling is disabled.
    pub fn scaling(&self) -> Option<ScalingPolicy> {
        self.platform.filter(|_| self.orders_replicas).map(|_| self.scaling)
    }
}

/// Reads `duties.held`; returns whether usage reports and whether scaling are enabled.
fn read_enabled_duties(reader: &mut SettingsReader) -> (bool, bool) {
    let (mut reports_usage, mut orders_replicas) = (false, false);
    for name in reader.text_list("duties.held") {
        match parse_duty(&name) {
            Some(Duty::Usage) => reports_usage = true,
            Some(Duty::Scaling) => orders_replicas = true,
            None => reader.add_problem(
                "duties.held",
                format!("\"{name}\" is not a known duty"),
                "use \"usage_report\" or \"autoscaler\"",
            ),
        }
    }
    (reports_usage, orders_replicas)
}
