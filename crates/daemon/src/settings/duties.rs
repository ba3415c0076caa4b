//! `[duties]`: calls to the platform that one node makes at a time.

use std::net::SocketAddr;
use std::time::Duration;

use lichenpulley_core::scaling::ScalingPolicy;
use lichenpulley_core::usage::reporter::ReporterConfig;
use lichenpulley_core::usage::window::WindowLength;
use lichenpulley_platform::cloud::{Duty, duty_named};

use super::reader::SettingsReader;

/// Length of a window of usage, in seconds, where the settings name none. Chosen; the platform gives its own.
const DEFAULT_USAGE_WINDOW_S: f64 = 60.0;
/// How long after its end the usage of a window is due, in seconds, where the settings say nothing. Chosen; the platform
/// gives its own.
const DEFAULT_USAGE_DUE_S: f64 = 60.0;
/// A window of usage inside a test or a demonstration: short enough that several end within one run.
const LOOPBACK_USAGE_WINDOW: Duration = Duration::from_secs(1);

/// Which duties are held, and how they are done.
#[derive(Clone, Copy, Debug)]
pub struct DutySettings {
    /// Where the platform takes them; without it there are none.
    pub platform: Option<SocketAddr>,
    reports_usage: bool,
    orders_replicas: bool,
    usage: ReporterConfig,
    scaling: ScalingPolicy,
}

impl DutySettings {
    pub(super) fn read(reader: &mut SettingsReader) -> Self {
        let (reports_usage, orders_replicas) = read_held(reader);
        let window = reader.fraction("duties.usage_window_s", DEFAULT_USAGE_WINDOW_S, 1.0..=86_400.0);
        let due_after = reader.fraction("duties.usage_due_s", DEFAULT_USAGE_DUE_S, 0.1..=86_400.0);
        let margin_percent = reader.small_number("duties.replica_margin_percent", 100, 50..=400);
        Self {
            platform: reader.service_address("duties.platform"),
            reports_usage,
            orders_replicas,
            usage: ReporterConfig {
                window: WindowLength::new(Duration::from_secs_f64(window)),
                due_after: Duration::from_secs_f64(due_after),
            },
            // Chosen, not measured: a smaller percentage is short at the greatest demand, a shorter hold orders replicas away
            // between two bursts; more of either pays for replicas that stand idle.
            scaling: ScalingPolicy {
                margin_percent,
                hold: reader.milliseconds("duties.replica_hold_ms", 60_000, 1_000..=86_400_000),
            },
        }
    }

    /// Both duties, with windows of a second, for a system inside a test or a demonstration.
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

    /// Whether calls are expected that could go nowhere.
    pub(super) const fn lacks_platform(&self) -> bool {
        self.platform.is_none() && (self.reports_usage || self.orders_replicas)
    }

    /// How usage is reported; `None` where it is not.
    pub fn usage(&self) -> Option<ReporterConfig> {
        self.platform.filter(|_| self.reports_usage).map(|_| self.usage)
    }

    /// How replicas are ordered; `None` where they are not.
    pub fn scaling(&self) -> Option<ScalingPolicy> {
        self.platform.filter(|_| self.orders_replicas).map(|_| self.scaling)
    }
}

/// Whether usage is reported and whether replicas are ordered, by the duties that are named.
fn read_held(reader: &mut SettingsReader) -> (bool, bool) {
    let (mut reports_usage, mut orders_replicas) = (false, false);
    for name in reader.text_list("duties.held") {
        match duty_named(&name) {
            Some(Duty::Usage) => reports_usage = true,
            Some(Duty::Scaling) => orders_replicas = true,
            None => reader.problem(
                "duties.held",
                format!("\"{name}\" is no duty"),
                "use \"usage_report\" or \"autoscaler\"",
            ),
        }
    }
    (reports_usage, orders_replicas)
}
