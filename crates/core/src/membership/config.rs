//! Settings of the membership protocol and the validation of their bounds.

use std::time::Duration;

/// Maximum length of a node id or zone name, in bytes. Keeps space for several updates in each datagram.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// Minimum configurable payload, in bytes. Holds the fixed parts of any message and one update.
const MIN_PAYLOAD_BYTES: usize = 512;

/// Maximum payload of an IPv4 UDP datagram, in bytes: 65,535 minus the IP (20) and UDP (8) headers.
const MAX_PAYLOAD_BYTES: usize = 65_507;

/// Settings of the membership protocol. All durations are measured on the local node's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Protocol period. Each node probes one member per period.
    pub probe_interval: Duration,
    /// Time to wait for the answer to a direct probe before indirect probes are sent.
    pub probe_timeout: Duration,
    /// Number of members asked to probe on this node's behalf; 0 disables indirect probes.
    pub indirect_probes: usize,
    /// Suspicion timeout, in probe intervals per log10 of the cluster size.
    pub suspicion_multiplier: u32,
    /// Number of messages that carry an update, per log10 of the cluster size (λ log n in the SWIM paper).
    pub retransmission_multiplier: u32,
    /// Maximum payload of a datagram, in bytes.
    pub maximum_payload_bytes: usize,
    /// Average rate limit for updates, in bytes per second. Excludes the probe messages that carry them.
    pub update_bytes_per_second: u32,
    /// Maximum burst of updates, in bytes.
    pub update_burst_bytes: u32,
    /// Mean interval between full member table comparisons with a random member.
    pub sync_interval: Duration,
    /// Maximum number of member pages sent in reply to one table digest.
    pub sync_pages: usize,
    /// Interval between attempts to reach a failed member.
    pub reconnect_interval: Duration,
    /// Time to wait for a seed's answer before the next seed is tried.
    pub join_retry: Duration,
    /// Retention of failed members. Reconnects are attempted during this time.
    pub forget_failed_after: Duration,
    /// Retention of members that left. Prevents delayed updates from adding them again.
    pub forget_left_after: Duration,
    /// Timer lateness above which the local node is considered to have stalled.
    pub stall_tolerance: Duration,
    /// Protocol mechanisms, which experiments can disable.
    pub mechanisms: Mechanisms,
}

/// Protocol mechanisms that experiments can disable. All are enabled by default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// A node refutes suspicions about itself by raising its incarnation.
    pub refutation: bool,
    /// Full tables are compared periodically, and failed members and unknown seeds are contacted again.
    pub anti_entropy: bool,
    /// Stalls of the local node extend the deadlines of other members.
    pub stall_credit: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self { refutation: true, anti_entropy: true, stall_credit: true }
    }
}

impl Default for Config {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            probe_timeout: Duration::from_millis(150),
            indirect_probes: 3,
            suspicion_multiplier: 5,
            retransmission_multiplier: 4,
            // Avoids IP fragmentation on common networks.
            maximum_payload_bytes: 1_200,
            // Bounds the traffic when a large part of the cluster changes at once.
            update_bytes_per_second: 1_000,
            // Covers the updates about a lost zone.
            update_burst_bytes: 16_000,
            sync_interval: Duration::from_secs(30),
            sync_pages: 2,
            reconnect_interval: Duration::from_secs(5),
            join_retry: Duration::from_secs(1),
            // Partitions that last longer may not merge by themselves.
            forget_failed_after: Duration::from_secs(6 * 3_600),
            forget_left_after: Duration::from_secs(3_600),
            // Above normal timer jitter.
            stall_tolerance: Duration::from_millis(50),
            mechanisms: Mechanisms::default(),
        }
    }
}

/// A setting that is out of bounds.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("membership setting `{field}` is {value}; {remedy}")]
pub struct ConfigError {
    /// Name of the field in [`Config`].
    pub field: &'static str,
    /// The rejected value.
    pub value: String,
    /// Instruction for a valid value.
    pub remedy: &'static str,
}

impl Config {
    /// Checks all settings against the bounds that the protocol relies on.
    ///
    /// # Errors
    /// Returns the first field that is out of bounds.
    pub fn validate(&self) -> Result<(), ConfigError> {
        self.validate_probes()?;
        self.validate_updates()?;
        self.validate_repair()
    }

    fn validate_probes(&self) -> Result<(), ConfigError> {
        let interval = self.probe_interval;
        check_bound(
            interval >= Duration::from_millis(10),
            "probe_interval",
            interval,
            "set at least 10 ms; shorter intervals use too much of the control traffic budget",
        )?;
        check_bound(
            !self.probe_timeout.is_zero() && self.probe_timeout * 2 <= interval,
            "probe_timeout",
            self.probe_timeout,
            "set it above zero and at most half of `probe_interval`, so that indirect probes have time to answer",
        )?;
        check_bound(
            self.suspicion_multiplier >= 1,
            "suspicion_multiplier",
            self.suspicion_multiplier,
            "set at least 1, so that a suspected member has time to refute the suspicion",
        )
    }

    fn validate_updates(&self) -> Result<(), ConfigError> {
        check_bound(
            self.retransmission_multiplier >= 1,
            "retransmission_multiplier",
            self.retransmission_multiplier,
            "set at least 1, so that updates are sent",
        )?;
        let payload = self.maximum_payload_bytes;
        check_bound(
            (MIN_PAYLOAD_BYTES..=MAX_PAYLOAD_BYTES).contains(&payload),
            "maximum_payload_bytes",
            payload,
            "set 512 to 65507; 1200 avoids fragmentation on common networks",
        )?;
        check_bound(
            self.update_bytes_per_second >= 100,
            "update_bytes_per_second",
            self.update_bytes_per_second,
            "set at least 100, so that the update queue can drain",
        )?;
        check_bound(
            usize::try_from(self.update_burst_bytes).is_ok_and(|burst| burst >= payload),
            "update_burst_bytes",
            self.update_burst_bytes,
            "set at least `maximum_payload_bytes`, so that one message can be filled",
        )
    }

    fn validate_repair(&self) -> Result<(), ConfigError> {
        check_bound(
            self.sync_interval >= self.probe_interval,
            "sync_interval",
            self.sync_interval,
            "set at least `probe_interval`",
        )?;
        check_bound(self.sync_pages >= 1, "sync_pages", self.sync_pages, "set at least 1")?;
        check_bound(
            self.reconnect_interval >= self.probe_interval,
            "reconnect_interval",
            self.reconnect_interval,
            "set at least `probe_interval`",
        )?;
        check_bound(
            self.join_retry >= self.probe_timeout,
            "join_retry",
            self.join_retry,
            "set at least `probe_timeout`, so that a seed has time to answer",
        )?;
        check_bound(
            self.forget_left_after >= self.sync_interval * 4,
            "forget_left_after",
            self.forget_left_after,
            "set at least four times `sync_interval`, so that delayed updates do not add departed members again",
        )
    }

    /// Returns how long a suspected member has to refute the suspicion in a cluster of `members`.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        let scale = log10_members(members).max(1.0) * f64::from(self.suspicion_multiplier);
        self.probe_interval.mul_f64(scale)
    }

    /// Returns the number of messages that carry each update in a cluster of `members`.
    pub(crate) fn retransmissions(&self, members: usize) -> u32 {
        self.retransmission_multiplier * round_up(log10_members(members + 1))
    }
}

fn check_bound(
    is_valid: bool,
    field: &'static str,
    value: impl std::fmt::Debug,
    remedy: &'static str,
) -> Result<(), ConfigError> {
    let error = || ConfigError { field, value: format!("{value:?}"), remedy };
    if is_valid { Ok(()) } else { Err(error()) }
}

fn log10_members(members: usize) -> f64 {
    f64::from(u32::try_from(members.max(1)).unwrap_or(u32::MAX)).log10()
}

/// Rounds a small positive number up to an integer.
fn round_up(value: f64) -> u32 {
    (1..).find(|whole| f64::from(*whole) >= value).unwrap_or(1)
}
